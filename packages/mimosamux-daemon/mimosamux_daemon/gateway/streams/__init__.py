"""Where streams that break off may go on."""

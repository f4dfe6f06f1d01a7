"""Streams: where they run, move, break off and go on."""

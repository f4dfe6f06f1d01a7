"""A day of each user, on the paused clock with fakes at the ports."""

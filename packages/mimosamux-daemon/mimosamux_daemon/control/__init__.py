"""What the daemons share: configuration, membership, planning."""

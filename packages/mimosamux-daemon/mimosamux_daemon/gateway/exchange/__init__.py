"""Exchange of state between daemons by gossip digests."""

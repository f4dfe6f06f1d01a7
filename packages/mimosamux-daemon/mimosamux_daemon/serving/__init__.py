"""From an offered request to its one full answer."""

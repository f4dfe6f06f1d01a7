"""What the gateway's records in the platform's table have in common."""

"""Choice of the endpoint for each request, and the figures behind it."""

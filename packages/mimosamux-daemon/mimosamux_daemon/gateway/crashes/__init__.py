"""Requests and prompt parts that crash the endpoints that run them."""

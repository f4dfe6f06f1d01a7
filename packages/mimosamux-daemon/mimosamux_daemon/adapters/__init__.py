"""Implementations of the ports: HTTP, thrift and in memory."""

"""Passing requests on as they are: routes, endpoints, limits, duties."""

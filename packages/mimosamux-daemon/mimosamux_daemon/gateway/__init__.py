"""Gateway: forwards requests to endpoints, with admission, scaling, duties."""

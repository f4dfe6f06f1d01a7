"""Tests of mimosamux."""

import logging

import structlog

# Failure tests log what they bring about; it would bury the verdict.
structlog.configure(
    wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
)

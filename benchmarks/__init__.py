"""Benchmarks of mimosamux."""

import logging

import structlog

# Writing events would be measured along and bury the tables.
structlog.configure(
    wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
)

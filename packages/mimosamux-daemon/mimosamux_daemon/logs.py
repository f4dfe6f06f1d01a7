"""One line of key=value pairs for each event."""

from typing import TextIO

import structlog


def configure_logs(stream: TextIO) -> None:
    """Write every event to `stream` as one line of key=value pairs."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', key='at'),
            structlog.processors.LogfmtRenderer(
                key_order=['at', 'level', 'event'],
                drop_missing=True,
            ),
        ],
        logger_factory=structlog.WriteLoggerFactory(file=stream),
        cache_logger_on_first_use=True,
    )


def get_log(component: str) -> structlog.typing.FilteringBoundLogger:
    """Return the logger of a component."""
    # Binding here would fix the configuration of this moment, which is
    # the default: events would go to stdout until the process ends.
    log: structlog.typing.FilteringBoundLogger = structlog.get_logger(
        component=component
    )
    return log

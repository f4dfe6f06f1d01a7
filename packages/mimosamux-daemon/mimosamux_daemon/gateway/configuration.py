"""The configuration in force, and up to when it is known as the newest."""

import math
from collections.abc import Callable

import anyio

from mimosamux_daemon.domain.routes import (
    ConfigurationDocument,
    GatewayConfiguration,
)
from mimosamux_daemon.logs import get_log

log = get_log('configuration')


class ConfirmedConfiguration:
    """Holds the newest configuration; its version only goes up."""

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self.current = GatewayConfiguration()
        self.data = b''
        """Document of the current version, as peers are given it."""
        self.changed = anyio.Event()
        """Set, and replaced by a new one, with each new version."""
        self._clock = clock
        self._confirmed_at = -math.inf

    @property
    def age_s(self) -> float:
        """Return the time since no newer version was known to exist.

        A key that operators took away stays valid here until the next
        look at the platform. Without this age, a daemon that is cut off
        would honour it for as long as the cut lasts.
        """
        return self._clock() - self._confirmed_at

    def confirm(self, version: int, at: float) -> None:
        """Note that `version` was the newest at a moment in the past."""
        if version == self.current.version:
            self._confirmed_at = max(self._confirmed_at, at)

    def take(self, document: ConfigurationDocument, *, source: str) -> bool:
        """Put a newer version in force; an older one changes nothing.

        Nothing that an operator took back may come into force again,
        whoever tells of it late.
        """
        configuration = document.configuration
        if configuration.version <= self.current.version:
            return False
        log.info(
            'configuration_in_force',
            version=configuration.version,
            before=self.current.version,
            source=source,
        )
        self.current = configuration
        self.data = document.data
        # The moment of the last confirmation stays: where the older
        # version was the newest, there was none above this one either.
        self.changed.set()
        self.changed = anyio.Event()
        return True

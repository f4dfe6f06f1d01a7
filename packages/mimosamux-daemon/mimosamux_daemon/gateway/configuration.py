"""Holds the configuration in force, and when it was last confirmed."""

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
    """The newest known configuration; its version only increases."""

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self.current = GatewayConfiguration()
        self.data = b''
        """Encoded document of the current version, as sent to peers."""
        self.changed = anyio.Event()
        """Set, and replaced by a new event, with each new version."""
        self._clock = clock
        self._confirmed_at = -math.inf

    @property
    def age_s(self) -> float:
        """Return the time since the current version was confirmed newest.

        A revoked key stays valid here until the daemon learns of the newer
        version. Without a limit on this age, a partitioned daemon would
        accept the key for as long as the partition lasts.
        """
        return self._clock() - self._confirmed_at

    def confirm(self, version: int, at: float) -> None:
        """Note that `version` was the newest at the time `at`."""
        if version == self.current.version:
            self._confirmed_at = max(self._confirmed_at, at)

    def update(self, document: ConfigurationDocument, *, source: str) -> bool:
        """Put a newer version in force; return whether it is newer.

        Older versions are ignored: a late message must not bring back what
        an operator has withdrawn.
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
        # The time of the last confirmation stays: while the older version
        # was the newest, no version newer than this one existed either.
        self.changed.set()
        self.changed = anyio.Event()
        return True

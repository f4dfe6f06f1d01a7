"""Endpoints that failed a moment ago."""

from dataclasses import dataclass, field

import anyio

from mimosamux_daemon.domain.names import EndpointId
from mimosamux_daemon.serving.relay import BreakCause

SUSPECT_S = {
    BreakCause.CONNECT: 3.0,
    BreakCause.STREAM: 1.0,
    BreakCause.SILENT: 10.0,
    BreakCause.REFUSED: 0.5,
}
"""How long an endpoint is passed over after each kind of break."""


@dataclass(kw_only=True, slots=True)
class Suspects:
    """Endpoints that failed a moment ago, passed over for a while.

    Without them, every request of a dead endpoint would find out by
    itself, and new ones would go there until the fleet forgets it.
    """

    _until_by_id: dict[EndpointId, float] = field(default_factory=dict)

    def note(self, endpoint: EndpointId, cause: BreakCause) -> None:
        """Pass an endpoint over for a while."""
        pause = SUSPECT_S.get(cause)
        if pause is not None:
            self._until_by_id[endpoint] = anyio.current_time() + pause

    def current(self) -> frozenset[EndpointId]:
        """Return the endpoints to pass over now."""
        if not self._until_by_id:
            return frozenset()
        now = anyio.current_time()
        for endpoint, until in tuple(self._until_by_id.items()):
            if until <= now:
                del self._until_by_id[endpoint]
        return frozenset(self._until_by_id)

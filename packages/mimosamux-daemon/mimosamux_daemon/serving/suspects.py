"""Failure suspicion: excludes endpoints that failed recently."""

from dataclasses import dataclass, field

import anyio

from mimosamux_daemon.domain.names import EndpointId
from mimosamux_daemon.serving.relay import BreakCause

SUSPICION_S = {
    BreakCause.CONNECT: 3.0,
    BreakCause.STREAM: 1.0,
    BreakCause.SILENT: 10.0,
    BreakCause.REFUSED: 0.5,
}
"""How long an endpoint is suspected, by the cause of the break."""


@dataclass(kw_only=True, slots=True)
class Suspects:
    """Endpoints that routing excludes because they failed recently.

    Without them, each request at a dead endpoint would detect the failure
    by itself, and new requests would go there until the endpoint is
    removed from the fleet.
    """

    _expiry_by_id: dict[EndpointId, float] = field(default_factory=dict)

    def note(self, endpoint: EndpointId, cause: BreakCause) -> None:
        """Suspect an endpoint for the time that belongs to the cause."""
        suspicion_s = SUSPICION_S.get(cause)
        if suspicion_s is not None:
            self._expiry_by_id[endpoint] = anyio.current_time() + suspicion_s

    def current(self) -> frozenset[EndpointId]:
        """Return the endpoints that are suspected now."""
        if not self._expiry_by_id:
            return frozenset()
        now = anyio.current_time()
        for endpoint, expires_at in tuple(self._expiry_by_id.items()):
            if expires_at <= now:
                del self._expiry_by_id[endpoint]
        return frozenset(self._expiry_by_id)

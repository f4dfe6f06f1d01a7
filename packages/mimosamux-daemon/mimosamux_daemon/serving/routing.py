"""Choice of an endpoint for a request."""

from dataclasses import dataclass

from mimosamux_daemon.domain.names import EndpointId
from mimosamux_daemon.domain.outcomes import Reason, Refused
from mimosamux_daemon.domain.vms import Endpoint
from mimosamux_daemon.domain.work import ModelRequest
from mimosamux_daemon.serving.fleet import Fleet


@dataclass(frozen=True, kw_only=True, slots=True)
class Choice:
    """An endpoint and what was estimated for it."""

    endpoint: Endpoint
    first_token_s: float
    cached_tokens: int = 0


class Router:
    """Chooses the endpoint of each attempt."""

    def __init__(self, *, fleet: Fleet) -> None:
        self._fleet = fleet

    def choose(
        self,
        request: ModelRequest,
        *,
        answer_tokens: int = 0,
        excluding: frozenset[EndpointId] = frozenset(),
    ) -> Choice | Refused:
        """Return the endpoint to send to.

        `answer_tokens` have already been produced and count as prompt.
        """
        candidates = [
            state
            for state in self._fleet.serving_model(request.model)
            if state.endpoint.id not in excluding
        ]
        if not candidates:
            return Refused(
                reason=Reason.NO_ENDPOINT,
                message=f'no endpoint serves {request.model} now',
                retry_after_s=5.0,
            )
        best = min(candidates, key=lambda state: len(state.open_by_request))
        return Choice(endpoint=best.endpoint, first_token_s=0.0)

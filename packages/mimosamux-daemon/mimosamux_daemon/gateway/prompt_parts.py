"""Which parts of prompts the engines likely hold in their cache."""

from collections import OrderedDict
from collections.abc import Callable

from mimosamux_daemon.domain.gateway import PromptUse
from mimosamux_daemon.domain.names import EndpointId

MAX_PARTS = 4096
"""Parts remembered for each endpoint; the oldest are forgotten."""


class PromptParts:
    """Parts that were sent to each endpoint from here."""

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._by_endpoint: dict[EndpointId, OrderedDict[str, float]] = {}

    def note_read(self, endpoint: EndpointId, prompt: PromptUse) -> None:
        """Note that an endpoint has read a prompt."""
        held = self._by_endpoint.setdefault(endpoint, OrderedDict())
        now = self._clock()
        for part in prompt.parts:
            held[part.id] = now
            held.move_to_end(part.id)
        while len(held) > MAX_PARTS:
            held.popitem(last=False)

    def forget(self, endpoint: EndpointId) -> None:
        """Forget an endpoint that is gone."""
        self._by_endpoint.pop(endpoint, None)

    def cached_tokens(self, endpoint: EndpointId, prompt: PromptUse) -> int:
        """Return the tokens that need not be read again there.

        A part counts only if all parts before it are held as well.
        """
        held = self._by_endpoint.get(endpoint)
        if held is None:
            return 0
        tokens = 0
        for part in prompt.parts:
            if part.id not in held:
                break
            tokens += part.tokens
        return tokens

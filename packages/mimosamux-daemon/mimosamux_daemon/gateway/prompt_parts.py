"""Which parts of prompts the engines likely hold in their cache."""

from collections import OrderedDict
from collections.abc import Callable

from mimosamux_wire import PartsRead, StateDigest

from mimosamux_daemon.domain.gateway import PromptUse
from mimosamux_daemon.domain.names import EndpointId
from mimosamux_daemon.gateway.peer_states import PeerState

MAX_PARTS = 4096
"""Parts remembered for each endpoint; the oldest are forgotten."""

Held = OrderedDict[str, None]


class PromptParts:
    """Parts that endpoints have read for this daemon or its peers.

    An entry too many or too few costs time and never an answer: an engine
    reads whatever it does not hold.
    """

    def __init__(
        self, *, is_current: Callable[[EndpointId, int], bool]
    ) -> None:
        self._is_current = is_current
        """Whether a start of an endpoint is the one that runs now."""
        self._held_by_endpoint: dict[EndpointId, Held] = {}
        self._news: dict[tuple[EndpointId, int], list[str]] = {}

    def note_read(
        self, endpoint: EndpointId, prompt: PromptUse, incarnation: int = 0
    ) -> None:
        """Note that a start of an endpoint has read a prompt."""
        if not self._is_current(endpoint, incarnation):
            return
        held = self._held_by_endpoint.setdefault(endpoint, OrderedDict())
        for part in prompt.parts[:-1]:
            if part.id not in held:
                key = (endpoint, incarnation)
                self._news.setdefault(key, []).append(part.id)
            self._add(held, part.id)

    def forget(self, endpoint: EndpointId) -> None:
        """Forget an endpoint that is gone.

        Reclaimed endpoints come back under new ids; what was known of the
        old ones would fill the memory of a daemon that runs for days.
        """
        self._held_by_endpoint.pop(endpoint, None)
        for key in [each for each in self._news if each[0] == endpoint]:
            del self._news[key]

    def cached_tokens(self, endpoint: EndpointId, prompt: PromptUse) -> int:
        """Return the tokens that need not be read again there.

        A part counts only if all parts before it are held as well. The
        last part belongs to the request alone.
        """
        held = self._held_by_endpoint.get(endpoint)
        if held is None:
            return 0
        tokens = 0
        for part in prompt.parts[:-1]:
            if part.id not in held:
                break
            tokens += part.tokens
        return tokens

    def __len__(self) -> int:
        """Return of how many endpoints something is known."""
        return len(self._held_by_endpoint)

    def write(self, digest: StateDigest) -> None:
        """Tell what was read since the last digest."""
        news, self._news = self._news, {}
        digest.parts.extend(
            PartsRead(endpoint=endpoint, parts=parts, incarnation=incarnation)
            for (endpoint, incarnation), parts in news.items()
        )

    def take(self, peer: PeerState, digest: StateDigest) -> None:
        """Take what endpoints have read for a peer."""
        for read in digest.parts:
            endpoint = EndpointId(read.endpoint)
            if not self._is_current(endpoint, read.incarnation):
                continue
            held = self._held_by_endpoint.setdefault(endpoint, OrderedDict())
            for part in read.parts:
                self._add(held, part)

    def _add(self, held: Held, part: str) -> None:
        held[part] = None
        held.move_to_end(part)
        if len(held) > MAX_PARTS:
            held.popitem(last=False)

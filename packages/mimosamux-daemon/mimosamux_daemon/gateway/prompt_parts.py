"""Which parts of prompts the engines likely hold in their cache."""

from collections import OrderedDict

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

    def __init__(self) -> None:
        self._held_by_endpoint: dict[EndpointId, Held] = {}
        self._news: dict[EndpointId, list[str]] = {}

    def note_read(self, endpoint: EndpointId, prompt: PromptUse) -> None:
        """Note that an endpoint has read a prompt."""
        held = self._held_by_endpoint.setdefault(endpoint, OrderedDict())
        for part in prompt.parts[:-1]:
            if part.id not in held:
                self._news.setdefault(endpoint, []).append(part.id)
            self._add(held, part.id)

    def forget(self, endpoint: EndpointId) -> None:
        """Forget an endpoint that is gone.

        Reclaimed endpoints come back under new ids; what was known of the
        old ones would fill the memory of a daemon that runs for days.
        """
        self._held_by_endpoint.pop(endpoint, None)
        self._news.pop(endpoint, None)

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
            PartsRead(endpoint=endpoint, parts=parts)
            for endpoint, parts in news.items()
        )

    def take(self, peer: PeerState, digest: StateDigest) -> None:
        """Take what endpoints have read for a peer."""
        for read in digest.parts:
            held = self._held_by_endpoint.setdefault(
                EndpointId(read.endpoint), OrderedDict()
            )
            for part in read.parts:
                self._add(held, part)

    def _add(self, held: Held, part: str) -> None:
        held[part] = None
        held.move_to_end(part)
        if len(held) > MAX_PARTS:
            held.popitem(last=False)

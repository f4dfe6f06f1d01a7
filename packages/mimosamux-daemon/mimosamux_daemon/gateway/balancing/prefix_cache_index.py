"""Index of the prompt parts that engines likely hold in their prefix caches.

A prompt is divided into parts, and each part has an id and a length in tokens.
Daemons report the parts of the prompts that they have sent to an endpoint in
their gossip digests, so that each of them can estimate what is cached there.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterator
from itertools import accumulate

from mimosamux_wire import PartsRead, StateDigest

from mimosamux_daemon.domain.gateway import PromptInfo
from mimosamux_daemon.domain.names import EndpointId
from mimosamux_daemon.gateway.exchange.peer_states import PeerState

MAX_PARTS = 4096
"""Most parts kept for each endpoint; the least recently used are evicted."""

MAX_HOLDERS = 8
"""Endpoints kept for each part, the latest first. One is enough to copy a
part from; the others stand in for it while it leaves or is unreachable."""

PartIds = OrderedDict[str, None]
"""Ids of parts, least recently used first."""


class PrefixCacheIndex:
    """Parts that endpoints have prefilled for this daemon or its peers.

    A wrong or missing entry costs time but never changes an answer: an engine
    prefills whatever it has not cached.
    """

    def __init__(
        self, *, is_current: Callable[[EndpointId, int], bool]
    ) -> None:
        self._is_current = is_current
        """Whether an incarnation of an endpoint is the current one."""
        self._held_by_endpoint: dict[EndpointId, PartIds] = {}
        self._holders_by_part: dict[str, tuple[EndpointId, ...]] = {}
        self._unsent: dict[tuple[EndpointId, int], list[str]] = {}
        """Parts not sent to peers yet, by endpoint and incarnation."""

    def note_read(
        self, endpoint: EndpointId, prompt: PromptInfo, incarnation: int = 0
    ) -> None:
        """Record that an incarnation of an endpoint has prefilled a prompt."""
        if not self._is_current(endpoint, incarnation):
            return
        held = self._held_by_endpoint.setdefault(endpoint, OrderedDict())
        for part in prompt.parts[:-1]:
            if part.id not in held:
                key = (endpoint, incarnation)
                self._unsent.setdefault(key, []).append(part.id)
            self._add(endpoint, held, part.id)

    def forget(self, endpoint: EndpointId) -> None:
        """Remove an endpoint that is gone.

        Reclaimed endpoints are replaced under new ids; entries of the old
        ones would fill the memory of a daemon that runs for days.
        """
        for part in self._held_by_endpoint.pop(endpoint, ()):
            self._remove_holder(endpoint, part)
        for key in [each for each in self._unsent if each[0] == endpoint]:
            del self._unsent[key]

    def cached_tokens(self, endpoint: EndpointId, prompt: PromptInfo) -> int:
        """Return the tokens of a prompt that are likely cached at an endpoint.

        A part counts only if all parts before it are cached as well. The
        last part is never counted, as it is specific to the request.
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

    def holders(self, prompt: PromptInfo) -> Iterator[tuple[EndpointId, int]]:
        """Yield endpoints that hold much of a prompt, with its tokens there.

        Those that hold the most come first. Not all holders of a part are
        known, so the time does not depend on the number of endpoints.
        """
        lengths = accumulate(part.tokens for part in prompt.parts[:-1])
        prefixes = list(zip(prompt.parts[:-1], lengths, strict=True))
        for part, tokens in reversed(prefixes):
            for endpoint in self._holders_by_part.get(part.id, ()):
                if self.cached_tokens(endpoint, prompt) >= tokens:
                    yield endpoint, tokens

    def __len__(self) -> int:
        """Return the number of endpoints that have entries."""
        return len(self._held_by_endpoint)

    def write(self, digest: StateDigest) -> None:
        """Add the parts prefilled since the last digest to a digest."""
        unsent, self._unsent = self._unsent, {}
        digest.parts.extend(
            PartsRead(endpoint=endpoint, parts=parts, incarnation=incarnation)
            for (endpoint, incarnation), parts in unsent.items()
        )

    def take(self, peer: PeerState, digest: StateDigest) -> None:
        """Add the parts that endpoints have prefilled for a peer."""
        for report in digest.parts:
            endpoint = EndpointId(report.endpoint)
            if not self._is_current(endpoint, report.incarnation):
                continue
            held = self._held_by_endpoint.setdefault(endpoint, OrderedDict())
            for part in report.parts:
                self._add(endpoint, held, part)

    def _add(self, endpoint: EndpointId, held: PartIds, part: str) -> None:
        """Add a part as the most recently used one."""
        if part not in held:
            self._add_holder(endpoint, part)
        held[part] = None
        held.move_to_end(part)
        if len(held) > MAX_PARTS:
            evicted, _ = held.popitem(last=False)
            self._remove_holder(endpoint, evicted)

    def _add_holder(self, endpoint: EndpointId, part: str) -> None:
        known = self._holders_by_part.get(part, ())
        self._holders_by_part[part] = (endpoint, *known)[:MAX_HOLDERS]

    def _remove_holder(self, endpoint: EndpointId, part: str) -> None:
        known = self._holders_by_part.get(part, ())
        others = tuple(each for each in known if each != endpoint)
        if others:
            self._holders_by_part[part] = others
        else:
            self._holders_by_part.pop(part, None)

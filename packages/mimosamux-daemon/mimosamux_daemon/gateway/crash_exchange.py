"""What daemons tell each other of crashes and of what ran there."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from mimosamux_wire import (
    CrashWithdrawn,
    SuspectsCleared,
    SuspectsTold,
    SuspectTold,
)

from mimosamux_daemon.domain.names import ContentKey, DaemonId
from mimosamux_daemon.gateway.crash_suspects import (
    CrashSuspects,
    EndpointStart,
    Suspect,
    join_ids,
    parse_start,
)
from mimosamux_daemon.gateway.peer_states import PeerStates
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports import PeerLinks

log = get_log('crash_exchange')

MS_PER_S = 1000
TOLD_AT_ONCE = 256
"""Suspects in one message."""
OWN = 'own'

Listener = Callable[[ContentKey], None]


@dataclass(kw_only=True, slots=True)
class CrashExchange:
    """Keeps the suspects of all daemons the same."""

    suspects: CrashSuspects
    states: PeerStates
    peers: PeerLinks
    clock: Callable[[], float]
    on_suspected: list[Listener] = field(default_factory=list)
    """Told of each content whose crashes have changed by what is seen here,
    or by one that was taken back."""
    on_cleared: list[Listener] = field(default_factory=list)
    """Told of each content that is cleared, here or at a peer."""

    def __post_init__(self) -> None:
        self.peers.handle(SuspectsTold, self._take_suspects)
        self.peers.handle(SuspectsCleared, self._take_cleared)
        self.peers.handle(CrashWithdrawn, self._take_withdrawn)
        self.states.on_joined.append(self._tell_all)

    def note_crash(
        self, start: EndpointStart, contents: Iterable[ContentKey]
    ) -> None:
        """Suspect what was under way where an endpoint crashed."""
        news = []
        for content in sorted(contents):
            suspect = Suspect(
                content=content,
                crashed=frozenset({start}),
                last_at=self.clock(),
            )
            if self.take(suspect, source=OWN):
                news.append(content)
        self._queue(news)
        for content in news:
            for listener in self.on_suspected:
                listener(content)

    def withdraw(self, start: EndpointStart, *, source: str = OWN) -> bool:
        """Take back a crash everywhere; False if that was done before."""
        changed = self.suspects.withdraw(start)
        if changed is None:
            return False
        log.info(
            'crash_withdrawn',
            endpoint=start.id,
            contents=len(changed),
            source=source,
        )
        for content in changed:
            is_left = self.suspects.crashes(content) > 0
            listeners = self.on_suspected if is_left else self.on_cleared
            for listener in listeners:
                listener(content)
        if source == OWN or self.states.passes_on:
            self.states.queue(CrashWithdrawn(endpoint=str(start)))
        return True

    async def _take_withdrawn(
        self, sender: DaemonId, message: CrashWithdrawn
    ) -> None:
        start = parse_start(message.endpoint)
        if start is not None:
            self.withdraw(start, source=sender)

    def tell_cleared(self, content: ContentKey, *, source: str) -> None:
        """Have a content cleared everywhere that is cleared here."""
        log.info('suspect_cleared', content=content, source=source)
        self.states.queue(SuspectsCleared(contents=[content]))
        for listener in self.on_cleared:
            listener(content)

    def take(self, suspect: Suspect, *, source: str) -> bool:
        """Take what is known of a content; False if nothing is new."""
        if not self.suspects.add(suspect):
            return False
        content = suspect.content
        left_s = self.suspects.held_s(content)
        if left_s > 0:
            log.warning(
                'content_held',
                content=content,
                crashes=self.suspects.crashes(content),
                endpoints=join_ids(self.suspects.by_content[content].crashed),
                held_s=round(left_s, 1),
                source=source,
            )
        elif source == OWN and self.suspects.crashes(content) > 1:
            log.info(
                'content_suspected',
                content=content,
                crashes=self.suspects.crashes(content),
            )
        return True

    def _queue(self, contents: Iterable[ContentKey]) -> None:
        for message in self._messages(contents):
            self.states.queue(message)

    def _messages(self, contents: Iterable[ContentKey]) -> list[SuspectsTold]:
        # Many at once may have made the first of them go again.
        known = map(self.suspects.by_content.get, contents)
        told = [self._tell(suspect) for suspect in known if suspect]
        return [
            SuspectsTold(suspects=told[place : place + TOLD_AT_ONCE])
            for place in range(0, len(told), TOLD_AT_ONCE)
        ]

    def _tell(self, suspect: Suspect) -> SuspectTold:
        age_s = self.clock() - suspect.last_at
        return SuspectTold(
            content=suspect.content,
            endpoints=[str(start) for start in sorted(suspect.crashed)],
            age_ms=int(max(age_s, 0.0) * MS_PER_S),
        )

    async def _tell_all(self, id_: DaemonId) -> None:
        """Tell a process that has just started what is known here."""
        for message in self._messages(tuple(self.suspects.by_content)):
            await self.peers.notify(id_, message)

    async def _take_suspects(
        self, sender: DaemonId, message: SuspectsTold
    ) -> None:
        news, unknown_there = [], []
        for told in message.suspects:
            suspect = self._parse(told)
            if suspect is None:
                log.warning('suspect_unreadable', peer=sender)
                continue
            if self.take(suspect, source=sender):
                news.append(suspect.content)
            elif self.suspects.has_run_whole(suspect.content):
                self.states.queue(SuspectsCleared(contents=[suspect.content]))
            known = self.suspects.by_content.get(suspect.content)
            if known is not None and known.crashed > suspect.crashed:
                unknown_there.append(suspect.content)
        if news and self.states.passes_on:
            self._queue(news)
        # A sender that missed a message, behind a cut perhaps, would let
        # the content crash as many endpoints once more.
        for answer in self._messages(unknown_there):
            await self.peers.notify(sender, answer)

    async def _take_cleared(
        self, sender: DaemonId, message: SuspectsCleared
    ) -> None:
        cleared = [
            content
            for content in map(ContentKey, message.contents)
            if self.suspects.clear(content)
        ]
        for content in cleared:
            log.info('suspect_cleared', content=content, source=sender)
            for listener in self.on_cleared:
                listener(content)
        if cleared and self.states.passes_on:
            self.states.queue(SuspectsCleared(contents=list(cleared)))

    def _parse(self, told: SuspectTold) -> Suspect | None:
        starts = [parse_start(text) for text in told.endpoints]
        crashed = frozenset(start for start in starts if start is not None)
        if not told.content or not crashed or None in starts:
            return None
        return Suspect(
            content=ContentKey(told.content),
            crashed=crashed,
            last_at=self.clock() - told.age_ms / MS_PER_S,
        )

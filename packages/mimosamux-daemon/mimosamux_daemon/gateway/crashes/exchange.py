"""Replicates crash suspicions between daemons.

Each daemon broadcasts the crashes that it detects, the contents that are
cleared and the crashes that are withdrawn.
"""

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

from mimosamux_wire import (
    CrashWithdrawn,
    SuspectsCleared,
    SuspectsTold,
    SuspectTold,
)

from mimosamux_daemon.domain.names import ContentKey, DaemonId, EndpointId
from mimosamux_daemon.gateway.crashes.suspects import (
    CrashSuspects,
    EndpointIncarnation,
    Suspect,
    join_ids,
    parse_incarnation,
)
from mimosamux_daemon.gateway.exchange.peer_states import PeerStates
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports import PeerLinks

log = get_log('crash_exchange')

MS_PER_S = 1000
SUSPECTS_PER_MESSAGE = 256
"""Largest number of suspects in one message."""
RECENT_MS = 2000
"""Age of a crash up to which its endpoint may still be listed as ready."""
LOCAL = 'own'
"""Log value for what this daemon detected itself."""

Listener = Callable[[ContentKey], None]


@dataclass(kw_only=True, slots=True)
class CrashExchange:
    """Keeps the suspects of all daemons in sync."""

    suspects: CrashSuspects
    states: PeerStates
    peers: PeerLinks
    clock: Callable[[], float]
    on_crashed: list[Callable[[EndpointId, int], None]] = field(
        default_factory=list
    )
    """Called with the id and incarnation of each endpoint that crashed."""
    on_suspected: list[Listener] = field(default_factory=list)
    """Called with each content whose crashes changed because this daemon
    detected a crash, or because a crash was withdrawn."""
    on_held: list[Listener] = field(default_factory=list)
    """Called with each content that is quarantined after a further crash."""
    on_cleared: list[Listener] = field(default_factory=list)
    """Called with each content that is cleared, here or at a peer."""

    def __post_init__(self) -> None:
        self.peers.handle(SuspectsTold, self._receive_suspects)
        self.peers.handle(SuspectsCleared, self._receive_cleared)
        self.peers.handle(CrashWithdrawn, self._receive_withdrawn)
        self.states.on_joined.append(self._send_all)

    def report_crash(
        self, incarnation: EndpointIncarnation, contents: Iterable[ContentKey]
    ) -> None:
        """Suspect the contents that were running at a crashed endpoint."""
        self._notify_crashed({incarnation})
        changed_contents = []
        for content in sorted(contents):
            suspect = Suspect(
                content=content,
                crashed=frozenset({incarnation}),
                last_crash_at=self.clock(),
            )
            if self.merge(suspect, source=LOCAL):
                changed_contents.append(content)
        self._broadcast(changed_contents)
        for content in changed_contents:
            for listener in self.on_suspected:
                listener(content)

    def _notify_crashed(
        self, crashed: Collection[EndpointIncarnation]
    ) -> None:
        for incarnation in crashed:
            if not self.suspects.is_withdrawn(incarnation):
                for listener in self.on_crashed:
                    listener(incarnation.id, incarnation.incarnation)

    def withdraw(
        self, incarnation: EndpointIncarnation, *, source: str = LOCAL
    ) -> bool:
        """Withdraw a crash at all daemons; False if it was done before."""
        changed = self.suspects.withdraw(incarnation)
        if changed is None:
            return False
        log.info(
            'crash_withdrawn',
            endpoint=incarnation.id,
            contents=len(changed),
            source=source,
        )
        for content in changed:
            is_suspected = self.suspects.crashes(content) > 0
            listeners = self.on_suspected if is_suspected else self.on_cleared
            for listener in listeners:
                listener(content)
        if source == LOCAL or self.states.forwards_messages:
            self.states.queue(CrashWithdrawn(endpoint=str(incarnation)))
        return True

    async def _receive_withdrawn(
        self, sender: DaemonId, message: CrashWithdrawn
    ) -> None:
        incarnation = parse_incarnation(message.endpoint)
        if incarnation is not None:
            self.withdraw(incarnation, source=sender)

    def announce_cleared(self, content: ContentKey, *, source: str) -> None:
        """Broadcast that a content was cleared at this daemon."""
        log.info('suspect_cleared', content=content, source=source)
        self.states.queue(SuspectsCleared(contents=[content]))
        for listener in self.on_cleared:
            listener(content)

    def merge(self, suspect: Suspect, *, source: str) -> bool:
        """Merge and log crashes of a content; False if none is new."""
        if not self.suspects.add(suspect):
            return False
        content = suspect.content
        quarantine_s = self.suspects.quarantine_left_s(content)
        stored = self.suspects.by_content[content]
        self._log_crashes(stored, quarantine_s, source=source)
        if quarantine_s > 0:
            for listener in self.on_held:
                listener(content)
        return True

    def _log_crashes(
        self, suspect: Suspect, quarantine_s: float, *, source: str
    ) -> None:
        """Log what follows from the crashes of a content or part."""
        content, crashes = suspect.content, len(suspect.crashed)
        if quarantine_s > 0:
            log.warning(
                'content_held',
                content=content,
                crashes=crashes,
                endpoints=join_ids(suspect.crashed),
                held_s=round(quarantine_s, 1),
                source=source,
            )
        elif suspect.quarantine_s > 0:
            log.warning(
                'part_explained',
                content=content,
                crashes=crashes,
                explained_by=self.suspects.find_explanation(suspect),
                source=source,
            )
        elif source == LOCAL and crashes > 1:
            log.info('content_suspected', content=content, crashes=crashes)

    def _broadcast(self, contents: Iterable[ContentKey]) -> None:
        for message in self._build_messages(contents):
            self.states.queue(message)

    def _build_messages(
        self, contents: Iterable[ContentKey]
    ) -> list[SuspectsTold]:
        # Some contents may have been evicted since they were added.
        known = map(self.suspects.by_content.get, contents)
        records = [self._as_message(suspect) for suspect in known if suspect]
        return [
            SuspectsTold(
                suspects=records[
                    start_index : start_index + SUSPECTS_PER_MESSAGE
                ]
            )
            for start_index in range(0, len(records), SUSPECTS_PER_MESSAGE)
        ]

    def _as_message(self, suspect: Suspect) -> SuspectTold:
        age_s = self.clock() - suspect.last_crash_at
        return SuspectTold(
            content=suspect.content,
            endpoints=[
                str(incarnation) for incarnation in sorted(suspect.crashed)
            ],
            age_ms=int(max(age_s, 0.0) * MS_PER_S),
        )

    async def _send_all(self, id_: DaemonId) -> None:
        """Send all suspects to a daemon that has just started."""
        for message in self._build_messages(tuple(self.suspects.by_content)):
            await self.peers.notify(id_, message)

    async def _receive_suspects(
        self, sender: DaemonId, message: SuspectsTold
    ) -> None:
        changed_contents, missing_at_sender = [], []
        for record in message.suspects:
            suspect = self._parse(record)
            if suspect is None:
                log.warning('suspect_unreadable', peer=sender)
                continue
            if self.merge(suspect, source=sender):
                changed_contents.append(suspect.content)
            elif self.suspects.has_completed(suspect.content):
                self.states.queue(SuspectsCleared(contents=[suspect.content]))
            if record.age_ms < RECENT_MS:
                self._notify_crashed(suspect.crashed)
            known = self.suspects.by_content.get(suspect.content)
            if known is not None and known.crashed > suspect.crashed:
                missing_at_sender.append(suspect.content)
        if changed_contents and self.states.forwards_messages:
            self._broadcast(changed_contents)
        # The sender may have missed messages, for example in a network
        # partition. With fewer known crashes it would let the content crash
        # as many endpoints again.
        for answer in self._build_messages(missing_at_sender):
            await self.peers.notify(sender, answer)

    async def _receive_cleared(
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
        if cleared and self.states.forwards_messages:
            self.states.queue(SuspectsCleared(contents=list(cleared)))

    def _parse(self, record: SuspectTold) -> Suspect | None:
        incarnations = [parse_incarnation(text) for text in record.endpoints]
        crashed = frozenset(
            incarnation
            for incarnation in incarnations
            if incarnation is not None
        )
        if not record.content or not crashed or None in incarnations:
            return None
        return Suspect(
            content=ContentKey(record.content),
            crashed=crashed,
            last_crash_at=self.clock() - record.age_ms / MS_PER_S,
        )

"""Notices endpoints that crash, and tells the peers what ran there.

A broken answer alone says little: connections are reset, and answers break
off at endpoints that live on. Only where nothing listens at the endpoint any
more, and nobody had said that it would leave, has its process crashed.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import anyio
from mimosamux_wire import SuspectsCleared, SuspectsTold, SuspectTold

from mimosamux_daemon.domain.names import ContentKey, DaemonId
from mimosamux_daemon.domain.outcomes import Reason, Refused
from mimosamux_daemon.gateway.crash_suspects import (
    CrashSuspects,
    EndpointStart,
    Suspect,
    parse_start,
)
from mimosamux_daemon.gateway.crash_trials import CrashTrials
from mimosamux_daemon.gateway.endpoint_record import EndpointRecord
from mimosamux_daemon.gateway.metrics import GatewayMetrics
from mimosamux_daemon.gateway.peer_states import PeerStates
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports import PeerLinks
from mimosamux_daemon.ports.endpoint_calls import EndpointCalls, Presence

log = get_log('crash_watch')

LOOK_AGAIN_S = 0.1
"""Pause between two looks at an endpoint; one that is ending may take a
connection yet."""
LOOKS_PRESENT = 2
"""Looks in a row that have to find an endpoint there."""
UNDECIDED_S = 10.0
"""Time after which an endpoint that neither answers nor leaves the list
counts as cut off, not as crashed."""
TRIAL_RETRY_S = 1.0
"""When to come again while a content is tried."""
MS_PER_S = 1000
TOLD_AT_ONCE = 256
"""Suspects in one message."""


@dataclass(kw_only=True, slots=True)
class CrashWatch:
    """Looks after endpoints at which answers broke."""

    suspects: CrashSuspects
    calls: EndpointCalls
    states: PeerStates
    peers: PeerLinks
    trials: CrashTrials
    metrics: GatewayMetrics
    clock: Callable[[], float]
    on_suspected: list[Callable[[ContentKey], None]] = field(
        default_factory=list
    )
    """Told of each content of which this daemon saw one more crash."""
    on_cleared: list[Callable[[ContentKey], None]] = field(
        default_factory=list
    )
    """Told of each content that is cleared, here or at a peer."""
    _broken: dict[EndpointRecord, set[ContentKey]] = field(
        default_factory=dict
    )
    """What was under way at endpoints that are looked after."""
    _waiting: list[EndpointRecord] = field(default_factory=list)
    _arrived: anyio.Event = field(default_factory=anyio.Event)

    def __post_init__(self) -> None:
        self.peers.handle(SuspectsTold, self._take_suspects)
        self.peers.handle(SuspectsCleared, self._take_cleared)
        self.states.on_joined.append(self._tell_all)

    def find_refusal(self, content: ContentKey) -> Refused | None:
        """Return why a request is not begun now, None if it may be."""
        left_s = self.suspects.held_s(content)
        if left_s <= 0 and not self.suspects.is_on_trial(content):
            return None
        if left_s <= 0:
            if self.trials.begin(content):
                log.info('content_tried', content=content)
                return None
            left_s = TRIAL_RETRY_S
        crashed = sorted(self.suspects.by_content[content].crashed)
        return Refused(
            reason=Reason.CRASHES_ENDPOINTS,
            message=(
                f'{len(crashed)} endpoints crashed under content {content}, '
                f'which has not run whole since: {_join(crashed)}'
            ),
            retry_after_s=left_s,
        )

    def is_suspected(self, content: ContentKey) -> bool:
        """Whether endpoints crashed under a content."""
        return self.suspects.crashes(content) > 0

    def is_held(self, content: ContentKey) -> bool:
        """Whether a content is held back at the moment."""
        return self.suspects.held_s(content) > 0

    def may_go_on(self, content: ContentKey, *, is_unrun: bool) -> bool:
        """Whether a content may go on at a further endpoint.

        One that has run and failed just now may have crashed its endpoint,
        which is known only a moment later.
        """
        if self.is_held(content):
            return False
        return is_unrun or self.suspects.may_go_on(content)

    def note_broken(self, content: ContentKey, record: EndpointRecord) -> None:
        """Note that the answer to a request broke off at an endpoint."""
        if record.is_leaving:
            return
        if record.has_crashed:
            self._suspect(record, (content,))
            return
        contents = self._broken.setdefault(record, set())
        contents.add(content)
        if len(contents) == 1:
            self._waiting.append(record)
            self._arrived.set()

    def note_whole(self, content: ContentKey) -> None:
        """Note that a content has run from its start to its end.

        One that went on behind the events of a crashed endpoint has not:
        it may end what it begins each time, a few events further.
        """
        if not self.suspects.note_whole(content):
            return
        log.info('suspect_cleared', content=content, source='a whole run')
        self._tell_cleared(content)

    def release(self, content: ContentKey) -> bool:
        """Let go a content for an operator; False if it is not known."""
        if not self.suspects.clear(content):
            return False
        log.info('suspect_cleared', content=content, source='an operator')
        self._tell_cleared(content)
        return True

    async def run(self) -> None:
        """Look after endpoints until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await self._arrived.wait()
                self._arrived = anyio.Event()
                waiting, self._waiting = self._waiting, []
                for record in waiting:
                    tasks.start_soon(self._look_after, record)

    async def _look_after(self, record: EndpointRecord) -> None:
        has_crashed = await self._find_whether_crashed(record)
        contents = self._broken.pop(record, set())
        if has_crashed:
            record.has_crashed = True
            service = record.listed.service
            self.metrics.endpoint_crashes.inc({'service': service})
            log.warning(
                'endpoint_crashed',
                endpoint=record.id,
                incarnation=record.incarnation,
                contents=len(contents),
            )
            self._suspect(record, contents)

    async def _find_whether_crashed(self, record: EndpointRecord) -> bool:
        until = self.clock() + UNDECIDED_S
        present = 0
        while self.clock() < until:
            if record.gone_at is not None:
                return True
            presence = await self.calls.look_for(record.listed)
            if presence is Presence.ENDED:
                return True
            present = present + 1 if presence is Presence.THERE else 0
            if present >= LOOKS_PRESENT:
                return False
            await anyio.sleep(LOOK_AGAIN_S)
        log.info('endpoint_end_undecided', endpoint=record.id)
        return False

    def _suspect(
        self, record: EndpointRecord, contents: Iterable[ContentKey]
    ) -> None:
        start = EndpointStart(id=record.id, incarnation=record.incarnation)
        news = []
        for content in sorted(contents):
            suspect = Suspect(
                content=content,
                crashed=frozenset({start}),
                last_at=self.clock(),
            )
            if self._add(suspect, source='own'):
                news.append(content)
        self._queue(news)
        for content in news:
            for listener in self.on_suspected:
                listener(content)

    def take(self, suspect: Suspect, *, source: str) -> bool:
        """Take what others know; False if nothing is new here."""
        return self._add(suspect, source=source)

    def _add(self, suspect: Suspect, *, source: str) -> bool:
        if not self.suspects.add(suspect):
            return False
        content = suspect.content
        left_s = self.suspects.held_s(content)
        if left_s > 0:
            log.warning(
                'content_held',
                content=content,
                crashes=self.suspects.crashes(content),
                endpoints=_join(self.suspects.by_content[content].crashed),
                held_s=round(left_s, 1),
                source=source,
            )
        elif source == 'own' and self.suspects.crashes(content) > 1:
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
        told = [self._tell(content) for content in contents]
        return [
            SuspectsTold(suspects=told[place : place + TOLD_AT_ONCE])
            for place in range(0, len(told), TOLD_AT_ONCE)
        ]

    def _tell(self, content: ContentKey) -> SuspectTold:
        suspect = self.suspects.by_content[content]
        age_s = self.clock() - suspect.last_at
        return SuspectTold(
            content=content,
            endpoints=[str(start) for start in sorted(suspect.crashed)],
            age_ms=int(max(age_s, 0.0) * MS_PER_S),
        )

    def _tell_cleared(self, content: ContentKey) -> None:
        self.states.queue(SuspectsCleared(contents=[content]))
        for listener in self.on_cleared:
            listener(content)

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
            if self._add(suspect, source=sender):
                news.append(suspect.content)
            elif self.suspects.has_run_whole(suspect.content):
                self.states.queue(SuspectsCleared(contents=[suspect.content]))
            known = self.suspects.by_content.get(suspect.content)
            if known is not None and known.crashed > suspect.crashed:
                unknown_there.append(suspect.content)
        if news and not self.states.is_flat and self.states.acts_as_relay:
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
        if cleared and not self.states.is_flat and self.states.acts_as_relay:
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


def _join(starts: Iterable[EndpointStart]) -> str:
    return ','.join(sorted({start.id for start in starts}))

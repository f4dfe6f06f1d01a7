"""Asks, behind the arrival of a resumed stream, what is not known here.

The list of endpoints and what peers told may date from before a cut or a
pause of this daemon, and nothing shows that before a timeout has passed. What
the table and the peers answer to a question that was sent behind the arrival
holds for every stream that had begun by then.
"""

from collections.abc import Callable, Collection, Iterable, Iterator
from dataclasses import dataclass, field
from itertools import islice

import anyio
import anyio.abc
from mimosamux_wire import (
    Envelope,
    EnvelopeType,
    StreamsAnswered,
    StreamsAsked,
    StreamsBegan,
    decode,
    encode,
)

from mimosamux_daemon.control.members import MemberState
from mimosamux_daemon.domain.names import DaemonId, ServiceName
from mimosamux_daemon.domain.stream_origins import StreamOrigin
from mimosamux_daemon.gateway.exchange.peer_states import PeerStates
from mimosamux_daemon.gateway.streams.origin_exchange import (
    KEY_BYTES,
    parse_origins,
    render_origins,
)
from mimosamux_daemon.gateway.streams.origins import (
    StreamOrigins,
    hash_request,
)
from mimosamux_daemon.gateway.streams.version_users import (
    VersionUser,
    VersionUsers,
)
from mimosamux_daemon.gateway.streams.versions import SoftwareVersions
from mimosamux_daemon.ports import PeerLinks

ANSWER_TIMEOUT_S = 0.3
MAX_SOURCES = 3
"""Most peers that are asked at a site with relays."""
ROUND_PAUSE_S = 0.05
"""Pause between two rounds of questions: each reads the table once, for all
streams that arrived since the last one."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Findings:
    """What the table and the peers answered to one round of questions."""

    users: tuple[VersionUser, ...] | None = None
    """Daemons that begin streams beside several versions, None: the table did
    not tell."""
    expected: frozenset[DaemonId] = frozenset()
    """Peers that are in touch with this daemon or have a row."""
    silent: frozenset[DaemonId] = frozenset()
    """Further peers that have not left as far as is known here."""
    answer_by_id: dict[DaemonId, StreamsAnswered] = field(default_factory=dict)

    @property
    def is_heard(self) -> bool:
        """Whether anybody answered, so that this daemon is not cut off."""
        return self.users is not None or bool(self.answer_by_id)

    def knows(self, request: int) -> bool:
        """Whether a peer answered that it knows a stream."""
        return any(
            request in _split(answer.known)
            for answer in self.answer_by_id.values()
        )

    def have_answered(self, daemons: Collection[DaemonId]) -> bool:
        """Whether all of some daemons answered."""
        return self.answer_by_id.keys() >= set(daemons)

    def users_of(self, service: ServiceName) -> list[VersionUser]:
        """Return the daemons that begin streams beside several versions."""
        return [each for each in self.users or () if each.service == service]

    def runs_several(self, service: ServiceName) -> bool:
        """Whether a peer answered, or left open, that several versions run."""
        return any(
            answer.several is None or service in answer.several
            for answer in self.answer_by_id.values()
        )


@dataclass(kw_only=True, slots=True)
class _Round:
    """Streams that are asked for together."""

    requests: set[int] = field(default_factory=set)
    heard: anyio.Event = field(default_factory=anyio.Event)
    """Set once peers have answered and no answer of one is missing, or at the
    end."""
    ended: anyio.Event = field(default_factory=anyio.Event)
    findings: Findings = field(default_factory=Findings)


@dataclass(kw_only=True, slots=True)
class StreamInquiry:
    """Asks the table and the peers about streams, and answers the peers."""

    users: VersionUsers
    versions: SoftwareVersions
    origins: StreamOrigins
    states: PeerStates
    peers: PeerLinks
    clock: Callable[[], float]
    _next: _Round = field(default_factory=_Round)
    """Streams that arrive during a round are asked for in the next one."""
    _has_work: anyio.Event = field(default_factory=anyio.Event)

    def __post_init__(self) -> None:
        self.peers.handle(StreamsAsked, self._answer)

    async def ask(self, request_id: str, timeout_s: float) -> Findings:
        """Return what is answered about a stream from now on.

        What peers know of it is among the origins then. Of a stream that is
        known already, only a later attempt could be news, which every peer
        that answers would know: the table is not waited for.
        """
        asked, request = self._next, hash_request(request_id)
        asked.requests.add(request)
        self._has_work.set()
        is_told = self.origins.find_by_hash(request) is not None
        with anyio.move_on_after(timeout_s):
            await (asked.heard if is_told else asked.ended).wait()
        return asked.findings

    async def run(self) -> None:
        """Ask for the streams that have arrived, until cancelled."""
        while True:
            await self._has_work.wait()
            self._has_work = anyio.Event()
            current, self._next = self._next, _Round()
            await self._hold(current)
            current.heard.set()
            current.ended.set()
            await anyio.sleep(ROUND_PAUSE_S)

    def may_be_told_later(self, request_id: str, findings: Findings) -> bool:
        """Whether word of a stream may be on its way.

        Through relays, or from a daemon of an earlier version.
        """
        return not self.states.is_flat or findings.knows(
            hash_request(request_id)
        )

    def find_beginning(
        self, request_id: str, service: ServiceName, findings: Findings
    ) -> StreamOrigin | None:
        """Return where a stream that nobody knows began, None if unsure."""
        if findings.knows(hash_request(request_id)):
            return None
        if findings.users is None:
            return self._find_only_version_by_peers(service, findings)
        users = findings.users_of(service)
        if not users:
            return self._find_only_version(service)
        if not self._have_users_answered(users, findings):
            return None
        return _agree_on_version_before(service, users)

    def _find_only_version(self, service: ServiceName) -> StreamOrigin | None:
        """Return the version of a service that runs one, by the list here."""
        versions = self.versions.of(service)
        if not self.versions.is_record_read or len(versions) != 1:
            return None
        return next(iter(versions))

    def _find_only_version_by_peers(
        self, service: ServiceName, findings: Findings
    ) -> StreamOrigin | None:
        """Return the only version if every peer agrees.

        A peer that is not heard may have begun streams at another one.
        """
        peers = findings.expected | findings.silent
        if (
            not peers
            or not self.states.is_flat
            or not findings.have_answered(peers)
            or findings.runs_several(service)
        ):
            return None
        return self._find_only_version(service)

    def _have_users_answered(
        self, users: Iterable[VersionUser], findings: Findings
    ) -> bool:
        """Whether all processes that may have begun a stream have answered.

        An earlier process of a daemon that has started again can't answer.
        """
        if not self.states.is_flat:
            return False
        own = self.states.place.id, self.states.incarnation
        processes = {(each.daemon, each.incarnation) for each in users} - {own}
        return findings.have_answered(findings.expected) and all(
            daemon in findings.answer_by_id
            and findings.answer_by_id[daemon].lifetime == incarnation
            for daemon, incarnation in processes
        )

    async def _hold(self, current: _Round) -> None:
        """Ask the table and peers at the same time: all of a small site."""
        progress = _Progress(
            inquiry=self,
            current=current,
            message=StreamsAsked(requests=_join(current.requests)),
        )
        with anyio.move_on_after(ANSWER_TIMEOUT_S):
            await progress.collect()
        current.findings = progress.conclude()

    def note_told(self, answer: StreamsAnswered) -> None:
        """Take over where streams began, as a peer has answered."""
        for data in answer.told:
            envelope = decode(data)
            if not isinstance(envelope, Envelope):
                continue
            told = envelope.message
            if isinstance(told, StreamsBegan):
                origins = parse_origins(told, 'an answer', self.clock())
                for request, known in origins:
                    self.origins.add(request, known)

    async def _answer(
        self, sender: DaemonId, message: StreamsAsked
    ) -> StreamsAnswered:
        """Answer which streams are known here, and where they began."""
        found = {
            request: self.origins.find_by_hash(request)
            for request in _split(message.requests)
        }
        known = {
            request: origin
            for request, origin in found.items()
            if origin is not None
        }
        told = list(render_origins(known.items(), self.clock()))
        for each in told:
            # A daemon of an earlier version reads no origins in the answer.
            await self.peers.notify(sender, each)
        return StreamsAnswered(
            lifetime=self.states.incarnation,
            known=_join(known),
            told=[encode(each, EnvelopeType.ONEWAY, 0) for each in told],
            several=sorted(self.versions.services_with_several()),
        )


@dataclass(kw_only=True, slots=True)
class _Progress:
    """One round of questions, while answers arrive."""

    inquiry: StreamInquiry
    current: _Round
    message: StreamsAsked
    users: list[VersionUser] | None = None
    expected: set[DaemonId] = field(default_factory=set)
    silent: set[DaemonId] = field(default_factory=set)
    answer_by_id: dict[DaemonId, StreamsAnswered] = field(default_factory=dict)

    async def collect(self) -> None:
        """Ask until what is needed has answered or failed.

        Peers that are silent count only if the table does not tell.
        """
        states = self.inquiry.states
        if states.is_flat:
            self.expected = {peer.place.id for peer in states.fresh()}
            self.silent = {
                id_
                for id_, peer in states.by_id.items()
                if peer.state is not MemberState.LEAVING
            } - self.expected
        else:
            self.expected = self._choose_sources()
        async with anyio.create_task_group() as further:
            for daemon in sorted(self.silent):
                further.start_soon(self._ask, daemon)
            async with anyio.create_task_group() as needed:
                needed.start_soon(self._read_users, needed)
                async with anyio.create_task_group() as peers:
                    for daemon in sorted(self.expected):
                        peers.start_soon(self._ask, daemon)
                self._note_heard()
            if self.users is not None:
                further.cancel_scope.cancel()

    def _note_heard(self) -> None:
        if self.answer_by_id:
            self.current.findings = self.conclude()
            self.current.heard.set()

    def conclude(self) -> Findings:
        """Return what has been found so far."""
        return Findings(
            users=None if self.users is None else tuple(self.users),
            expected=frozenset(self.expected),
            silent=frozenset(self.silent),
            answer_by_id=dict(self.answer_by_id),
        )

    def _choose_sources(self) -> set[DaemonId]:
        """Return some daemons that digests come from, at a larger site.

        Their answers show that this daemon is not cut off, and bring what
        they know; what nobody knows they can't say for all.
        """
        fresh = self.inquiry.states.fresh()
        latest = sorted(fresh, key=lambda peer: peer.heard_at, reverse=True)
        sources = dict.fromkeys(peer.via for peer in latest)
        return set(islice(sources, MAX_SOURCES))

    async def _read_users(self, tasks: anyio.abc.TaskGroup) -> None:
        users = self.users = await self.inquiry.users.read()
        states = self.inquiry.states
        if users is None or not states.is_flat:
            return
        daemons = {each.daemon for each in users} - {states.place.id}
        for daemon in sorted(daemons - self.expected):
            self.expected.add(daemon)
            tasks.start_soon(self._ask, daemon)

    async def _ask(self, daemon: DaemonId) -> None:
        answer = await self.inquiry.peers.call(
            daemon, self.message, timeout_s=ANSWER_TIMEOUT_S
        )
        if isinstance(answer, StreamsAnswered):
            self.answer_by_id[daemon] = answer
            self.inquiry.note_told(answer)


def _agree_on_version_before(
    service: ServiceName, users: Iterable[VersionUser]
) -> StreamOrigin | None:
    """Return the version before if the users of a service name one."""
    named = {
        user.software_before
        for user in users
        if user.software_before is not None
    }
    if len(named) != 1:
        return None
    return StreamOrigin(service=service, software=next(iter(named)))


def _join(requests: Collection[int]) -> bytes:
    return b''.join(each.to_bytes(KEY_BYTES, 'big') for each in requests)


def _split(keys: bytes) -> Iterator[int]:
    for start in range(0, len(keys) - KEY_BYTES + 1, KEY_BYTES):
        yield int.from_bytes(keys[start : start + KEY_BYTES], 'big')

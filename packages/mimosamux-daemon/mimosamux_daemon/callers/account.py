"""Accounts for the bytes, connections and descriptors that callers hold.

All listeners of a process share one account. When it is full, somebody has to
yield, and never whom it only happens to meet: a crowd that stops just short of
its end would lock everybody else out if newcomers were refused.

- Bytes: the answer whose caller has taken none of it for longest, if that is
  for `STALL_S` at least; then a request that has not arrived whole while its
  caller waits for the answer, or else the largest of those that arrive, of the
  client account that holds most. A small one yields last.
  Whole requests of one client account get half of the bytes for large ones.
- Descriptors: a connection that lingers, then the one that is idle for
  longest, then the oldest unfinished head, then the oldest unfinished body,
  and only then such an answer: with the others nothing is lost that has run.

Requests that have arrived whole don't yield as long as their callers take the
answers; a newcomer is refused instead.
"""

import math
from collections.abc import Callable
from enum import Enum, auto

import anyio

from mimosamux_daemon.callers.limits import (
    ACCEPTS_AHEAD,
    MAX_LINGERING,
    SMALL_BYTES,
    STALL_S,
    CallerLimits,
)
from mimosamux_daemon.callers.record import CallerRecord, LossCause

WORK_DESCRIPTORS = 2
"""Descriptors of a request at work beside its connection: the watch for its
caller to leave, and the connection to an endpoint."""


class Phase(Enum):
    """What a connection is doing, in the order in which they yield."""

    LINGERING = auto()
    IDLE = auto()
    HEAD = auto()
    BODY = auto()
    WORKING = auto()


YIELDING_PHASES = tuple(phase for phase in Phase if phase != Phase.WORKING)


class CallerConnection:
    """A caller's connection, from its accept until it is closed."""

    def __init__(
        self, *, account: 'CallerAccount', yield_: Callable[[], bool]
    ) -> None:
        self._account = account
        self._working = 0
        self.yield_ = yield_
        """Ends the connection; False if a request has just come on it."""
        self.phase = Phase.IDLE

    def enter(self, phase: Phase) -> None:
        """Note what it is doing from now on, apart from requests at work."""
        if not self._working:
            self._account._move(self, phase)

    def begin_work(self) -> bool:
        """Note that a request has arrived whole; False if it is refused."""
        if not self._account._begin_work(self):
            return False
        self._working += 1
        return True

    def end_work(self) -> None:
        """Note that a request is answered or given up."""
        self._working -= 1
        self._account._end_work(self, is_last=not self._working)

    def close(self) -> None:
        """Note that its socket is closed."""
        self._account.sockets -= 1
        self._account._close(self)


class RequestHolding:
    """Bytes of a request, from its first ones until its end."""

    def __init__(
        self, *, account: 'CallerAccount', yield_: Callable[[], None]
    ) -> None:
        self._account = account
        self.yield_ = yield_
        """Gives up the request, which has not arrived whole."""
        self.owner = ''
        """Client account, empty as long as none is known."""
        self.due_at = math.inf
        """Time until which its caller waits for the answer."""
        self.bytes = 0
        self.is_whole = False

    def assign(self, owner: str, *, due_at: float = math.inf) -> None:
        """Note whose it is, and until when its caller waits."""
        self._account._assign(self, owner)
        self.due_at = due_at

    def hold(self, size: int) -> bool:
        """Set the bytes of an unfinished request; False if it has to end."""
        return self._account._hold(self, size)

    def finish(self, size: int) -> bool:
        """Set the bytes of a request that is whole; False if refused."""
        return self._account._finish(self, size)

    def give_up(self) -> None:
        """Have it yield to others."""
        self._account._drop(self)
        self.yield_()

    def release(self) -> None:
        """Note that nothing of it is left; it may be used again."""
        self._account._release(self)


class AnswerHolding:
    """Bytes of an answer, until its caller has taken them."""

    def __init__(
        self,
        *,
        account: 'CallerAccount',
        request: RequestHolding,
        connection: CallerConnection | None,
        yield_: Callable[[], object],
    ) -> None:
        self._account = account
        self.request = request
        """The request that it answers."""
        self.connection = connection
        """The connection that ends with it, None if it is not known."""
        self.yield_ = yield_
        """Breaks the answer off."""
        self.bytes = 0
        self.waits_since = math.inf
        """Time since which its caller takes nothing, as far as is known."""

    def hold(self, size: int) -> bool:
        """Set the bytes that have come of it; False if there is no room."""
        return self._account._hold_answer(self, size)

    def wait(self, size: int) -> None:
        """Note that so many bytes wait for its caller to take some."""
        self._account._wait_for_caller(self, size)

    def go_on(self) -> None:
        """Note that its caller has taken some."""
        self._account._waiting_answers.pop(self, None)

    def release(self) -> None:
        """Note that its caller has taken all, or is gone."""
        self._account._release_answer(self)


class CallerAccount:
    """What all callers of a process make it hold."""

    def __init__(self, *, limits: CallerLimits, record: CallerRecord) -> None:
        self.limits = limits
        self.record = record
        self.request_bytes = 0
        """Bytes of requests and of answers."""
        self.answer_bytes = 0
        self.connections = 0
        """Open connections, without those that have yielded."""
        self.descriptors = 0
        self.sockets = 0
        """Sockets that are open, with those of connections that yielded."""
        self._by_phase: dict[Phase, dict[CallerConnection, None]] = {
            phase: {} for phase in Phase
        }
        """Connections by phase, the longest in it first."""
        self._unfinished: dict[RequestHolding, None] = {}
        """Requests that have not arrived whole, least recent bytes first."""
        self._waiting_answers: dict[AnswerHolding, None] = {}
        """Answers whose callers have to take some, longest waiting first."""
        self._bytes_by_owner: dict[str, int] = {}
        self._whole_by_owner: dict[str, int] = {}
        """Bytes of the requests that have arrived whole, by client account."""

    def holdings(self) -> tuple[tuple[str, int, int], ...]:
        """Return for each kind its name, what is held, and the most."""
        limits = self.limits
        return (
            ('request_bytes', self.request_bytes, limits.request_bytes),
            ('answer_bytes', self.answer_bytes, limits.request_bytes),
            ('connections', self.connections, limits.connections),
            ('descriptors', self.descriptors, limits.descriptors),
        )

    def open(self, yield_: Callable[[], bool]) -> CallerConnection | None:
        """Return a new connection; None if it has to be closed."""
        if not self._make_room(descriptors=1, connections=1):
            self._lose(LossCause.DESCRIPTORS)
            return None
        connection = CallerConnection(account=self, yield_=yield_)
        self._by_phase[connection.phase][connection] = None
        self.connections += 1
        self.descriptors += 1
        self.sockets += 1
        return connection

    def may_accept(self, opening: int) -> bool:
        """Whether one more may be accepted beside those that open.

        One that has yielded keeps its descriptor until its task has run.
        """
        most = self.limits.descriptors + ACCEPTS_AHEAD
        at_work = self.descriptors - self.connections
        return self.sockets + at_work + opening < most

    def hold_request(self, yield_: Callable[[], None]) -> RequestHolding:
        """Return the holding of a request that begins to arrive."""
        return RequestHolding(account=self, yield_=yield_)

    def hold_answer(
        self,
        request: RequestHolding,
        connection: CallerConnection | None,
        yield_: Callable[[], object],
    ) -> AnswerHolding:
        """Return the holding of the answer to a request."""
        return AnswerHolding(
            account=self, request=request, connection=connection, yield_=yield_
        )

    def may_linger(self) -> bool:
        """Whether a refused caller gets time to read its answer."""
        return len(self._by_phase[Phase.LINGERING]) < MAX_LINGERING

    def _move(self, connection: CallerConnection, phase: Phase) -> None:
        group = self._by_phase[connection.phase]
        if connection in group:
            # One that has yielded is in no group.
            del group[connection]
            connection.phase = phase
            self._by_phase[phase][connection] = None

    def _begin_work(self, connection: CallerConnection) -> bool:
        self._move(connection, Phase.WORKING)
        if not self._make_room(descriptors=WORK_DESCRIPTORS):
            self._lose(LossCause.DESCRIPTORS)
            return False
        # Answers that wait for their callers may hold more than the limit.
        if self.answer_bytes and not self._make_byte_room(
            self.limits.request_bytes
        ):
            self._lose(LossCause.BYTES)
            return False
        self.descriptors += WORK_DESCRIPTORS
        return True

    def _end_work(self, connection: CallerConnection, is_last: bool) -> None:
        self.descriptors -= WORK_DESCRIPTORS
        if is_last:
            self._move(connection, Phase.IDLE)

    def _close(self, connection: CallerConnection) -> None:
        group = self._by_phase[connection.phase]
        if connection in group:
            del group[connection]
            self.connections -= 1
            self.descriptors -= 1

    def _make_room(self, *, descriptors: int, connections: int = 0) -> bool:
        """Have connections yield until there is room; False if none does."""
        while (
            self.descriptors + descriptors > self.limits.descriptors
            or self.connections + connections > self.limits.connections
        ):
            if not (self._yield_connection() or self._yield_answer()):
                return False
        return True

    def _make_byte_room(
        self,
        limit: int,
        *,
        own: RequestHolding | None = None,
        own_bytes: int = 0,
    ) -> bool:
        """Have answers and uploads yield; False if `own` would have to.

        What is alone fits, as each request that the limits of traffic allow:
        its `own_bytes` may be above the limit.
        """
        while self.request_bytes > max(limit, own_bytes):
            if self._yield_answer():
                continue
            if not self._unfinished:
                return False
            loser = self._find_loser()
            if loser is own:
                return False
            loser.give_up()
        return True

    def _yield_answer(self) -> bool:
        """Break off the answer that waits for its caller for too long."""
        longest = next(iter(self._waiting_answers), None)
        if longest is None:
            return False
        if anyio.current_time() - longest.waits_since < STALL_S:
            return False
        self._release_answer(longest)
        if longest.connection is not None:
            self._close(longest.connection)
        longest.yield_()
        self._lose(LossCause.UNREAD_ANSWER)
        return True

    def _yield_connection(self) -> bool:
        for phase in YIELDING_PHASES:
            for connection in self._by_phase[phase]:
                if connection.yield_():
                    self._close(connection)
                    self._lose(LossCause.DESCRIPTORS)
                    return True
        return False

    def _hold(self, holding: RequestHolding, size: int) -> bool:
        self._set(holding, size)
        self._unfinished.pop(holding, None)
        self._unfinished[holding] = None
        if self._make_byte_room(
            self._limit_for(size), own=holding, own_bytes=size
        ):
            return True
        self._drop(holding)
        return False

    def _drop(self, holding: RequestHolding) -> None:
        self._release(holding)
        self._lose(LossCause.BYTES)

    def _hold_answer(self, answer: AnswerHolding, size: int) -> bool:
        before = answer.bytes
        self._resize_answer(answer, size)
        if self._make_byte_room(
            self.limits.large_request_bytes,
            own_bytes=size + answer.request.bytes,
        ):
            return True
        self._resize_answer(answer, before)
        return False

    def _wait_for_caller(self, answer: AnswerHolding, size: int) -> None:
        self._resize_answer(answer, size)
        self._waiting_answers.pop(answer, None)
        self._waiting_answers[answer] = None
        answer.waits_since = anyio.current_time()

    def _release_answer(self, answer: AnswerHolding) -> None:
        self._resize_answer(answer, 0)
        self._waiting_answers.pop(answer, None)

    def _resize_answer(self, answer: AnswerHolding, size: int) -> None:
        self.request_bytes += size - answer.bytes
        self.answer_bytes += size - answer.bytes
        answer.bytes = size

    def _finish(self, holding: RequestHolding, size: int) -> bool:
        if not size and not holding.bytes:
            return True
        if not self._hold(holding, size):
            return False
        self._unfinished.pop(holding, None)
        owned = self._whole_by_owner.get(holding.owner, 0)
        most = self.limits.large_request_bytes // 2
        if owned and size > SMALL_BYTES and owned + size > most:
            # Whole requests never yield: others would find no room.
            self._drop(holding)
            return False
        holding.is_whole = True
        _add(self._whole_by_owner, holding.owner, size)
        return True

    def _limit_for(self, size: int) -> int:
        if size <= SMALL_BYTES:
            return self.limits.request_bytes
        return self.limits.large_request_bytes

    def _find_loser(self) -> RequestHolding:
        """Return the unfinished request that yields.

        It is one that arrives later than its caller waits for the answer, or
        else the largest of the client account that holds most.
        """
        now = anyio.current_time()
        by_owner = self._bytes_by_owner
        return max(
            self._unfinished,
            key=lambda each: (
                each.due_at < now,
                each.bytes > SMALL_BYTES,
                by_owner.get(each.owner, 0),
                each.bytes,
            ),
        )

    def _set(self, holding: RequestHolding, size: int) -> None:
        added = size - holding.bytes
        if added:
            holding.bytes = size
            self.request_bytes += added
            _add(self._bytes_by_owner, holding.owner, added)

    def _release(self, holding: RequestHolding) -> None:
        if holding.is_whole:
            _add(self._whole_by_owner, holding.owner, -holding.bytes)
            holding.is_whole = False
        self._set(holding, 0)
        self._unfinished.pop(holding, None)
        holding.owner = ''
        holding.due_at = math.inf

    def _assign(self, holding: RequestHolding, owner: str) -> None:
        _add(self._bytes_by_owner, holding.owner, -holding.bytes)
        holding.owner = owner
        _add(self._bytes_by_owner, owner, holding.bytes)

    def _lose(self, cause: LossCause) -> None:
        self.record.add(
            cause,
            held_bytes=self.request_bytes,
            open_connections=self.connections,
            used_descriptors=self.descriptors,
        )


def _add(bytes_by_owner: dict[str, int], owner: str, added: int) -> None:
    total = bytes_by_owner.get(owner, 0) + added
    if total:
        bytes_by_owner[owner] = total
    else:
        bytes_by_owner.pop(owner, None)

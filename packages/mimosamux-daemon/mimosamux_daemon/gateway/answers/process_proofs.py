"""Finds out whether the process of an endpoint lives on.

Nothing that an endpoint has sent before, and no connection that its kernel
accepts, tells that. An answer to a question that was sent later does.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import anyio

from mimosamux_daemon.domain.routes import ServiceEntry
from mimosamux_daemon.gateway.balancing.endpoint_record import EndpointRecord
from mimosamux_daemon.gateway.configuration import ConfirmedConfiguration
from mimosamux_daemon.ports.endpoint_calls import EndpointCalls, ProcessState

PROOF_TIMEOUT_S = 1.5
"""Longest wait for an answer: sound endpoints fall silent for a second, and
callers leave a stream that pauses for two."""
RETRY_PAUSE_S = 0.05
"""Pause before an endpoint is asked again whose connection was reset."""
OVERLAP_S = 0.25
"""Longest wait for the answer to a question that was sent too early, before
another one is sent beside it: an endpoint whose answers take a second is as
sound as one that answers at once."""


@dataclass(kw_only=True, slots=True)
class _Question:
    """A question under way, and its answer."""

    asked_at: float
    state: ProcessState | None = None
    """None: not answered, or given up by whoever asked."""
    ended: anyio.Event = field(default_factory=anyio.Event)


@dataclass(kw_only=True, slots=True, eq=False)
class _Waiter:
    """Somebody who waits for proof that a process lives."""

    since: float
    """Time from which on the process has to have answered something."""
    scope: anyio.CancelScope
    is_proved: bool = False
    """Whether the process has answered a request that was sent since."""


@dataclass(kw_only=True, slots=True)
class _Inquiry:
    """All who ask about one endpoint at the moment."""

    latest: _Question | None = None
    waiters: set[_Waiter] = field(default_factory=set)


@dataclass(kw_only=True, slots=True)
class ProcessProofs:
    """Asks endpoints whether their processes run.

    All who want to know it of one endpoint at the same time share a question,
    if it is sent behind what each of them wants proof for.
    """

    calls: EndpointCalls
    configuration: ConfirmedConfiguration
    clock: Callable[[], float]
    _inquiry_by_record: dict[EndpointRecord, _Inquiry] = field(
        default_factory=dict
    )

    async def find_state(self, record: EndpointRecord) -> ProcessState:
        """Return the state of an endpoint's process from now on.

        UNKNOWN: nothing answered within `PROOF_TIMEOUT_S`.
        """
        with anyio.move_on_after(PROOF_TIMEOUT_S) as scope:
            waiter = _Waiter(since=self.clock(), scope=scope)
            with self._join(record, waiter) as inquiry:
                return await self._find(record, inquiry, waiter.since)
        if waiter.is_proved:
            return ProcessState.RUNNING
        return ProcessState.UNKNOWN

    def note_answer(self, record: EndpointRecord, sent_at: float) -> None:
        """Note that an endpoint has answered a request sent at a time.

        That proves as much as an answer to a question, which a busy plain
        endpoint may give much later. An id that is kept across starts does
        not tell which one has answered.
        """
        inquiry = self._inquiry_by_record.get(record)
        if inquiry is None or record.incarnation:
            return
        for waiter in inquiry.waiters:
            if waiter.since <= sent_at:
                waiter.is_proved = True
                waiter.scope.cancel()

    async def ask(
        self,
        record: EndpointRecord,
        *,
        timeout_s: float,
        on_new_connection: bool,
    ) -> ProcessState:
        """Ask an endpoint's process once; UNKNOWN: it did not answer."""
        with anyio.move_on_after(timeout_s):
            return await self._ask_once(
                record, on_new_connection=on_new_connection
            )
        return ProcessState.UNKNOWN

    async def _ask_once(
        self, record: EndpointRecord, *, on_new_connection: bool
    ) -> ProcessState:
        name = record.listed.service
        services_by_name = self.configuration.current.services_by_name
        return await self.calls.ask_process(
            record.listed,
            services_by_name.get(name) or ServiceEntry(name=name),
            on_new_connection=on_new_connection,
        )

    @contextmanager
    def _join(
        self, record: EndpointRecord, waiter: _Waiter
    ) -> Iterator[_Inquiry]:
        inquiry = self._inquiry_by_record.setdefault(record, _Inquiry())
        inquiry.waiters.add(waiter)
        try:
            yield inquiry
        finally:
            inquiry.waiters.discard(waiter)
            if not inquiry.waiters:
                del self._inquiry_by_record[record]

    async def _find(
        self, record: EndpointRecord, inquiry: _Inquiry, since: float
    ) -> ProcessState:
        """Wait for the answer to a question sent since, or ask it."""
        while True:
            question = inquiry.latest
            if question is None:
                return await self._ask(record, inquiry)
            is_due = True
            if question.asked_at >= since:
                await question.ended.wait()
                if question.state is not None:
                    return question.state
            else:
                is_due = not await self._is_renewed(question)
            if is_due and inquiry.latest is question:
                return await self._ask(record, inquiry)

    async def _is_renewed(self, question: _Question) -> bool:
        """Wait for an early question's end; whether it was sent again."""
        asked_at = question.asked_at
        with anyio.move_on_after(asked_at + OVERLAP_S - self.clock()):
            await question.ended.wait()
        return question.asked_at > asked_at

    async def _ask(
        self, record: EndpointRecord, inquiry: _Inquiry
    ) -> ProcessState:
        inquiry.latest = question = _Question(asked_at=self.clock())
        try:
            question.state = await self._ask_until_known(record, question)
        finally:
            question.ended.set()
        return question.state

    async def _ask_until_known(
        self, record: EndpointRecord, question: _Question
    ) -> ProcessState:
        on_new_connection = True
        while True:
            question.asked_at = self.clock()
            state = await self._ask_once(
                record, on_new_connection=on_new_connection
            )
            if state is not ProcessState.UNKNOWN:
                return state
            on_new_connection = not on_new_connection
            await anyio.sleep(RETRY_PAUSE_S)

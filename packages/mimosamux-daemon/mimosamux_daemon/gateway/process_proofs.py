"""Finds out whether the process of an endpoint lives on.

Nothing that an endpoint has sent before, and no connection that its kernel
accepts, tells that. An answer to a question that was sent later does.
"""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
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


@dataclass(frozen=True, kw_only=True, slots=True)
class _Proof:
    """The result of a question."""

    asked_at: float
    state: ProcessState


@dataclass(kw_only=True, slots=True)
class _Turn:
    """Questions to one endpoint, which are asked one after the other."""

    lock: anyio.Lock = field(default_factory=anyio.Lock)
    latest: _Proof | None = None
    users: int = 0


@dataclass(kw_only=True, slots=True)
class ProcessProofs:
    """Asks endpoints whether their processes run.

    All who want to know it of one endpoint at the same time share a question,
    if it is sent behind what each of them wants proof for.
    """

    calls: EndpointCalls
    configuration: ConfirmedConfiguration
    clock: Callable[[], float]
    _turn_by_record: dict[EndpointRecord, _Turn] = field(default_factory=dict)

    async def find_state(self, record: EndpointRecord) -> ProcessState:
        """Return the state of an endpoint's process from now on.

        UNKNOWN: nothing answered within `PROOF_TIMEOUT_S`.
        """
        since = self.clock()
        with anyio.move_on_after(PROOF_TIMEOUT_S):
            async with self._turn(record) as turn:
                if turn.latest is None or turn.latest.asked_at < since:
                    turn.latest = await self._ask_until_known(record)
                return turn.latest.state
        return ProcessState.UNKNOWN

    async def ask(
        self,
        record: EndpointRecord,
        *,
        timeout_s: float,
        on_new_connection: bool,
    ) -> ProcessState:
        """Ask an endpoint's process once; UNKNOWN: it did not answer."""
        with anyio.move_on_after(timeout_s):
            return await self.calls.ask_process(
                record.listed,
                self._service_of(record),
                on_new_connection=on_new_connection,
            )
        return ProcessState.UNKNOWN

    @asynccontextmanager
    async def _turn(self, record: EndpointRecord) -> AsyncIterator[_Turn]:
        turn = self._turn_by_record.setdefault(record, _Turn())
        turn.users += 1
        try:
            async with turn.lock:
                yield turn
        finally:
            turn.users -= 1
            if not turn.users:
                del self._turn_by_record[record]

    async def _ask_until_known(self, record: EndpointRecord) -> _Proof:
        on_new_connection = True
        while True:
            asked_at = self.clock()
            state = await self.ask(
                record,
                timeout_s=PROOF_TIMEOUT_S,
                on_new_connection=on_new_connection,
            )
            if state is not ProcessState.UNKNOWN:
                return _Proof(asked_at=asked_at, state=state)
            on_new_connection = not on_new_connection
            await anyio.sleep(RETRY_PAUSE_S)

    def _service_of(self, record: EndpointRecord) -> ServiceEntry:
        """Return the service of an endpoint, as far as it is configured."""
        name = record.listed.service
        services_by_name = self.configuration.current.services_by_name
        return services_by_name.get(name) or ServiceEntry(name=name)

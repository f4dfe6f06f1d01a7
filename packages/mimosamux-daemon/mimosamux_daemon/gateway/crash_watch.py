"""Notices endpoints that crash.

A broken answer alone says little: connections are reset, and answers break
off at endpoints that live on. Only where nothing listens at the endpoint any
more, and nobody had said that it would leave, has its process crashed.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from mimosamux_daemon.domain.gateway import EndpointState
from mimosamux_daemon.domain.names import ContentKey
from mimosamux_daemon.gateway.crash_exchange import CrashExchange
from mimosamux_daemon.gateway.crash_suspects import EndpointStart
from mimosamux_daemon.gateway.endpoint_record import EndpointRecord
from mimosamux_daemon.gateway.metrics import GatewayMetrics
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports.endpoint_calls import EndpointCalls, Presence

log = get_log('crash_watch')

LOOK_AGAIN_S = 0.1
"""Pause between two looks at an endpoint; one that is ending may take a
connection yet."""
LOOKS_PRESENT = 2
"""Looks in a row that have to find an endpoint there."""
ALIVE_S = 1.0
"""Time after which the list has told whether an endpoint that answers again
is another process under the same id."""
UNDECIDED_S = 10.0
"""Time after which an endpoint that neither answers nor leaves the list
counts as cut off, not as crashed."""


@dataclass(kw_only=True, slots=True)
class CrashWatch:
    """Looks after endpoints at which answers broke."""

    exchange: CrashExchange
    calls: EndpointCalls
    metrics: GatewayMetrics
    clock: Callable[[], float]
    _broken: dict[EndpointRecord, set[ContentKey]] = field(
        default_factory=dict
    )
    """What was under way at endpoints that are looked after."""
    _waiting: list[EndpointRecord] = field(default_factory=list)
    _answering: list[EndpointRecord] = field(default_factory=list)
    """Those that were taken for crashed and have answered since."""
    _arrived: anyio.Event = field(default_factory=anyio.Event)

    def note_broken(self, content: ContentKey, record: EndpointRecord) -> None:
        """Note that the answer to a request broke off at an endpoint."""
        if record.is_leaving:
            return
        if record.has_crashed:
            self.exchange.note_crash(_start_of(record), (content,))
            return
        contents = self._broken.setdefault(record, set())
        contents.add(content)
        if len(contents) == 1:
            self._waiting.append(record)
            self._arrived.set()

    def note_answer(self, record: EndpointRecord) -> None:
        """Note that an endpoint has begun to answer.

        Behind a cut that refuses connections it looked as if it had crashed.
        """
        if record.has_crashed:
            record.has_crashed = False
            self._answering.append(record)
            self._arrived.set()

    async def run(self) -> None:
        """Look after endpoints until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await self._arrived.wait()
                self._arrived = anyio.Event()
                waiting, self._waiting = self._waiting, []
                for record in waiting:
                    tasks.start_soon(self._look_after, record)
                answering, self._answering = self._answering, []
                for record in answering:
                    tasks.start_soon(self._withdraw, record)

    async def _withdraw(self, record: EndpointRecord) -> None:
        await anyio.sleep(ALIVE_S)
        if record.gone_at is None:
            self.exchange.withdraw(_start_of(record))

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
            self.exchange.note_crash(_start_of(record), contents)

    async def _find_whether_crashed(self, record: EndpointRecord) -> bool:
        until = self.clock() + UNDECIDED_S
        present = 0
        while self.clock() < until:
            if record.listed.state is EndpointState.LEAVING:
                return False
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


def _start_of(record: EndpointRecord) -> EndpointStart:
    return EndpointStart(id=record.id, incarnation=record.incarnation)

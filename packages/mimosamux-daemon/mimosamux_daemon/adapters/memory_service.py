"""Plain services in memory, which record each call that they ran."""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
import anyio.lowlevel

from mimosamux_daemon.domain.engine import ConnectFailed
from mimosamux_daemon.domain.names import EndpointId
from mimosamux_daemon.domain.vms import Endpoint
from mimosamux_daemon.domain.work import ServiceCall
from mimosamux_daemon.ports.models.service import (
    ServiceAnswer,
    ServiceUnanswered,
)


@dataclass(kw_only=True, slots=True)
class ServiceFaults:
    """What goes wrong at present; tests change it while running."""

    refuse_connects: frozenset[EndpointId] = frozenset()
    delay_s: float = 0.0
    """Time between the run of a call and its answer."""
    cut_next: int = 0
    """So many calls run, and their connection is cut before the answer."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceRun:
    """One call that a service has run."""

    endpoint: EndpointId
    call: ServiceCall
    at: float


def echo_answer(call: ServiceCall, run: int) -> ServiceAnswer:
    """Return an answer that names the run it came from."""
    return ServiceAnswer(
        status=200,
        headers=(('content-type', 'text/plain'),),
        body=b'run %d: %s' % (run, call.body),
    )


@dataclass(kw_only=True, slots=True)
class MemoryServices:
    """The `Services` port; `runs` holds every call that ran, in order."""

    faults: ServiceFaults = field(default_factory=ServiceFaults)
    runs: list[ServiceRun] = field(default_factory=list)
    answer: Callable[[ServiceCall, int], ServiceAnswer] = echo_answer

    async def call(
        self, endpoint: Endpoint, call: ServiceCall
    ) -> ServiceAnswer | ConnectFailed | ServiceUnanswered:
        """Run one call and record it."""
        await anyio.lowlevel.checkpoint()
        if endpoint.id in self.faults.refuse_connects:
            return ConnectFailed(reason='connection refused')
        self.runs.append(
            ServiceRun(
                endpoint=endpoint.id, call=call, at=anyio.current_time()
            )
        )
        answer = self.answer(call, len(self.runs))
        if self.faults.delay_s:
            await anyio.sleep(self.faults.delay_s)
        if self.faults.cut_next > 0:
            self.faults.cut_next -= 1
            return ServiceUnanswered(reason='connection cut')
        return answer

"""Detects endpoints that crash.

A broken answer is no proof of a crash: connections are reset, and answers
break off, at endpoints that live on. A process has crashed if nothing listens
at the endpoint and the endpoint was not announced as leaving.

An answer with neither a length nor chunks is no proof of health either: its
connection, which ends it, may have ended with the process.
"""

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

import anyio

from mimosamux_daemon.domain.gateway import EndpointState
from mimosamux_daemon.domain.names import ContentKey
from mimosamux_daemon.gateway.answers.process_proofs import ProcessProofs
from mimosamux_daemon.gateway.balancing.endpoint_record import EndpointRecord
from mimosamux_daemon.gateway.crashes.exchange import CrashExchange
from mimosamux_daemon.gateway.crashes.suspects import EndpointIncarnation
from mimosamux_daemon.gateway.metrics import GatewayMetrics
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports.endpoint_calls import ProcessState

log = get_log('crash_detector')

CHECK_INTERVAL_S = 0.1
"""Pause between two questions to an endpoint: a process that is ending may
still answer one."""
RECHECK_PAUSE_S = 0.2
"""Pause before an endpoint is checked once more, for what was noted during the
last check: a process that answered may have ended since."""
MIN_ANSWERS = 2
"""Consecutive questions that must be answered before an endpoint counts as
alive."""
QUESTION_TIMEOUT_S = 1.0
"""Time after which a question counts as not answered."""
WITHDRAWAL_DELAY_S = 1.0
"""Delay before a crash is withdrawn. By then the endpoint list shows whether
the endpoint that answers is a new process under the same id."""
DETECTION_TIMEOUT_S = 10.0
"""Time after which an endpoint that neither answers nor leaves the endpoint
list counts as partitioned, not as crashed."""


@dataclass(kw_only=True, slots=True)
class CrashDetector:
    """Checks endpoints whose answers broke off, or seem to be whole."""

    exchange: CrashExchange
    proofs: ProcessProofs
    metrics: GatewayMetrics
    clock: Callable[[], float]
    on_whole_run: Callable[[Iterable[ContentKey]], None]
    """Called with the keys of a run that its endpoint outlived."""
    _contents_by_record: dict[EndpointRecord, set[ContentKey]] = field(
        default_factory=dict
    )
    """Contents whose answers broke off, by endpoint under check."""
    _unchecked: list[EndpointRecord] = field(default_factory=list)
    """Endpoints whose check has not begun."""
    _answering: list[EndpointRecord] = field(default_factory=list)
    """Endpoints that were declared crashed and answer again."""
    _runs_by_record: dict[EndpointRecord, list[tuple[ContentKey, ...]]] = (
        field(default_factory=dict)
    )
    """Keys of runs that are whole if their endpoint, under check, lives."""
    _has_answered: set[EndpointRecord] = field(default_factory=set)
    """Endpoints under check that have answered a question since the ends of
    all answers that are to be checked."""
    _has_work: anyio.Event = field(default_factory=anyio.Event)

    def note_broken_answer(
        self, contents: Collection[ContentKey], record: EndpointRecord
    ) -> None:
        """Record that an answer of an endpoint broke off.

        `contents` are the keys of all that may have caused it.
        """
        if record.is_leaving:
            return
        if record.has_crashed:
            self.exchange.report_crash(_incarnation_of(record), contents)
            return
        self._has_answered.discard(record)
        self._accuse(record, contents)

    def _accuse(
        self, record: EndpointRecord, contents: Iterable[ContentKey]
    ) -> None:
        """Have an endpoint checked, and contents suspected if it crashed."""
        if record not in self._contents_by_record:
            self._contents_by_record[record] = set()
            self._unchecked.append(record)
            self._has_work.set()
        self._contents_by_record[record].update(contents)

    def note_whole_run(
        self,
        record: EndpointRecord,
        *,
        contents: tuple[ContentKey, ...],
        suspects: tuple[ContentKey, ...],
        ends_with_connection: bool,
    ) -> None:
        """Record a run from start to end, as far as its answer shows.

        `contents` are the keys of all that it shares with other requests,
        `suspects` those that caused the crash, if the endpoint has crashed.
        One that ends with its connection counts as whole since the endpoint
        has answered a question behind it.
        """
        if not ends_with_connection or not record.accepts_requests:
            self.on_whole_run(contents)
            return
        if record not in self._contents_by_record:
            self._has_answered.add(record)
        self._accuse(record, suspects)
        self._runs_by_record.setdefault(record, []).append(contents)

    def note_answer(self, record: EndpointRecord) -> None:
        """Record an answer, which disproves an earlier crash.

        A network partition in which connections are refused looks like a
        crash.
        """
        if record.has_crashed:
            record.has_crashed = False
            self._answering.append(record)
            self._has_work.set()

    async def run(self) -> None:
        """Check endpoints until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await self._has_work.wait()
                self._has_work = anyio.Event()
                unchecked, self._unchecked = self._unchecked, []
                for record in unchecked:
                    tasks.start_soon(self._check, record)
                answering, self._answering = self._answering, []
                for record in answering:
                    tasks.start_soon(self._withdraw, record)

    async def _withdraw(self, record: EndpointRecord) -> None:
        await anyio.sleep(WITHDRAWAL_DELAY_S)
        if record.gone_at is None:
            self.exchange.withdraw(_incarnation_of(record))

    async def _check(self, record: EndpointRecord) -> None:
        """Check an endpoint until nothing new was noted during a check."""
        while True:
            contents = self._contents_by_record[record]
            runs = self._runs_by_record.pop(record, ())
            self._contents_by_record[record] = set()
            state = await self._find_state(record)
            if state is ProcessState.ENDED:
                contents |= self._contents_by_record.pop(record)
                self._runs_by_record.pop(record, None)
                self._report(record, contents)
                return
            for run in runs if state is ProcessState.RUNNING else ():
                self.on_whole_run(run)
            if not self._contents_by_record[record]:
                del self._contents_by_record[record]
                return
            await anyio.sleep(RECHECK_PAUSE_S)

    def _report(
        self, record: EndpointRecord, contents: Collection[ContentKey]
    ) -> None:
        record.has_crashed = True
        service = record.listed.service
        self.metrics.endpoint_crashes.inc({'service': service})
        log.warning(
            'endpoint_crashed',
            endpoint=record.id,
            incarnation=record.incarnation,
            contents=len(contents),
        )
        self.exchange.report_crash(_incarnation_of(record), contents)

    async def _find_state(self, record: EndpointRecord) -> ProcessState:
        """Return whether an endpoint's process runs or has crashed.

        UNKNOWN: neither can be told. One that leaves has not crashed.
        """
        deadline = self.clock() + DETECTION_TIMEOUT_S
        answers = int(record in self._has_answered)
        self._has_answered.discard(record)
        if answers:
            await anyio.sleep(CHECK_INTERVAL_S)
        while self.clock() < deadline:
            if record.listed.state is EndpointState.LEAVING:
                return ProcessState.RUNNING
            if record.gone_at is not None:
                return ProcessState.ENDED
            state = await self.proofs.ask(
                record,
                timeout_s=QUESTION_TIMEOUT_S,
                on_new_connection=answers == 0,
            )
            if state in (ProcessState.ENDED, ProcessState.REPLACED):
                return ProcessState.ENDED
            if state is ProcessState.UNIDENTIFIED:
                break
            answers = answers + 1 if state is ProcessState.RUNNING else 0
            if answers >= MIN_ANSWERS:
                return ProcessState.RUNNING
            await anyio.sleep(CHECK_INTERVAL_S)
        log.info('endpoint_end_undecided', endpoint=record.id)
        return ProcessState.UNKNOWN


def _incarnation_of(record: EndpointRecord) -> EndpointIncarnation:
    return EndpointIncarnation(id=record.id, incarnation=record.incarnation)

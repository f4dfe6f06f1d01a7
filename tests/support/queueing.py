"""Small site of engines and daemons' dispatchers, without a network."""

import heapq
import random
from contextlib import contextmanager
from dataclasses import dataclass, field

import anyio
from mimosamux_daemon.domain.gateway import (
    GatewayRequest,
    ListedEndpoint,
    PromptInfo,
    PromptPart,
)
from mimosamux_daemon.domain.http_messages import RequestHead
from mimosamux_daemon.domain.names import (
    AccountId,
    DataCentreName,
    EndpointId,
    ServiceName,
)
from mimosamux_daemon.domain.routes import (
    AccountEntry,
    EngineCapabilities,
    Route,
    RouteKind,
    ServiceEntry,
)
from mimosamux_daemon.gateway.admission.answer_statistics import (
    AnswerStatistics,
)
from mimosamux_daemon.gateway.admission.load_shedding import (
    WINDOW_S,
    LoadShedding,
)
from mimosamux_daemon.gateway.admission.request_dispatcher import (
    RequestDispatcher,
)
from mimosamux_daemon.gateway.admission.retry_times import RetryTimes
from mimosamux_daemon.gateway.jobs import Job
from mimosamux_daemon.gateway.metrics import GatewayMetrics
from mimosamux_daemon.gateway.roster import Roster
from mimosamux_daemon.gateway.store_health import StoreHealth
from mimosamux_daemon.serving.fair_shares import FairShares

from tests.support.choosers import make_chooser

LLM = ServiceName('llm')
NORTH = DataCentreName('north')
ENGINE = EngineCapabilities(
    slots=6, cache_tokens=100_000, bytes_per_token=1.0, link_mbps=1000.0
)
TARGET_S, LIMIT_S = 1.0, 10.0
PROMPT_TOKENS = 9000
"""Prompt that an engine prefills in 0.1 s by its default speed."""


def now():
    return anyio.current_time()


def make_job(
    name='r',
    account='school',
    *,
    target_s=TARGET_S,
    limit_s=LIMIT_S,
    prompt_tokens=PROMPT_TOKENS,
    service=LLM,
    **fields,
):
    """Return a job whose request arrives now."""
    prompt = PromptInfo(
        prompt_tokens=prompt_tokens,
        parts=(PromptPart(id=name, tokens=prompt_tokens),),
    )
    return Job(
        request=GatewayRequest(
            id=name,
            head=RequestHead(method=b'POST', target=b'/draft/1', headers=()),
            body=b'',
            host='site',
            received_at=now(),
            prompt=prompt,
        ),
        route=Route(
            name='draft',
            host='site',
            prefix=b'/draft/',
            kind=fields.pop('kind', RouteKind.STREAM),
            splits=(),
            timeout_s=limit_s,
            latency_target_s=target_s,
        ),
        service=ServiceEntry(name=service, engine=ENGINE),
        account=AccountEntry(id=AccountId(account)),
        sink=None,
        **fields,
    )


@dataclass(kw_only=True)
class FakeCaller:
    """A caller that may disconnect."""

    scopes: list = field(default_factory=list)

    def cancel_on_disconnect(self, scope):
        self.scopes.append(scope)

    def disconnect(self):
        for scope in self.scopes:
            scope.cancel()


class Entry:
    """The parts of a daemon that choose, shed and queue."""

    def __init__(self, name='one', *, engines=1, slots=6, seed=1, daemons=1):
        rng = random.Random(seed)
        self.name = name
        self.roster = Roster(
            clock=now, time_of_day=now, health=StoreHealth(clock=now)
        )
        self.chooser = make_chooser(
            self.roster,
            clock=now,
            rng=rng,
            daemons=lambda: daemons,
            is_relayed=lambda: True,
        )
        for number in range(engines):
            self.list_engine(number, slots)
        self.shedding = LoadShedding(
            shares=FairShares(window_s=WINDOW_S), clock=now
        )
        self.answers = AnswerStatistics(roster=self.roster, clock=now)
        self.dispatcher = RequestDispatcher(
            shedding=self.shedding,
            retry_times=RetryTimes(
                site_rate_per_s=self.answers.site_rate_per_s,
                daemons=lambda: daemons,
                clock=now,
                rng=rng,
            ),
            answers=self.answers,
            chooser=self.chooser,
            is_flat=lambda: False,
            daemons=lambda: daemons,
            wait_until_fresh=anyio.lowlevel.checkpoint,
            digest_age_s=lambda: 0.0,
            metrics=GatewayMetrics(),
            clock=now,
        )

    def list_engine(self, number, slots=6, service=LLM):
        id_ = EndpointId(f'e-{number}')
        item = ListedEndpoint(
            id=id_,
            service=service,
            address=f'10.0.0.{number}:1',
            data_centre=NORTH,
            slots=slots,
        )
        self.roster.apply([(id_, item)])

    def record(self, number=0):
        return self.roster.by_id[EndpointId(f'e-{number}')]

    def unlist(self, number):
        self.roster.apply([(f'e-{number}', None)])

    def choose(self, job):
        return self.chooser.choose(job.service, job.route, job.request.prompt)

    async def place(self, job):
        """Return where a job goes, None if no endpoint takes it."""
        choice = self.choose(job)
        if choice is None:
            return None
        if self.dispatcher.handles(job):
            return await self.dispatcher.place(job, choice, self.choose)
        return self.shedding.find_refusal(job, choice) or choice

    def occupy(self, requests=0, tokens=0.0, number=0):
        """Put load on an engine, as if others had sent it."""
        load = self.record(number).load
        load.requests, load.unread_tokens = requests, tokens

    def free(self, number=0):
        self.occupy(number=number)
        self.dispatcher.note_room(LLM)


LLM_ENTRY = ServiceEntry(name=LLM, engine=ENGINE)


@dataclass(kw_only=True)
class FakeEngine:
    """An engine that serves by priority: slots, and one prefill at a time."""

    slots: int = 6
    prefill_s: float = 0.1
    answer_s: float = 0.3
    _used: dict = field(default_factory=lambda: {'slot': 0, 'prefill': 0})
    _waiting: dict = field(default_factory=lambda: {'slot': [], 'prefill': []})
    _sequence: int = 0

    @contextmanager
    def _release(self, kind):
        try:
            yield
        finally:
            self._used[kind] -= 1
            if self._waiting[kind]:
                self._used[kind] += 1
                heapq.heappop(self._waiting[kind])[2].set()

    async def _acquire(self, kind, limit, priority):
        if self._used[kind] < limit:
            self._used[kind] += 1
            return
        event = anyio.Event()
        self._sequence += 1
        heapq.heappush(self._waiting[kind], (priority, self._sequence, event))
        await event.wait()

    async def run(self, priority, on_first_event):
        """Serve one request."""
        await self._acquire('slot', self.slots, priority)
        with self._release('slot'):
            await self._acquire('prefill', 1, priority)
            with self._release('prefill'):
                await anyio.sleep(self.prefill_s)
            on_first_event()
            await anyio.sleep(self.answer_s)

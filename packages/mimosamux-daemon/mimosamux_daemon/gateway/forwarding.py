"""Passes a request on to endpoints until it has its answer."""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import anyio

from mimosamux_daemon.domain.gateway import GatewayRequest, ListedEndpoint
from mimosamux_daemon.domain.http_messages import RawHeaders
from mimosamux_daemon.domain.names import (
    AccountId,
    EndpointId,
    RequestId,
    ServiceName,
)
from mimosamux_daemon.domain.outcomes import Failed, Reason, Refused
from mimosamux_daemon.domain.routes import (
    GatewayConfiguration,
    Route,
    RouteKind,
)
from mimosamux_daemon.gateway.events import EventSplitter
from mimosamux_daemon.gateway.roster import Roster
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports.endpoint_calls import (
    CallBroken,
    EndpointAnswer,
    EndpointCall,
    EndpointCalls,
    NotSent,
    ResumePoint,
    TurnedDown,
)

log = get_log('forwarding')

CONNECTS = 3
"""Endpoints tried in a row that cannot be connected to."""
SOON_S = 0.1


@dataclass(frozen=True, kw_only=True, slots=True)
class Delivered:
    """The endpoint's whole answer went to the caller."""

    status: int


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerGone:
    """The caller left before its answer was whole."""


GatewayOutcome = Delivered | Refused | Failed | CallerGone


class Caller(Protocol):
    """Who waits for an answer."""

    def cancel_when_gone(self, scope: anyio.CancelScope) -> None:
        """Have a scope cancelled once the caller is gone."""


class AnswerSink(Protocol):
    """Where an answer goes; each call is False if the caller is gone."""

    is_started: bool

    async def answer(
        self, status: int, headers: RawHeaders, body: bytes = b''
    ) -> bool:
        """Send a whole answer."""

    async def start(
        self, status: int, headers: RawHeaders, first: bytes = b''
    ) -> bool:
        """Send the head and the first part."""

    async def write(self, data: bytes) -> bool:
        """Send a part of the body."""

    async def finish(self) -> bool:
        """End the answer, so that it counts as whole."""


@dataclass(kw_only=True, slots=True)
class _Job:
    """A request on its way: what was tried and what came of it."""

    request: GatewayRequest
    route: Route
    service: ServiceName
    account: AccountId | None
    sink: AnswerSink
    sent: int = 0
    unsent: int = 0
    has_run: bool = False
    """Whether it may have run, as far as can be known here."""
    tried: set[EndpointId] = field(default_factory=set)
    last_event_id: str | None = None
    weights_version: str | None = None


class Forwarder:
    """Forwards requests, one call each."""

    def __init__(
        self,
        *,
        configuration: Callable[[], GatewayConfiguration],
        roster: Roster,
        calls: EndpointCalls,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._configuration = configuration
        self._roster = roster
        self._calls = calls
        self._clock = clock
        self._rng = rng

    async def forward(
        self, request: GatewayRequest, caller: Caller, sink: AnswerSink
    ) -> GatewayOutcome:
        """Have a request answered; the outcome tells if it was not."""
        job = self._admit(request, sink)
        if isinstance(job, Refused):
            return job
        left_s = self._left_s(job)
        outcome: GatewayOutcome = CallerGone()
        with anyio.move_on_after(left_s) as timer:
            with anyio.CancelScope() as scope:
                if job.route.kind is not RouteKind.NON_IDEMPOTENT:
                    caller.cancel_when_gone(scope)
                outcome = await self._run(job)
        if timer.cancelled_caught:
            return self._late(job)
        return outcome

    def _admit(
        self, request: GatewayRequest, sink: AnswerSink
    ) -> _Job | Refused:
        configuration = self._configuration()
        if configuration.version == 0:
            return Refused(
                reason=Reason.NO_CONFIGURATION,
                message='no configuration yet',
                retry_after_s=0.5,
            )
        route = configuration.find_route(request.host, request.head.path)
        if route is None:
            return Refused(reason=Reason.NO_ROUTE, message='no route')
        account = None
        if configuration.needs_key and not route.is_anonymous:
            entry = configuration.accounts_by_key.get(request.key or '')
            if entry is None:
                return Refused(reason=Reason.NOT_AUTHORISED, message='key')
            account = entry.id
        return _Job(
            request=request,
            route=route,
            service=self._pick_service(route),
            account=account,
            sink=sink,
        )

    def _pick_service(self, route: Route) -> ServiceName:
        if len(route.splits) == 1:
            return route.splits[0].service
        weights = [split.weight for split in route.splits]
        return self._rng.choices(route.splits, weights)[0].service

    def _left_s(self, job: _Job) -> float:
        passed_s = self._clock() - job.request.received_at
        patience_s = job.request.patience_s
        limit_s = min(
            job.route.timeout_s, math.inf if patience_s is None else patience_s
        )
        return limit_s - passed_s

    async def _run(self, job: _Job) -> GatewayOutcome:
        while True:
            endpoint = self._choose(job)
            if isinstance(endpoint, Refused):
                return endpoint
            outcome = await self._try_at(job, endpoint)
            if outcome is not None:
                return outcome

    def _choose(self, job: _Job) -> ListedEndpoint | Refused:
        endpoints = [
            endpoint
            for endpoint in self._roster.serving(job.service)
            if endpoint.id not in job.tried
        ]
        if not endpoints:
            return Refused(
                reason=Reason.NO_ENDPOINT,
                message=f'no endpoint serves {job.service}',
                retry_after_s=0.5,
            )
        return self._rng.choice(endpoints)

    async def _try_at(
        self, job: _Job, endpoint: ListedEndpoint
    ) -> GatewayOutcome | None:
        """Return the outcome, None to go on elsewhere."""
        job.tried.add(endpoint.id)
        call = EndpointCall(
            request=job.request,
            endpoint=endpoint,
            left_s=self._left_s(job),
            account=job.account,
            resume=_resume_point(job),
        )
        async with self._calls.send(call) as answer:
            if isinstance(answer, NotSent):
                job.unsent += 1
                if job.unsent < CONNECTS:
                    return None
                return Refused(
                    reason=Reason.NO_ENDPOINT,
                    message=answer.reason,
                    retry_after_s=SOON_S,
                )
            job.sent += 1
            if isinstance(answer, TurnedDown):
                if job.sent < job.route.max_endpoints:
                    return None
                return self._refuse(job, answer)
            job.has_run = True
            if isinstance(answer, CallBroken):
                return self._broken(job, answer)
            if job.route.kind is RouteKind.STREAM and answer.status == 200:
                return await self._relay(job, answer)
            return await self._pass_on(job, answer)

    def _refuse(self, job: _Job, answer: TurnedDown) -> GatewayOutcome:
        if job.has_run:
            return Failed(
                request=RequestId(job.request.id),
                reason=Reason.ENDPOINT_FAILED,
                message='turned down after it had run elsewhere',
            )
        return Refused(
            reason=Reason.TURNED_DOWN,
            message=f'status {answer.status}',
            retry_after_s=answer.retry_after_s or SOON_S,
        )

    def _broken(self, job: _Job, broken: CallBroken) -> GatewayOutcome | None:
        log.info('call_broken', request=job.request.id, reason=broken.reason)
        if job.route.may_repeat and job.sent < job.route.max_endpoints:
            return None
        return Failed(
            request=RequestId(job.request.id),
            reason=Reason.ENDPOINT_FAILED,
            message=broken.reason,
        )

    async def _pass_on(
        self, job: _Job, answer: EndpointAnswer
    ) -> GatewayOutcome | None:
        body = bytearray()
        while (part := await answer.receive()) is not None:
            if isinstance(part, CallBroken):
                return self._broken(job, part)
            body += part
        can_retry = job.route.may_repeat and (
            job.sent < job.route.max_endpoints
        )
        if answer.status >= 500 and can_retry:
            return None
        is_sent = await job.sink.answer(
            answer.status, answer.headers, bytes(body)
        )
        return Delivered(status=answer.status) if is_sent else CallerGone()

    async def _relay(
        self, job: _Job, answer: EndpointAnswer
    ) -> GatewayOutcome | None:
        splitter = EventSplitter()
        job.weights_version = answer.weights_version
        while (part := await answer.receive()) is not None:
            if isinstance(part, CallBroken):
                return self._broken(job, part)
            events = splitter.feed(part)
            if events is None:
                continue
            job.last_event_id = events.last_id or job.last_event_id
            if job.sink.is_started:
                is_sent = await job.sink.write(events.data)
            else:
                is_sent = await job.sink.start(
                    answer.status, answer.headers, events.data
                )
            if not is_sent:
                return CallerGone()
        if splitter.has_rest or not job.sink.is_started:
            return self._broken(job, CallBroken(reason='ended in an event'))
        await job.sink.finish()
        return Delivered(status=answer.status)

    def _late(self, job: _Job) -> GatewayOutcome:
        if job.has_run or job.sent:
            return Failed(
                request=RequestId(job.request.id),
                reason=Reason.DEADLINE,
                message='no answer in time',
            )
        return Refused(
            reason=Reason.NO_ENDPOINT,
            message='no endpoint in time',
            retry_after_s=SOON_S,
        )


def _resume_point(job: _Job) -> ResumePoint | None:
    if job.last_event_id is None:
        return None
    return ResumePoint(
        last_event_id=job.last_event_id, weights_version=job.weights_version
    )

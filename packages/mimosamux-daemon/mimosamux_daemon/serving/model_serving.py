"""Accepts model requests and drives each to its one outcome."""

import anyio
import anyio.abc

from mimosamux_daemon.domain.configuration import Configuration
from mimosamux_daemon.domain.engine import (
    ConnectFailed,
    EngineCall,
    EngineRefused,
    StreamBroken,
    StreamEnd,
)
from mimosamux_daemon.domain.names import EndpointId
from mimosamux_daemon.domain.outcomes import Answered, Failed, Reason, Refused
from mimosamux_daemon.domain.work import ModelRequest
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports.engine import Engines
from mimosamux_daemon.serving.admission import Admission
from mimosamux_daemon.serving.fleet import Fleet
from mimosamux_daemon.serving.relay import AttemptBroken, relay_attempt
from mimosamux_daemon.serving.requests import ActiveRequest, RequestRegistry
from mimosamux_daemon.serving.routing import Choice, Router

log = get_log('serving')

RETRY_PAUSE_S = 0.05


class ModelServing:
    """The serving of model requests at one daemon."""

    def __init__(
        self,
        *,
        engines: Engines,
        fleet: Fleet,
        router: Router,
        admission: Admission,
        registry: RequestRegistry,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        self._engines = engines
        self._fleet = fleet
        self._router = router
        self._admission = admission
        self._registry = registry
        self._tasks = tasks

    async def offer(
        self, request: ModelRequest, configuration: Configuration
    ) -> ActiveRequest | Refused:
        """Accept the request, or refuse it before any of it has run."""
        account = configuration.accounts[request.account]
        choice = self._router.choose(request)
        if isinstance(choice, Refused):
            self._admission.note_refused(account, tokens=request.max_tokens)
            return choice
        refused = self._admission.acquire(
            account,
            request,
            first_token_s=choice.first_token_s,
            tokens=choice.work.tokens + request.max_tokens,
        )
        if refused is not None:
            return refused
        active = ActiveRequest(request=request)
        self._registry.add(active)
        self._tasks.start_soon(self._serve, active, choice)
        return active

    async def _serve(self, active: ActiveRequest, choice: Choice) -> None:
        request = active.request
        try:
            with anyio.CancelScope(deadline=request.deadline):
                await self._try_endpoints(active, choice)
        finally:
            self._admission.release(request.id)
        if not active.has_ended:
            active.end(
                Failed(
                    request=request.id,
                    reason=Reason.DEADLINE,
                    message='the deadline of its class passed',
                )
            )
        log.info(
            'request_ended',
            request=request.id,
            account=request.account,
            work_class=request.work_class.name,
            outcome=type(active.outcome).__name__,
            attempts=active.attempt,
            tokens=len(active.tokens),
        )

    async def _try_endpoints(
        self, active: ActiveRequest, choice: Choice | Refused
    ) -> None:
        excluded: frozenset[EndpointId] = frozenset()
        while not active.has_ended:
            if isinstance(choice, Choice):
                await self._attempt(active, choice)
                excluded = frozenset({choice.endpoint.id})
            else:
                await anyio.sleep(RETRY_PAUSE_S)
                excluded = frozenset()
            choice = self._router.choose(
                active.request,
                answer_tokens=len(active.tokens),
                excluding=excluded,
                accepted=True,
            )

    async def _attempt(self, active: ActiveRequest, choice: Choice) -> None:
        request = active.request
        active.attempt += 1
        call = EngineCall(
            request=request.id,
            attempt=active.attempt,
            model=request.model,
            prompt=request.prompt,
            max_tokens=request.max_tokens,
            priority=request.work_class.priority,
            answer_so_far=tuple(active.tokens),
            parameters=request.parameters,
        )
        endpoint = choice.endpoint
        self._fleet.note_sent(
            endpoint.id, request.id, call.attempt, work=choice.work
        )
        try:
            result = await self._run_attempt(active, choice, call)
        finally:
            self._fleet.note_finished(endpoint.id, request.id)
        if isinstance(result, StreamEnd):
            active.end(
                Answered(
                    request=request.id,
                    text=''.join(active.tokens),
                    tokens=len(active.tokens),
                    finish_reason=result.finish_reason,
                )
            )
            return
        log.info(
            'attempt_broken',
            request=request.id,
            attempt=call.attempt,
            endpoint=endpoint.id,
            reason=result.reason,
        )

    async def _run_attempt(
        self, active: ActiveRequest, choice: Choice, call: EngineCall
    ) -> StreamEnd | AttemptBroken:
        async with self._engines.generate(choice.endpoint, call) as stream:
            failed = isinstance(stream, ConnectFailed)
            self._fleet.note_connect(choice.endpoint.id, failed=failed)
            if isinstance(
                stream, ConnectFailed | EngineRefused | StreamBroken
            ):
                return AttemptBroken(reason=stream.reason)
            return await relay_attempt(stream, call, active)

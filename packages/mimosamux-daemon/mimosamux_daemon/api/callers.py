"""Routes that callers use."""

import uuid
from dataclasses import dataclass

import anyio
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from mimosamux_daemon.api.accounts import find_account
from mimosamux_daemon.api.errors import outcome_response
from mimosamux_daemon.api.models import ChatBody, CompletionBody, parse_body
from mimosamux_daemon.api.streams import stream_events
from mimosamux_daemon.control.configuration import ConfigurationInForce
from mimosamux_daemon.domain.configuration import Configuration
from mimosamux_daemon.domain.names import ClassName, ModelName, RequestId
from mimosamux_daemon.domain.outcomes import Answered, Reason, Refused
from mimosamux_daemon.domain.work import Account, ModelRequest, WorkClass
from mimosamux_daemon.errors import InvalidRequest
from mimosamux_daemon.serving.model_serving import ModelServing
from mimosamux_daemon.serving.requests import ActiveRequest

CLASS_HEADER = 'x-mimosamux-class'
KEY_HEADER = 'idempotency-key'
REQUEST_HEADER = 'X-Mimosamux-Request'


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerRoutes:
    """Handlers of the caller API over the serving of one daemon."""

    in_force: ConfigurationInForce
    serving: ModelServing

    def routes(self) -> list[Route]:
        """Return the routes for the application."""
        return [
            Route(
                '/v1/chat/completions', self.chat_completions, methods=['POST']
            ),
            Route('/v1/completions', self.completions, methods=['POST']),
        ]

    async def chat_completions(self, request: Request) -> Response:
        """Answer `POST /v1/chat/completions`."""
        return await self._complete(request, ChatBody)

    async def completions(self, request: Request) -> Response:
        """Answer `POST /v1/completions`."""
        return await self._complete(request, CompletionBody)

    async def _complete(
        self, request: Request, kind: type[ChatBody] | type[CompletionBody]
    ) -> Response:
        configuration = self.in_force.current
        account = find_account(request, configuration)
        if isinstance(account, Refused):
            return outcome_response(account)
        work_class = find_class(request, configuration)
        if isinstance(work_class, Refused):
            return outcome_response(work_class)
        try:
            body = parse_body(kind, await request.body())  # type: ignore[type-var]
        except InvalidRequest as error:
            return outcome_response(
                Refused(reason=Reason.BAD_REQUEST, message=str(error))
            )
        if body.model not in configuration.models:
            return outcome_response(
                Refused(
                    reason=Reason.UNKNOWN_MODEL,
                    message=f'there is no model {body.model!r}',
                )
            )
        offered = _as_request(request, body, account, work_class)
        active = await self.serving.offer(offered, configuration)
        if isinstance(active, Refused):
            return outcome_response(active)
        if body.stream:
            return stream_response(active, 0)
        return await whole_response(active)


def _as_request(
    request: Request,
    body: ChatBody | CompletionBody,
    account: Account,
    work_class: WorkClass,
) -> ModelRequest:
    return ModelRequest(
        id=RequestId(uuid.uuid4().hex),
        account=account.id,
        work_class=work_class,
        model=ModelName(body.model),
        prompt=body.prompt,
        max_tokens=body.max_tokens,
        arrived=anyio.current_time(),
        idempotency_key=request.headers.get(KEY_HEADER),
        parameters=body.parameters,
    )


def find_class(
    request: Request, configuration: Configuration
) -> WorkClass | Refused:
    """Return the class that the request names, or the only one."""
    if configuration.version == 0:
        return Refused(
            reason=Reason.NO_CONFIGURATION,
            message='no configuration has been accepted yet',
            retry_after_s=5.0,
        )
    name = request.headers.get(CLASS_HEADER)
    if name is None and len(configuration.classes) == 1:
        return next(iter(configuration.classes.values()))
    found = configuration.classes.get(ClassName(name or ''))
    if found is not None:
        return found
    known = ', '.join(sorted(configuration.classes))
    return Refused(
        reason=Reason.UNKNOWN_CLASS,
        message=f'{CLASS_HEADER}: {name!r} is not one of: {known}',
    )


def stream_response(active: ActiveRequest, offset: int) -> Response:
    """Return the answer as server-sent events from `offset` on."""
    return StreamingResponse(
        stream_events(active, offset),
        media_type='text/event-stream',
        headers={
            REQUEST_HEADER: active.request.id,
            'Cache-Control': 'no-store',
        },
    )


async def whole_response(active: ActiveRequest) -> Response:
    """Return the whole answer once it is there."""
    while not active.has_ended:
        await active.wait_beyond(len(active.tokens))
    if not isinstance(active.outcome, Answered):
        return outcome_response(active.outcome)
    answer = active.outcome
    return JSONResponse(
        {
            'id': answer.request,
            'object': 'chat.completion',
            'model': active.request.model,
            'choices': [
                {
                    'index': 0,
                    'message': {'role': 'assistant', 'content': answer.text},
                    'text': answer.text,
                    'finish_reason': answer.finish_reason,
                }
            ],
            'usage': {'completion_tokens': answer.tokens},
        },
        headers={REQUEST_HEADER: answer.request},
    )

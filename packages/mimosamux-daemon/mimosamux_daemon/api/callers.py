"""Routes of the caller API: completions and the state of requests."""

import uuid
from dataclasses import dataclass, field

import anyio
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from mimosamux_daemon.api.accounts import find_account
from mimosamux_daemon.api.answers import (
    EVENT_STREAM,
    REQUEST_HEADER,
    ended_response,
    running_response,
    stream_response,
    unknown_request_response,
    wait_for_response,
)
from mimosamux_daemon.api.bodies import (
    BodyProblem,
    read_body,
    refuse_body,
)
from mimosamux_daemon.api.errors import outcome_response
from mimosamux_daemon.api.models import ChatBody, CompletionBody, parse_body
from mimosamux_daemon.api.streams import EventId, parse_event_id
from mimosamux_daemon.control.configuration import ConfigurationInForce
from mimosamux_daemon.domain.configuration import Configuration
from mimosamux_daemon.domain.names import ClassName, ModelName, RequestId
from mimosamux_daemon.domain.outcomes import InDoubt, Reason, Refused
from mimosamux_daemon.domain.work import Account, ModelRequest, WorkClass
from mimosamux_daemon.errors import InvalidRequest
from mimosamux_daemon.pace import Pace
from mimosamux_daemon.serving.model_serving import ModelServing
from mimosamux_daemon.serving.requests import ActiveRequest, has_same_body

__all__ = [
    'CLASS_HEADER',
    'KEY_HEADER',
    'REQUEST_HEADER',
    'CallerRoutes',
    'find_work_class',
]

CLASS_HEADER = 'x-mimosamux-class'
KEY_HEADER = 'idempotency-key'
EVENT_ID_HEADER = 'last-event-id'
MAX_KEY_LENGTH = 256


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerRoutes:
    """Handlers of the caller API on one daemon."""

    in_force: ConfigurationInForce
    serving: ModelServing
    pace: Pace = field(default_factory=Pace)

    def routes(self) -> list[Route]:
        """Return the routes for the application."""
        return [
            Route(
                '/v1/chat/completions', self.chat_completions, methods=['POST']
            ),
            Route('/v1/completions', self.completions, methods=['POST']),
            Route('/v1/requests/{id}', self.show_request),
        ]

    async def chat_completions(self, request: Request) -> Response:
        """Answer `POST /v1/chat/completions`."""
        return await self._complete(request, ChatBody)

    async def completions(self, request: Request) -> Response:
        """Answer `POST /v1/completions`."""
        return await self._complete(request, CompletionBody)

    async def _complete(
        self,
        request: Request,
        body_type: type[ChatBody] | type[CompletionBody],
    ) -> Response:
        configuration = self.in_force.current
        account = find_account(request, configuration)
        if isinstance(account, Refused):
            return outcome_response(account)
        work_class = find_work_class(request, configuration)
        if isinstance(work_class, Refused):
            return outcome_response(work_class)
        data = await read_body(request, owner=account.id)
        if isinstance(data, BodyProblem):
            return refuse_body(data)
        try:
            body = parse_body(body_type, data)  # type: ignore[type-var]
            # The prompt is a copy of most of it, and the answer takes long.
            del data
            model_request = _build_model_request(
                request, body, account, work_class
            )
            last_event = read_last_event_id(request)
        except InvalidRequest as error:
            return _bad_request(str(error))
        if body.model not in configuration.models:
            return outcome_response(
                Refused(
                    reason=Reason.UNKNOWN_MODEL,
                    message=f'there is no model {body.model!r}',
                )
            )
        active: ActiveRequest | Refused | InDoubt | None
        active = self._find_resumed(last_event, model_request)
        if active is None:
            # An event id from a daemon that is gone names a request that
            # is unknown here: the request starts anew, under a new id.
            last_event = None
            active = await self.serving.offer(model_request, configuration)
        if isinstance(active, Refused | InDoubt):
            return outcome_response(active)
        if body.stream:
            offset = last_event.offset if last_event else 0
            return stream_response(active, offset, self.pace)
        return await wait_for_response(request, active)

    def _find_resumed(
        self, last_event: EventId | None, model_request: ModelRequest
    ) -> ActiveRequest | Refused | None:
        if last_event is None:
            return None
        active = self.serving.registry.find(
            last_event.request, model_request.account
        )
        if active is None:
            return None
        if not has_same_body(active.request, model_request):
            return Refused(
                reason=Reason.CONFLICT,
                message=f'{EVENT_ID_HEADER} names a request with another body',
            )
        return active

    async def show_request(self, request: Request) -> Response:
        """Answer `GET /v1/requests/{id}` with the state and the answer."""
        account = find_account(request, self.in_force.current)
        if isinstance(account, Refused):
            return outcome_response(account)
        request_id = RequestId(request.path_params['id'])
        active = self.serving.registry.find(request_id, account.id)
        if active is None:
            return unknown_request_response(request_id)
        try:
            last_event = read_last_event_id(request)
        except InvalidRequest as error:
            return _bad_request(str(error))
        if EVENT_STREAM in request.headers.get('accept', ''):
            is_same_request = (
                last_event is not None and last_event.request == request_id
            )
            return stream_response(
                active,
                last_event.offset if last_event and is_same_request else 0,
                self.pace,
            )
        if request.query_params.get('wait') == 'true':
            return await wait_for_response(request, active)
        if active.has_ended:
            return ended_response(request, active)
        return running_response(active)


def _bad_request(message: str) -> Response:
    return outcome_response(
        Refused(reason=Reason.BAD_REQUEST, message=message)
    )


def read_last_event_id(request: Request) -> EventId | None:
    """Return the last event that the caller received, or None."""
    text = request.headers.get(EVENT_ID_HEADER)
    if text is None:
        return None
    parsed = parse_event_id(text)
    if parsed is None:
        raise InvalidRequest(
            path=EVENT_ID_HEADER, problem='has to be REQUEST:OFFSET'
        )
    return parsed


def read_idempotency_key(request: Request) -> str | None:
    """Return the idempotency key, or None; check its length."""
    key = request.headers.get(KEY_HEADER)
    if key is not None and not 0 < len(key) <= MAX_KEY_LENGTH:
        raise InvalidRequest(
            path=KEY_HEADER,
            problem=f'has to have 1 to {MAX_KEY_LENGTH} characters',
        )
    return key


def _build_model_request(
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
        idempotency_key=read_idempotency_key(request),
        parameters=body.parameters,
    )


def find_work_class(
    request: Request, configuration: Configuration
) -> WorkClass | Refused:
    """Return the work class that the request names.

    The header may be absent if only one class is configured.
    """
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

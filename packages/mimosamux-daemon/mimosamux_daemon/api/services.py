"""Routes to services other than model engines."""

import uuid
from dataclasses import dataclass, replace

import anyio
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from mimosamux_daemon.api.accounts import find_account
from mimosamux_daemon.api.bodies import BodyProblem, read_body, refuse_body
from mimosamux_daemon.api.caller_gate import (
    GATED_REQUEST,
    GatedRequest,
)
from mimosamux_daemon.api.callers import (
    CLASS_HEADER,
    KEY_HEADER,
    REQUEST_HEADER,
    find_work_class,
)
from mimosamux_daemon.api.errors import outcome_response
from mimosamux_daemon.control.configuration import ConfigurationInForce
from mimosamux_daemon.domain.configuration import Configuration
from mimosamux_daemon.domain.http_headers import end_to_end_headers
from mimosamux_daemon.domain.names import RequestId, ServiceName
from mimosamux_daemon.domain.outcomes import Reason, Refused
from mimosamux_daemon.domain.work import Account, ServiceCall, WorkClass
from mimosamux_daemon.serving.service_calls import ServiceCalls

ATTEMPT_HEADER = 'x-mimosamux-attempt'
FIRST_ATTEMPT = '1'
METHODS = ['GET', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS']
MAX_BODY_BYTES = 8 * 1024 * 1024
"""Largest body of a service call."""
PREFIX_PARTS = 4
"""Path segments before the service's own path: '', v1, services, S."""
DAEMON_HEADERS = frozenset(
    {
        'authorization',
        'host',
        'content-length',
        CLASS_HEADER,
        KEY_HEADER,
        ATTEMPT_HEADER,
    }
)
"""Request headers for the daemon, which are not forwarded."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceRoutes:
    """Handler of calls to `/v1/services`."""

    in_force: ConfigurationInForce
    calls: ServiceCalls

    def routes(self) -> list[Route]:
        """Return the routes for the application."""
        return [
            Route(
                '/v1/services/{service}/{path:path}',
                self.call,
                methods=METHODS,
            )
        ]

    async def call(self, request: Request) -> Response:
        """Forward a call to a service under the rules of its work class."""
        configuration = self.in_force.current
        account = find_account(request, configuration)
        if isinstance(account, Refused):
            return outcome_response(account)
        work_class = find_service_class(request, configuration)
        if isinstance(work_class, Refused):
            return outcome_response(work_class)
        body = await read_body(request, limit=MAX_BODY_BYTES, owner=account.id)
        if isinstance(body, BodyProblem):
            return refuse_body(body, limit=MAX_BODY_BYTES)
        call = _build_service_call(request, account, work_class, body)
        gated: GatedRequest | None = request.scope.get(GATED_REQUEST)
        if gated is not None:
            call = replace(call, ask_room=gated.answer.hold)
        response = outcome_response(await self.calls.call(call, configuration))
        response.headers[REQUEST_HEADER] = call.id
        return response


def find_service_class(
    request: Request, configuration: Configuration
) -> WorkClass | Refused:
    """Return the work class that the request names, or the service's."""
    name = ServiceName(request.path_params['service'])
    service = configuration.services.get(name)
    if configuration.version and service is None:
        return Refused(
            reason=Reason.UNKNOWN_SERVICE,
            message=f'there is no service {name!r}',
        )
    if service is None or CLASS_HEADER in request.headers:
        return find_work_class(request, configuration)
    return configuration.classes[service.work_class]


def _build_service_call(
    request: Request, account: Account, work_class: WorkClass, body: bytes
) -> ServiceCall:
    headers = tuple(request.headers.items())
    return ServiceCall(
        id=RequestId(uuid.uuid4().hex),
        account=account.id,
        work_class=work_class,
        service=ServiceName(request.path_params['service']),
        method=request.method,
        path=_service_path(request),
        headers=end_to_end_headers(headers, without=DAEMON_HEADERS),
        body=body,
        arrived=anyio.current_time(),
        idempotency_key=request.headers.get(KEY_HEADER),
        is_first=request.headers.get(ATTEMPT_HEADER) == FIRST_ATTEMPT,
    )


def _service_path(request: Request) -> str:
    """Return the path after the service's name, undecoded, and the query."""
    raw = request.scope['raw_path'].decode('ascii', errors='replace')
    path = '/' + raw.partition('?')[0].split('/', PREFIX_PARTS)[PREFIX_PARTS]
    query = request.url.query
    return f'{path}?{query}' if query else path

"""Routes of the operator API: configuration, audit, status, drain."""

from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import asdict, dataclass, field
from http import HTTPStatus
from typing import Any

import anyio
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from mimosamux_daemon.api.accounts import bearer_token, digest_key
from mimosamux_daemon.api.bodies import (
    STATUS_BY_PROBLEM,
    BodyProblem,
    describe_problem,
    read_body,
)
from mimosamux_daemon.api.decisions import (
    decision_response,
    describe_version,
    error_response,
)
from mimosamux_daemon.api.operator_models import (
    ApplyBody,
    AuditQuery,
    HistoryQuery,
    SetBody,
    WaitQuery,
    parse_json,
    parse_query,
)
from mimosamux_daemon.control.audit_trail import AuditFilter, AuditTrail
from mimosamux_daemon.control.configuration import ConfigurationReplica
from mimosamux_daemon.control.configuration_acceptor import (
    ConfigurationAcceptor,
)
from mimosamux_daemon.control.configuration_drafts import (
    MAX_DOCUMENT_BYTES,
)
from mimosamux_daemon.control.configuration_log import ConfigurationLog
from mimosamux_daemon.control.membership import Membership
from mimosamux_daemon.control.proposals import (
    ApplyDocument,
    Proposal,
    SetValue,
    StoreUnavailable,
)
from mimosamux_daemon.domain.audit import AuditKind
from mimosamux_daemon.domain.store import Unavailable
from mimosamux_daemon.errors import InvalidRequest

PREFIX = '/v1/operator'
READ = 'read'
"""Role of tokens for reading only."""
WRITE = 'write'
"""Role of tokens for reading, configuration changes and drains."""
MAX_BODY_BYTES = MAX_DOCUMENT_BYTES + 64 * 1024
"""Largest body: a configuration document and its other fields."""

StatusSource = Callable[[], Sequence[Mapping[str, Any]]]
"""Returns the rows of one section of the status."""


def _no_rows() -> Sequence[Mapping[str, Any]]:
    return ()


@dataclass(frozen=True, kw_only=True, slots=True)
class Operator:
    """The bearer of an operator token."""

    who: str
    role: str


@dataclass(frozen=True, kw_only=True, slots=True)
class OperatorRoutes:
    """Handlers of the operator API of one daemon."""

    roles_by_digest: Mapping[str, str]
    """Role (`read` or `write`) by SHA-256 digest of the token."""
    replica: ConfigurationReplica
    acceptor: ConfigurationAcceptor
    log: ConfigurationLog
    membership: Membership
    audit: AuditTrail
    drain: Callable[[], Awaitable[None] | None]
    endpoints: StatusSource = field(default=_no_rows)
    classes: StatusSource = field(default=_no_rows)

    def routes(self) -> list[Route]:
        """Return the routes for the application."""
        return [
            self._route('/configuration', self.read_configuration, READ),
            self._route('/configuration/history', self.read_history, READ),
            self._route('/configuration/wait', self.wait, READ),
            self._route('/configuration/apply', self.apply, WRITE),
            self._route('/configuration/set', self.set, WRITE),
            self._route('/audit', self.read_audit, READ),
            self._route('/status', self.read_status, READ),
            self._route('/drain', self.start_drain, WRITE),
        ]

    async def read_configuration(
        self, request: Request, operator: Operator
    ) -> Response:
        """Return the configuration document in force and its version."""
        return JSONResponse(
            {
                'version': self.replica.version,
                'document': self.replica.document,
            }
        )

    async def read_history(
        self, request: Request, operator: Operator
    ) -> Response:
        """Return configuration versions with their changes, oldest first."""
        query = parse_query(HistoryQuery, dict(request.query_params))
        after = query.after
        if after is None:
            after = max(0, self.replica.version - query.limit)
        records = await self.log.read_records(after)
        if isinstance(records, Unavailable):
            return _store_unavailable_response(records)
        return JSONResponse(
            {
                'versions': [
                    describe_version(record)
                    for record in records[: query.limit]
                ]
            }
        )

    async def wait(self, request: Request, operator: Operator) -> Response:
        """Wait until every reachable ready daemon has a version.

        Another data centre counts with the lowest version of its ready
        daemons, which its summary reports.
        At the time-out, the answer lists the daemons that lag behind.
        """
        query = parse_query(WaitQuery, dict(request.query_params))
        with anyio.move_on_after(query.timeout_s):
            await self.replica.in_force.wait_for(query.version)
            await self.membership.wait_for_version(query.version)
        lagging = self._find_lagging(query.version)
        if lagging:
            return error_response(
                HTTPStatus.GATEWAY_TIMEOUT,
                'not_everywhere',
                f'version {query.version} is not yet held by all',
                behind=lagging,
            )
        return JSONResponse(
            {
                'version': query.version,
                'held': self.membership.versions_by_daemon(),
            }
        )

    async def apply(self, request: Request, operator: Operator) -> Response:
        """Propose a complete configuration document."""
        body = parse_json(ApplyBody, await _read_body(request))
        return await self._propose(
            ApplyDocument(
                operation=body.operation,
                who=operator.who,
                document=body.document,
                expected_version=body.expected_version,
                why=body.why,
            )
        )

    async def set(self, request: Request, operator: Operator) -> Response:
        """Propose to set or remove one value."""
        body = parse_json(SetBody, await _read_body(request))
        return await self._propose(
            SetValue(
                operation=body.operation,
                who=operator.who,
                path=body.keys,
                value=body.value,
                is_removal=body.remove,
                expected_version=body.expected_version,
                why=body.why,
            )
        )

    async def read_audit(
        self, request: Request, operator: Operator
    ) -> Response:
        """Return a page of the audit trail."""
        query = parse_query(AuditQuery, dict(request.query_params))
        page = await self.audit.read(
            AuditFilter(
                kind=_parse_kind(query.kind),
                who=query.who,
                since=query.since,
                after=query.after,
                limit=query.limit,
            )
        )
        if isinstance(page, Unavailable):
            return _store_unavailable_response(page)
        return JSONResponse(
            {
                'entries': [asdict(entry) for entry in page.entries],
                'next': page.next,
            }
        )

    async def read_status(
        self, request: Request, operator: Operator
    ) -> Response:
        """Return the status of daemons, endpoints and work classes."""
        return JSONResponse(
            {
                'daemon': self.membership.daemon,
                'version': self.replica.version,
                'daemons': self._list_daemons(),
                'endpoints': [dict(item) for item in self.endpoints()],
                'classes': [dict(item) for item in self.classes()],
            }
        )

    async def start_drain(
        self, request: Request, operator: Operator
    ) -> Response:
        """Start a graceful stop of this daemon."""
        started = self.drain()
        if started is not None:
            await started
        return JSONResponse(
            {'outcome': 'draining', 'daemon': self.membership.daemon},
            status_code=HTTPStatus.ACCEPTED,
        )

    def _route(
        self,
        path: str,
        handler: Callable[[Request, Operator], Awaitable[Response]],
        role: str,
    ) -> Route:
        async def endpoint(request: Request) -> Response:
            operator = self._find_operator(request)
            if operator is None:
                return error_response(
                    HTTPStatus.UNAUTHORIZED,
                    'not_authorised',
                    'send a known token as `Authorization: Bearer TOKEN`',
                )
            if role == WRITE and operator.role != WRITE:
                return error_response(
                    HTTPStatus.FORBIDDEN,
                    'not_allowed',
                    'this token may only read',
                )
            try:
                return await handler(request, operator)
            except InvalidRequest as error:
                return error_response(
                    _find_status(error),
                    'bad_request',
                    str(error),
                    path=error.path,
                )

        method = 'POST' if role == WRITE else 'GET'
        return Route(PREFIX + path, endpoint, methods=[method])

    def _find_operator(self, request: Request) -> Operator | None:
        token = bearer_token(request)
        if token is None:
            return None
        digest = digest_key(token)
        role = self.roles_by_digest.get(digest)
        if role is None:
            return None
        return Operator(who=f'operator {digest[:8]}', role=role)

    async def _propose(self, proposal: Proposal) -> Response:
        return decision_response(await self.acceptor.propose(proposal))

    def _find_lagging(self, version: int) -> dict[str, int]:
        return {
            name: held
            for name, held in self.membership.versions_by_daemon().items()
            if held < version
        }

    def _list_daemons(self) -> list[dict[str, Any]]:
        return [
            {
                'daemon': member.id,
                'data_centre': name,
                'state': self.membership.state_of(member.id).name.lower(),
                'address': member.caller_address,
                'version': member.version or None,
                'load': member.load / 1000,
            }
            for name in self.membership.data_centres()
            for member in self.membership.known_members(name)
        ]


class _BodyNotTaken(InvalidRequest):
    """The body of a call was not accepted."""

    def __init__(self, problem: BodyProblem) -> None:
        text = describe_problem(problem, limit=MAX_BODY_BYTES)
        super().__init__(path='$', problem=text)
        self.status = STATUS_BY_PROBLEM[problem]


def _find_status(error: InvalidRequest) -> HTTPStatus:
    if isinstance(error, _BodyNotTaken):
        return error.status
    return HTTPStatus.BAD_REQUEST


async def _read_body(request: Request) -> bytes:
    data = await read_body(request, limit=MAX_BODY_BYTES)
    if isinstance(data, BodyProblem):
        raise _BodyNotTaken(data)
    return data


def _parse_kind(name: str | None) -> AuditKind | None:
    if name is None:
        return None
    try:
        return AuditKind(name)
    except ValueError as error:
        known = ', '.join(AuditKind)
        raise InvalidRequest(
            path='kind', problem=f'is not one of: {known}'
        ) from error


def _store_unavailable_response(problem: Unavailable) -> Response:
    return decision_response(StoreUnavailable(reason=problem.reason))

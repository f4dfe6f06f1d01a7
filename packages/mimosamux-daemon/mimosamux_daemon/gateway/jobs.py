"""A request on its way: what was tried and what came of it."""

import math
from dataclasses import dataclass, field

from mimosamux_daemon.domain.gateway import GatewayRequest
from mimosamux_daemon.domain.names import (
    ContentKey,
    EndpointId,
    RequestId,
)
from mimosamux_daemon.domain.outcomes import Failed, Reason, Refused
from mimosamux_daemon.domain.routes import (
    AccountEntry,
    Route,
    RouteKind,
    ServiceEntry,
)
from mimosamux_daemon.gateway.content_keys import find_content_key
from mimosamux_daemon.ports.callers import AnswerSink, Caller
from mimosamux_daemon.ports.endpoint_calls import ResumePoint

FIRST_RANK, LAST_RANK = 0, 9
"""Ranks that engines know; operators may have more."""


@dataclass(kw_only=True, slots=True)
class Job:
    """One caller's request while it is passed on."""

    request: GatewayRequest
    route: Route
    service: ServiceEntry
    account: AccountEntry | None
    sink: AnswerSink
    caller: Caller | None = None
    """Who waits for the answer, once it is let in."""
    cost: float = 0.0
    """What was taken from the account's usage cap."""
    sends: int = 0
    """Endpoints that it was sent to."""
    may_have_run: bool = False
    has_begun: bool = False
    """Whether it was counted as begun."""
    tried: set[EndpointId] = field(default_factory=set)
    last_event_id: str | None = None
    weights_version: str | None = None
    kv_source: str | None = None
    """Copy of its memory from which it goes on, if it was moved."""
    has_broken: bool = False
    """Whether the answer of an endpoint broke off."""
    is_resumed: bool = False
    """Whether its present run goes on behind what another one made."""
    move_target: EndpointId | None = None
    """Endpoint that has the copy."""
    content: ContentKey = field(init=False)
    """The same for each attempt of a caller at the same thing."""

    def __post_init__(self) -> None:
        account = None if self.account is None else self.account.id
        self.content = find_content_key(self.request, account)

    @property
    def is_stream(self) -> bool:
        """Whether its answer is a series of events."""
        return self.route.kind is RouteKind.STREAM

    @property
    def priority(self) -> int | None:
        """Return the rank for the engine, None where it has none."""
        if self.service.engine is None:
            return None
        account = self.account
        rank = self.route.priority
        if account is not None and account.priority is not None:
            rank = account.priority
        return min(max(rank, FIRST_RANK), LAST_RANK)

    @property
    def may_be_sent_anew(self) -> bool:
        """Whether a send that did not come about may go elsewhere."""
        is_moved = self.kv_source is not None
        return is_moved or not self.may_have_run or self.route.may_repeat

    def has_caller_left(self) -> bool:
        """Whether nobody waits for the answer any more."""
        return self.caller is not None and self.caller.has_left()

    def left_s(self, now: float) -> float:
        """Return the time until the caller is to have its answer."""
        patience_s = self.request.patience_s
        limit_s = min(
            self.route.timeout_s,
            math.inf if patience_s is None else patience_s,
        )
        return self.request.received_at + limit_s - now

    def resume_point(self) -> ResumePoint | None:
        """Return where its stream goes on, None at its beginning."""
        if self.last_event_id is None:
            return None
        return ResumePoint(
            last_event_id=self.last_event_id,
            weights_version=self.weights_version,
            kv_source=self.kv_source,
        )

    def fail(self, reason: Reason, message: str) -> Failed:
        """Return the outcome of a request that may have run."""
        return Failed(
            request=RequestId(self.request.id), reason=reason, message=message
        )

    def give_up(
        self, reason: Reason, message: str, *, retry_after_s: float
    ) -> Refused | Failed:
        """Return the outcome that is true: it has not run, or it may."""
        if self.may_have_run:
            return self.fail(reason, message)
        return Refused(
            reason=reason, message=message, retry_after_s=retry_after_s
        )

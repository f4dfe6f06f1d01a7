"""The state of a request while it is forwarded, across its attempts."""

import math
from dataclasses import dataclass, field

from mimosamux_daemon.domain.answer_ends import AnswerEnd
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
from mimosamux_daemon.domain.stream_origins import StreamOrigin
from mimosamux_daemon.gateway.crashes.content_keys import (
    find_content_key,
    find_part_keys,
)
from mimosamux_daemon.ports.callers import AnswerSink, Caller
from mimosamux_daemon.ports.endpoint_calls import ResumePoint

MIN_PRIORITY, MAX_PRIORITY = 0, 9
"""Priorities that engines support; operators may configure others, which are
clamped to this range."""
BEFORE_FIRST_EVENT = '0'
"""Last event of a run that was moved while it read its prompt."""


@dataclass(kw_only=True, slots=True)
class Job:
    """An admitted request with the state of its attempts and its stream."""

    request: GatewayRequest
    route: Route
    service: ServiceEntry
    account: AccountEntry | None
    sink: AnswerSink
    caller: Caller | None = None
    """The waiting caller, set on admission."""
    cost: float = 0.0
    """Amount charged to the account's usage cap."""
    sends: int = 0
    """Number of attempts that were sent."""
    may_have_run: bool = False
    """Whether an endpoint may have run the request."""
    has_begun: bool = False
    """Whether it was counted as begun for its account."""
    tried: set[EndpointId] = field(default_factory=set)
    """Endpoints of earlier attempts, which are excluded from retries."""
    silent: set[EndpointId] = field(default_factory=set)
    """Those of them that were left since they did not answer in time."""
    last_event_id: str | None = None
    """Id of the last event that was forwarded to the caller."""
    events: int = 0
    """Events that were forwarded to the caller, of all attempts."""
    owes_event: bool = False
    """Whether a part of an event came, and neither its rest nor the event."""
    answer_end: AnswerEnd | None = None
    """How the latest answer that came to an end has ended."""
    weights_version: str | None = None
    """Version of the model weights that generated the stream so far."""
    kv_source: str | None = None
    """Handle of the KV cache copy to continue from, if it was moved."""
    continuations: int = 0
    """Times that it was sent to a copy once more, after it was turned down."""
    has_broken_off: bool = False
    """Whether a call to an endpoint has broken off."""
    is_late: bool = False
    """Whether it was sent although it begins later than its latency target;
    engines give precedence to all others."""
    is_resumed: bool = False
    """Whether its current run continues the output of an earlier one."""
    origin: StreamOrigin | None = None
    """What wrote the events of its stream so far, and has to write the rest;
    None before the first event."""
    move_target: EndpointId | None = None
    """Endpoint that holds the copy."""
    content: ContentKey = field(init=False)
    """Key of its content; repeated requests of an account share it."""
    part_id_by_key: dict[ContentKey, str] = field(init=False)
    """Parts of its prompt that other requests share."""
    suspect_keys: tuple[ContentKey, ...] = field(init=False)
    """Keys of all that may crash its endpoint.

    Parts come first: a probe of one tells more than a probe of a content."""

    def __post_init__(self) -> None:
        account = None if self.account is None else self.account.id
        self.content = find_content_key(self.request, account)
        self.part_id_by_key = find_part_keys(self.request.prompt)
        self.suspect_keys = (*self.part_id_by_key, self.content)

    @property
    def is_stream(self) -> bool:
        """Whether its answer is a stream of events."""
        return self.route.kind is RouteKind.STREAM

    @property
    def priority(self) -> int | None:
        """Return the priority for the engine, None for a plain service."""
        if self.service.engine is None:
            return None
        if self.is_late:
            return MAX_PRIORITY
        account = self.account
        configured = self.route.priority
        if account is not None and account.priority is not None:
            configured = account.priority
        return min(max(configured, MIN_PRIORITY), MAX_PRIORITY)

    @property
    def may_reconnect(self) -> bool:
        """Whether it may go elsewhere after a failed connection."""
        is_moved = self.kv_source is not None
        return is_moved or not self.may_have_run or self.route.may_repeat

    def return_to_silent(self) -> bool:
        """Allow the endpoint again that was left for its silence.

        False if another one was reached instead, or none was left so.
        """
        if not self.silent or self.sends > len(self.silent):
            return False
        self.tried -= self.silent
        self.silent.clear()
        return True

    def has_caller_left(self) -> bool:
        """Whether the caller has disconnected."""
        return self.caller is not None and self.caller.has_disconnected()

    @property
    def limit_s(self) -> float:
        """Return the time from the request's arrival to its deadline."""
        caller_timeout_s = self.request.caller_timeout_s
        return min(
            self.route.timeout_s,
            math.inf if caller_timeout_s is None else caller_timeout_s,
        )

    def left_s(self, now: float) -> float:
        """Return the time left until the request's deadline."""
        return self.request.received_at + self.limit_s - now

    def resume_point(self) -> ResumePoint | None:
        """Return where its stream resumes, None from its beginning."""
        if self.last_event_id is None and self.kv_source is None:
            return None
        return ResumePoint(
            last_event_id=self.last_event_id
            or self.request.last_event_id
            or BEFORE_FIRST_EVENT,
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
        """Return a failure if the request may have run, else a refusal."""
        if self.may_have_run:
            return self.fail(reason, message)
        return Refused(
            reason=reason, message=message, retry_after_s=retry_after_s
        )

"""Requests that the gateway forwards unchanged, and their endpoints."""

from dataclasses import dataclass
from enum import StrEnum

from mimosamux_daemon.domain.http_messages import RequestHead
from mimosamux_daemon.domain.names import (
    AccountId,
    DataCentreName,
    EndpointId,
    ServiceName,
)
from mimosamux_daemon.domain.outcomes import Failed, Reason, Refused
from mimosamux_daemon.domain.vms import Market


@dataclass(frozen=True, kw_only=True, slots=True)
class PromptPart:
    """A part of a prompt; requests that share it declare the same id."""

    id: str
    tokens: int


@dataclass(frozen=True, kw_only=True, slots=True)
class PromptInfo:
    """Token counts and prompt parts that a request declares."""

    model: str = ''
    prompt_tokens: int = 0
    max_answer_tokens: int = 0
    """Maximum length of the answer."""
    expected_answer_tokens: int | None = None
    """Caller's estimate of the answer length.

    Its median is right, but single estimates are often far off.
    """
    parts: tuple[PromptPart, ...] = ()
    """Parts in order; the last is unique to the request or session."""

    @property
    def tokens(self) -> int:
        """Return the tokens that the request counts against a usage cap."""
        return self.prompt_tokens + self.max_answer_tokens

    @property
    def unshared_tokens(self) -> int:
        """Return the prompt tokens that no other request shares."""
        return self.parts[-1].tokens if self.parts else self.prompt_tokens

    @property
    def shared_prefix_id(self) -> str:
        """Return the id of the longest shareable prefix, empty without one."""
        return self.parts[-2].id if len(self.parts) > 1 else ''


@dataclass(frozen=True, kw_only=True, slots=True)
class GatewayRequest:
    """A request as received; times are monotonic, in seconds."""

    id: str
    head: RequestHead
    """Request line and the headers to forward, without all others."""
    body: bytes
    host: str
    received_at: float
    key: str | None = None
    """API key of the caller; None: not exactly one was sent."""
    caller_timeout_s: float | None = None
    """Time for which the caller waits; None: not stated."""
    prompt: PromptInfo | None = None
    last_event_id: str | None = None
    """Id of the event after which the caller resumes a stream."""
    resumes: str | None = None
    """Id of the request that brought the first event of that stream."""


class EndpointState(StrEnum):
    """State of an endpoint in the platform's endpoint list."""

    READY = 'ready'
    LEAVING = 'leaving'


@dataclass(frozen=True, kw_only=True, slots=True)
class ListedEndpoint:
    """Entry of the platform's endpoint list."""

    id: EndpointId
    service: ServiceName
    address: str
    data_centre: DataCentreName
    slots: int
    state: EndpointState = EndpointState.READY
    market: Market = Market.ON_DEMAND
    leaves_in_s: float | None = None
    """Time until the endpoint is removed; None: not known."""
    warm_up_left_s: float = 0.0
    """Rest of the warm-up time, during which the endpoint is slow."""
    software: str = ''
    """Version of the endpoint's software."""
    incarnation: int = 0
    """Identifies one run of the endpoint's process under this id.

    The start time in milliseconds since 1970, so that it grows with each
    restart; 0: the platform does not state it.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class Delivered:
    """The caller was sent the complete answer of the endpoint."""

    status: int


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerGone:
    """The caller disconnected before its answer was complete."""


@dataclass(frozen=True, kw_only=True, slots=True)
class AnswerTruncated:
    """The caller got a truncated answer, recognisable as incomplete."""

    reason: str
    cause: Reason = Reason.ENDPOINT_FAILED


@dataclass(frozen=True, kw_only=True, slots=True)
class ScreenedRequest:
    """A request that may be served as far as its head tells."""

    account: AccountId | None
    """None if it needs no account."""
    limit_s: float
    """Longest time for which its caller waits for the answer."""


GatewayOutcome = Delivered | Refused | Failed | CallerGone | AnswerTruncated

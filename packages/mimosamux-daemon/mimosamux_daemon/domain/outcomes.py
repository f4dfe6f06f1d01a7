"""Outcomes of a request, which are values rather than exceptions."""

from dataclasses import dataclass
from enum import StrEnum

from mimosamux_daemon.domain.names import RequestId


class Reason(StrEnum):
    """Reason of a refusal or failure, sent to the caller."""

    ACCOUNT_BUSY = 'account_busy'
    BAD_REQUEST = 'bad_request'
    CALLER_GONE = 'caller_gone'
    CAP_UNCONFIRMED = 'usage_cap_unconfirmed'
    CEILING = 'cost_ceiling'
    CRASHES_ENDPOINTS = 'crashes_endpoints'
    CONFLICT = 'key_reused_with_another_body'
    DEADLINE = 'deadline'
    ENDPOINT_FAILED = 'endpoint_failed'
    IN_DOUBT = 'in_doubt'
    LIST_IS_OLD = 'list_is_old'
    NO_CAPACITY = 'no_capacity'
    NO_CONFIGURATION = 'no_configuration'
    NO_ENDPOINT = 'no_endpoint'
    NO_ROUTE = 'no_route'
    NOT_AUTHORISED = 'not_authorised'
    ORIGIN_UNKNOWN = 'stream_origin_unknown'
    OVERLOADED = 'overloaded'
    OVER_CAP = 'over_usage_cap'
    RETRY_BUDGET = 'retry_budget'
    STOPPING = 'stopping'
    STORE_UNAVAILABLE = 'store_unavailable'
    ENDPOINT_REJECTED = 'endpoint_turned_down'
    UNCONFIRMED = 'configuration_unconfirmed'
    UNKNOWN_CLASS = 'unknown_class'
    UNKNOWN_MODEL = 'unknown_model'
    UNKNOWN_REQUEST = 'unknown_request'
    UNKNOWN_SERVICE = 'unknown_service'


@dataclass(frozen=True, kw_only=True, slots=True)
class Answered:
    """The endpoint returned a complete answer.

    A model answers with `text`, a service with `status`, `headers` and
    `body`.
    """

    request: RequestId
    text: str = ''
    tokens: int = 0
    finish_reason: str = 'stop'
    status: int = 200
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''


@dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """The request did not run: no byte of it reached an endpoint."""

    reason: Reason
    message: str
    retry_after_s: float | None = None
    """Delay before a retry; None if a retry cannot succeed."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Failed:
    """The request ran at least in part and has no complete answer."""

    request: RequestId
    reason: Reason
    message: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Unknown:
    """Whether the call ran cannot be determined; this is final."""

    request: RequestId
    message: str


@dataclass(frozen=True, kw_only=True, slots=True)
class InDoubt:
    """The outcome is undetermined for now.

    The caller may ask again with the same idempotency key.
    """

    request: RequestId
    message: str
    retry_after_s: float


Outcome = Answered | Refused | Failed | Unknown | InDoubt

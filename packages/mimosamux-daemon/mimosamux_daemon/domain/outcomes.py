"""How a request can end; each ending is a value, never an exception."""

from dataclasses import dataclass
from enum import StrEnum

from mimosamux_daemon.domain.names import RequestId


class Reason(StrEnum):
    """Why a request was refused or failed, as shown to the caller."""

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
    NO_CAPACITY = 'no_capacity'
    NO_CONFIGURATION = 'no_configuration'
    NO_ENDPOINT = 'no_endpoint'
    NO_ROUTE = 'no_route'
    NOT_AUTHORISED = 'not_authorised'
    OVERLOADED = 'overloaded'
    OVER_CAP = 'over_usage_cap'
    RETRY_BUDGET = 'retry_budget'
    STOPPING = 'stopping'
    STORE_UNAVAILABLE = 'store_unavailable'
    TURNED_DOWN = 'endpoint_turned_down'
    UNCONFIRMED = 'configuration_unconfirmed'
    UNKNOWN_CLASS = 'unknown_class'
    UNKNOWN_MODEL = 'unknown_model'
    UNKNOWN_REQUEST = 'unknown_request'
    UNKNOWN_SERVICE = 'unknown_service'


@dataclass(frozen=True, kw_only=True, slots=True)
class Answered:
    """The endpoint answered in full.

    `text` holds a model's answer; `status`, `headers` and `body` hold a
    service's.
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
    """When to come again; None if coming again cannot help."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Failed:
    """The request ran, at least in part, and has no full answer."""

    request: RequestId
    reason: Reason
    message: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Unknown:
    """Nobody can tell whether the call ran; this answer is final."""

    request: RequestId
    message: str


@dataclass(frozen=True, kw_only=True, slots=True)
class InDoubt:
    """The state is not settled yet; the same key may ask again."""

    request: RequestId
    message: str
    retry_after_s: float


Outcome = Answered | Refused | Failed | Unknown | InDoubt

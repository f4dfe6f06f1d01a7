"""Port to the endpoints to which the gateway forwards requests."""

from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from enum import Enum, auto
from typing import Protocol

from mimosamux_daemon.domain.gateway import GatewayRequest, ListedEndpoint
from mimosamux_daemon.domain.http_messages import BodyFraming, RawHeaders
from mimosamux_daemon.domain.names import AccountId
from mimosamux_daemon.domain.routes import ServiceEntry


@dataclass(frozen=True, kw_only=True, slots=True)
class ResumePoint:
    """Position from which to resume an interrupted or moved stream."""

    last_event_id: str
    weights_version: str | None = None
    """Version of the model weights that produced the events so far."""
    kv_source: str | None = None
    """Engine's reference to the copy of the KV cache to resume from."""


@dataclass(frozen=True, kw_only=True, slots=True)
class EndpointCall:
    """A request to send to one endpoint."""

    request: GatewayRequest
    endpoint: ListedEndpoint
    timeout_s: float
    """Time limit; the endpoint abandons the request after it."""
    has_caller_left: Callable[[], bool]
    """Checked after connecting, before the first byte is sent."""
    is_endpoint_closed: Callable[[], bool]
    """Whether the endpoint accepts no new requests; checked likewise."""
    account: AccountId | None = None
    priority: int | None = None
    """Engine priority from 0, the most urgent, to 9; None: its default."""
    resume: ResumePoint | None = None
    fetch_from: str | None = None
    """Address of an endpoint that caches more of the prompt than this one.

    Copying its KV cache is faster than recomputing it.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class NotSent:
    """The call ended before any byte of the request was sent."""

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerGoneBeforeSend:
    """The caller disconnected before any byte of its request was sent."""


@dataclass(frozen=True, kw_only=True, slots=True)
class UnreadableLimit:
    """The endpoint reports a rate limit that cannot be parsed."""

    text: str


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestRejected:
    """The endpoint states that it has not run the request."""

    status: int
    is_full: bool = False
    """Whether the endpoint has no capacity left at present."""
    is_other_endpoint: bool = False
    """Whether the address belongs to another endpoint by now."""
    retry_after_s: float | None = None
    """Time for which this daemon is asked to send no requests."""
    is_leaving: bool = False
    """Whether the endpoint announces that it is leaving."""
    confirms_staying: bool = False
    """Whether an endpoint that leaves would have answered otherwise."""
    limit_per_s: float | UnreadableLimit | None = None
    """Reported rate limit for all daemons together, in requests a second.

    None: not reported.
    """
    brittle_per_s: float | None = None
    """Requests that the endpoint can reject in a second without falling over,
    None: any number."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CallBroken:
    """No complete answer arrived; the request may have run."""

    reason: str


class ProcessState(Enum):
    """State of an endpoint's process."""

    RUNNING = auto()
    """It has answered."""
    ENDED = auto()
    """The VM refuses connections: no process listens."""
    REPLACED = auto()
    """Another process is at its address."""
    UNIDENTIFIED = auto()
    """Something answers at its address that is not known to be it."""
    UNKNOWN = auto()
    """No response: the VM may be gone, or the network partitioned."""


class EndpointAnswer(Protocol):
    """An answer whose body is received in parts."""

    status: int
    headers: RawHeaders
    """Headers to forward to the caller."""
    weights_version: str | None
    is_leaving: bool
    """Whether the endpoint announces that it is leaving."""
    confirms_staying: bool
    """Whether an endpoint that leaves would have answered otherwise."""
    retry_after_s: float | None
    """Time for which this daemon is asked to send no requests."""
    limit_per_s: float | UnreadableLimit | None
    """Reported rate limit for all daemons together, in requests a second.

    None: not reported.
    """
    brittle_per_s: float | None
    """Requests that the endpoint can reject in a second without falling over,
    None: any number."""
    framing: BodyFraming
    """What marks its end; a process that crashes ends its connection too."""
    via: str
    """Address of the peer's tunnel that it comes through, empty: none."""

    async def receive(self) -> bytes | None | CallBroken:
        """Return the next bytes of the body, or None at its end.

        Cancellation loses no data.
        """


class SentRequest(Protocol):
    """A request that was sent to an endpoint."""

    async def answer(self) -> EndpointAnswer | RequestRejected | CallBroken:
        """Wait for the answer and return its start.

        Cancellation loses no data; the method may be called again.
        """


SendResult = SentRequest | NotSent | CallerGoneBeforeSend | CallBroken
"""What became of sending a request."""


class EndpointCalls(Protocol):
    """Calls to endpoints, which are addressed by their list entries."""

    def send(
        self, call: EndpointCall
    ) -> AbstractAsyncContextManager[SendResult]:
        """Send a request; leaving the block early closes the connection."""

    async def ask_process(
        self,
        endpoint: ListedEndpoint,
        service: ServiceEntry,
        *,
        on_new_connection: bool,
    ) -> ProcessState:
        """Ask an endpoint's process something without effect.

        Waits for the answer until cancelled; RUNNING: it has answered.
        """

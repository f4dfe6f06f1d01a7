"""Requests that are passed on as they are, and the endpoints for them."""

from dataclasses import dataclass
from enum import StrEnum

from mimosamux_daemon.domain.http_messages import RequestHead
from mimosamux_daemon.domain.names import (
    DataCentreName,
    EndpointId,
    ServiceName,
)
from mimosamux_daemon.domain.outcomes import Failed, Refused
from mimosamux_daemon.domain.vms import Market


@dataclass(frozen=True, kw_only=True, slots=True)
class PromptPart:
    """A part of a prompt; requests that share it state the same id."""

    id: str
    tokens: int


@dataclass(frozen=True, kw_only=True, slots=True)
class PromptUse:
    """What a request says of its prompt and of its answer's length."""

    model: str = ''
    tokens_in: int = 0
    most_tokens_out: int = 0
    """Most tokens that the answer may have."""
    likely_tokens_out: int | None = None
    """The caller's estimate, right at the median but often far off."""
    parts: tuple[PromptPart, ...] = ()
    """In order; the last belongs to the request or its session alone."""

    @property
    def tokens(self) -> int:
        """Return what the request counts against a usage cap."""
        return self.tokens_in + self.most_tokens_out

    @property
    def own_tokens(self) -> int:
        """Return the tokens that no other request shares."""
        return self.parts[-1].tokens if self.parts else self.tokens_in

    @property
    def shared_key(self) -> str:
        """Return the id of the longest prefix that others may share."""
        return self.parts[-2].id if len(self.parts) > 1 else ''


@dataclass(frozen=True, kw_only=True, slots=True)
class GatewayRequest:
    """One attempt of a caller; times are of the steady clock, seconds."""

    id: str
    head: RequestHead
    """With the headers that are passed on, and no others."""
    body: bytes
    host: str
    received_at: float
    key: str | None = None
    patience_s: float | None = None
    """How long the caller will wait; None: it did not say."""
    prompt: PromptUse | None = None
    last_event_id: str | None = None
    """Event behind which the caller wants a stream to go on."""


class EndpointState(StrEnum):
    """State of an endpoint as the platform's list shows it."""

    READY = 'ready'
    LEAVING = 'leaving'


@dataclass(frozen=True, kw_only=True, slots=True)
class ListedEndpoint:
    """An endpoint in the platform's list."""

    id: EndpointId
    service: ServiceName
    address: str
    data_centre: DataCentreName
    slots: int
    state: EndpointState = EndpointState.READY
    market: Market = Market.ON_DEMAND
    leaves_in_s: float | None = None
    """Time until it is taken away, where that is known."""
    slow_for_s: float = 0.0
    """Time after its start for which it is still slow."""
    software: str = ''
    incarnation: int = 0
    """Grows with each start of a process under the same id: its start in
    milliseconds since 1970. 0 where the platform does not tell it."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Delivered:
    """The endpoint's whole answer went to the caller."""

    status: int


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerGone:
    """The caller left before its answer was whole."""


@dataclass(frozen=True, kw_only=True, slots=True)
class BrokenOff:
    """The answer ended early, and does not look complete."""

    reason: str


GatewayOutcome = Delivered | Refused | Failed | CallerGone | BrokenOff

"""Forecasts the load of an endpoint from reports that are out of date.

In a site with relays a peer's report is a second old, and the requests in it
may have ended. Daemons that take such reports as they are all choose the
endpoint that seemed idle then. The forecast moves the reported load towards a
usual load, as fast as requests end. For a plain service this is the mean of
its endpoints. An engine that is first in the hash order of a frequent prefix
has more load than the mean for as long as the prefix is frequent; its usual
load is its own average over the last second. The daemon's own requests are
counted exactly.
"""

import math
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from mimosamux_daemon.domain.names import ServiceName
from mimosamux_daemon.gateway.balancing.endpoint_record import EndpointRecord

MEAN_INTERVAL_S = 0.1
"""Least interval at which the mean of a service is computed."""
MAX_MEAN_ENDPOINTS = 512
"""Endpoints that a mean is computed over, of a service that has more. The
mean of 12,000 took 22 ms, for which all requests of a daemon waited."""
RELAY_DELAY_S = 0.2
"""Age of a report on arrival: it has waited at two relays, which forward
digests every 0.1 to 0.5 s."""
DEFAULT_REQUEST_S = 1.0
DEFAULT_PREFILL_S = 0.1
"""Residence times until the first samples arrive."""
MIN_RESIDENCE_S = 0.001
"""Shortest residence time, which keeps the decay finite."""
MIN_SAMPLE_WEIGHT = 0.05
"""Weight of a new sample; about the last twenty count."""


@dataclass(kw_only=True, slots=True)
class ResidenceTime:
    """Mean time for which work stays at an endpoint, in seconds."""

    mean_s: float
    _samples: int = 0

    def add(self, took_s: float) -> None:
        """Add the time of one request."""
        self._samples += 1
        weight = max(1.0 / self._samples, MIN_SAMPLE_WEIGHT)
        self.mean_s += weight * (took_s - self.mean_s)

    def remaining_share(self, age_s: float) -> float:
        """Return the share of work of a given age that has not ended."""
        return math.exp(-age_s / max(self.mean_s, MIN_RESIDENCE_S))


@dataclass(kw_only=True, slots=True)
class ServiceResidence:
    """Residence times of the work of one service."""

    request: ResidenceTime = field(
        default_factory=lambda: ResidenceTime(mean_s=DEFAULT_REQUEST_S)
    )
    """From the send of a request to its end."""
    prefill: ResidenceTime = field(
        default_factory=lambda: ResidenceTime(mean_s=DEFAULT_PREFILL_S)
    )
    """From the send of a request to its first event."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ExpectedLoad:
    """Load of one endpoint, expected or as reported."""

    requests: float
    unread_tokens: float
    reported_tokens: float
    """Unread tokens by the reports as they are."""
    report_age_s: float | None = None
    """Mean age of the reported requests, None if there are none."""


@dataclass(frozen=True, kw_only=True, slots=True)
class MeanLoad:
    """Load that peers reported for a service, per slot."""

    expires_at: float
    slots: int = 0
    """Slots of all endpoints of the service."""
    requests: float = 0.0
    unread_tokens: float = 0.0
    requests_at: float | None = None
    tokens_at: float | None = None
    """Mean times at which these arrived, None for none."""


class LoadForecast:
    """Expected load of endpoints, and the residence times behind it."""

    def __init__(
        self,
        *,
        is_relayed: Callable[[], bool],
        endpoints: Callable[[ServiceName], Sequence[EndpointRecord]],
    ) -> None:
        self.is_active = is_relayed
        """Whether reports pass through relays. Without them a report is
        taken as it is."""
        self.residence_by_service: dict[ServiceName, ServiceResidence] = {}
        self._endpoints = endpoints
        self._mean_by_service: dict[ServiceName, MeanLoad] = {}

    def residence(self, service: ServiceName) -> ServiceResidence:
        """Return the residence times of a service's work."""
        found = self.residence_by_service.get(service)
        if found is None:
            found = self.residence_by_service[service] = ServiceResidence()
        return found

    def load(
        self, record: EndpointRecord, now: float, *, is_engine: bool = False
    ) -> ExpectedLoad:
        """Return the expected load of an endpoint, own requests included."""
        own = record.load
        peers = own.peers(now)
        requests: float = peers.requests
        unread_tokens = peers.unread_tokens
        requests_at = peers.requests_at
        if self.is_active():
            service, slots = record.listed.service, record.listed.slots
            residence = self.residence(service)
            mean = self._mean(service, now)
            usual_requests = slots * mean.requests
            usual_tokens = slots * mean.unread_tokens
            if is_engine:
                own.average.update(peers, now)
                usual_requests = own.average.requests
                usual_tokens = own.average.unread_tokens
            if requests_at is None:
                requests_at = mean.requests_at
            requests = _decay_to(
                usual_requests,
                requests,
                residence.request.remaining_share(_age_s(requests_at, now)),
            )
            tokens_at = peers.tokens_at
            if tokens_at is None:
                tokens_at = mean.tokens_at
            unread_tokens = _decay_to(
                usual_tokens,
                unread_tokens,
                residence.prefill.remaining_share(_age_s(tokens_at, now)),
            )
        return ExpectedLoad(
            requests=own.requests + requests,
            unread_tokens=own.unread_tokens + unread_tokens,
            reported_tokens=own.unread_tokens + peers.unread_tokens,
            report_age_s=None if requests_at is None else now - requests_at,
        )

    def slots(self, service: ServiceName, now: float) -> int:
        """Return the number of slots of all endpoints of a service."""
        return self._mean(service, now).slots

    def _mean(self, service: ServiceName, now: float) -> MeanLoad:
        """Return the mean of a service, not older than its interval."""
        mean = self._mean_by_service.get(service)
        if mean is None or now >= mean.expires_at:
            mean = _compute_mean(self._endpoints(service), now)
            self._mean_by_service[service] = mean
        return mean


def _compute_mean(records: Sequence[EndpointRecord], now: float) -> MeanLoad:
    step = math.ceil(len(records) / MAX_MEAN_ENDPOINTS) or 1
    records = records[::step]
    loads = [record.load.peers(now) for record in records]
    slots = sum(record.listed.slots for record in records)
    requests = sum(load.requests for load in loads)
    unread_tokens = sum(load.unread_tokens for load in loads)
    return MeanLoad(
        expires_at=now + MEAN_INTERVAL_S,
        slots=slots * step,
        requests=requests / max(slots, 1),
        unread_tokens=unread_tokens / max(slots, 1),
        requests_at=_mean_time(
            (load.requests_at, load.requests) for load in loads
        ),
        tokens_at=_mean_time(
            (load.tokens_at, load.unread_tokens) for load in loads
        ),
    )


def _mean_time(
    weighted: Iterable[tuple[float | None, float]],
) -> float | None:
    """Return the weighted mean of times, None without any."""
    known = [(at, weight) for at, weight in weighted if at is not None]
    total = sum(weight for _, weight in known)
    if total <= 0:
        return None
    return sum(at * weight for at, weight in known) / total


def _age_s(reported_at: float | None, now: float) -> float:
    """Return the age of reports that arrived at a time; none have no age."""
    return 0.0 if reported_at is None else now - reported_at + RELAY_DELAY_S


def _decay_to(usual: float, reported: float, remaining_share: float) -> float:
    """Return what a reported load has become on its way to the usual one."""
    return usual + (reported - usual) * remaining_share

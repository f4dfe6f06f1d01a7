"""Learns how long each engine takes, relative to the mean of its service.

Engines of one service can differ by a constant factor of time, which applies
to prefill and decoding alike. Each daemon compares its streams with the mean
of the service, and daemons exchange sums of these samples, as one alone has
few for each engine.

Samples are taken from decoding where answers are long enough: the time from
the first event to the end of an answer hardly depends on queues, whereas the
time to the first event includes the wait behind prompts that this daemon does
not know of. The latter is used only for services with short answers.

All factors are 1 until the samples show that the engines of a service differ.
"""

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field

from mimosamux_wire import EndpointUse, StateDigest

from mimosamux_daemon.domain.names import DaemonId, EndpointId, ServiceName
from mimosamux_daemon.gateway.balancing.endpoint_record import EndpointRecord
from mimosamux_daemon.gateway.balancing.engine_comparison import (
    have_spread,
    relative_deviation,
)
from mimosamux_daemon.gateway.balancing.engine_samples import (
    EngineSamples,
    SampleSums,
)
from mimosamux_daemon.gateway.exchange.peer_states import PeerState
from mimosamux_daemon.gateway.roster import Roster
from mimosamux_daemon.logs import get_log

log = get_log('engine_factors')

MIN_FACTOR, MAX_FACTOR = 0.4, 4.0
PRIOR_WEIGHT = 4.0
"""Weight of the assumption that a factor is 1, in samples."""
MIN_STEPS = 8
"""Fewest decoding steps of an answer that is a sample: over fewer, the delay
of a single packet matters."""
STEPS_MEMORY_S = 60.0
"""Time for which a sample from decoding keeps the times to the first event of
the service from being used."""
FIRST_EVENT_WEIGHT = 0.1
"""Weight of a time to the first event; that of a decoding time is 1."""
REFERENCE_DECAY = 0.98
"""Factor on the weight of earlier decoding times of a route at each new one:
about the last fifty count."""
MIN_REFERENCE_SAMPLES = 8
"""Fewest samples behind a mean that others are compared with."""
REFRESH_S = 1.0
"""Interval at which factors are computed."""
ANCHOR_S = 120.0
"""Time constant with which the mean that corresponds to factor 1 follows the
engines that are there. It is longer than the service's `EngineSpeed` takes to
follow: if the slow engines of a service are reclaimed, the estimates for those
that remain stay right."""
MIN_ENGINE_WEIGHT = 3.0
"""Least weight of an engine's samples to be compared with other engines."""
KEPT_DEVIATION = 0.05
"""Relative standard deviation of the engines' means from the anchor, below
which factors cease to apply. If only engines of one speed remain, their
factors apply until the service's `EngineSpeed` has followed."""
LOGGED_CHANGE = 0.25
"""Fraction by which a factor has to change to be logged again."""
NEGLIGIBLE_WEIGHT = 0.05
"""Weight below which the samples of an engine are disregarded."""
MAX_ROUTES = 1024
"""Most routes whose decoding time is kept; the oldest is removed first."""
MAX_REPORTS = 50_000
"""Most reports kept, one for each peer and endpoint: 15 MB. Beyond it,
further pairs are ignored, and the daemon relies on the others."""
MAX_FORGOTTEN = 4096
"""Most forgotten peers whose incarnation is kept; the oldest is removed
first."""


@dataclass(kw_only=True, slots=True)
class MeanTime:
    """Mean of times with exponential decay, in seconds."""

    mean_s: float = 0.0
    count: int = 0
    weight: float = 0.0

    @property
    def is_known(self) -> bool:
        """Whether the mean is known well enough to be compared with."""
        return self.count >= MIN_REFERENCE_SAMPLES

    def add(self, seconds: float) -> None:
        """Add a time."""
        self.count += 1
        self.weight = self.weight * REFERENCE_DECAY + 1.0
        self.mean_s += (seconds - self.mean_s) / self.weight


@dataclass(kw_only=True, slots=True)
class ServiceEngines:
    """Engines of one service that have samples."""

    records: set[EndpointRecord] = field(default_factory=set)
    is_uneven: bool = False
    """Whether the engines differ, so that their factors apply."""
    anchor: float | None = None
    """Mean sample that corresponds to factor 1, None if it is not known."""
    refreshed_at: float = 0.0
    first_events: int = 0
    """Times to the first event that the service's `EngineSpeed` has seen."""
    steps_seen_at: float | None = None
    """When the last sample from decoding was taken."""


class EngineFactors:
    """Factors of time of the engines of all services."""

    def __init__(self, *, roster: Roster, clock: Callable[[], float]) -> None:
        self._roster = roster
        self._clock = clock
        self._by_service: dict[ServiceName, ServiceEngines] = {}
        self._step_by_route: dict[tuple[ServiceName, str], MeanTime] = {}
        """Mean time of a decoding step. Routes of one service can have events
        of different lengths."""
        self._unsent: set[EndpointRecord] = set()
        """Engines with samples that are not in a digest yet."""
        self._warned_by_peer: dict[DaemonId, int] = {}
        """Incarnation of each peer whose invalid samples were logged."""
        self._incarnation_by_forgotten: dict[DaemonId, int] = {}
        """Peers whose reports were dropped. One that stood still returns with
        the same counts, which must not be added again."""
        self._reports = 0
        self._refreshed_at = clock()

    def factor(self, record: EndpointRecord) -> float:
        """Return the time that an engine takes, relative to the mean."""
        self._refresh_if_due()
        return record.time_factor

    def note_first_event(
        self, record: EndpointRecord, took_s: float, expected_s: float
    ) -> None:
        """Compare a time to the first event with that by `EngineSpeed`.

        It is no sample as long as the speed rests on few requests, or if
        there are samples from decoding.
        """
        engines = self._engines(record.listed.service)
        now = self._clock()
        engines.first_events += 1
        steps_seen_at = engines.steps_seen_at
        has_steps = (
            steps_seen_at is not None and now - steps_seen_at < STEPS_MEMORY_S
        )
        if has_steps or engines.first_events <= MIN_REFERENCE_SAMPLES:
            return
        self._add(record, took_s / expected_s, FIRST_EVENT_WEIGHT)

    def note_decoding(
        self,
        record: EndpointRecord,
        route: str,
        *,
        steps: int,
        took_s: float,
    ) -> None:
        """Compare the decoding time of an answer with the route's mean."""
        if steps < MIN_STEPS or took_s <= 0.0:
            return
        service = record.listed.service
        self._engines(service).steps_seen_at = self._clock()
        reference = self._reference(service, route)
        step_s = took_s / steps
        if reference.is_known:
            self._add(record, step_s / reference.mean_s, 1.0)
        reference.add(step_s / record.time_factor)

    def range_by_service(self) -> Iterator[tuple[ServiceName, float, float]]:
        """Yield each service with its least and its greatest factor."""
        self.refresh()
        for service, engines in self._by_service.items():
            factors = [each.time_factor for each in engines.records]
            yield (
                service,
                min(factors, default=1.0),
                max(factors, default=1.0),
            )

    def write(self, digest: StateDigest) -> None:
        """Add this daemon's sums of the engines with new samples."""
        if not self._unsent:
            return
        use_by_id = {use.endpoint: use for use in digest.endpoints}
        for record in self._unsent:
            if record.gone_at is not None:
                continue
            use = use_by_id.get(record.id)
            if use is None:
                use = EndpointUse(
                    endpoint=record.id, incarnation=record.incarnation
                )
                digest.endpoints.append(use)
            own = record.speed_samples.own
            use.sample_weight = own.weight
            use.ratio_sum = own.ratios
            use.ratio_square_sum = own.squares
        self._unsent.clear()

    def take(self, peer: PeerState, digest: StateDigest) -> None:
        """Add the samples that a peer took since its last report."""
        for use in digest.endpoints:
            if use.sample_weight is not None:
                self._take_use(peer, use)
        self._refresh_if_due()

    def forget_peer(self, id_: DaemonId) -> None:
        """Drop the reports of a peer that is considered dead.

        Daemons come and go for as long as an engine is listed; their reports
        would exhaust `MAX_REPORTS`.
        """
        self._warned_by_peer.pop(id_, None)
        for engines in self._by_service.values():
            for record in engines.records:
                incarnation = record.speed_samples.forget_peer(id_)
                if incarnation is not None:
                    self._incarnation_by_forgotten[id_] = incarnation
        if len(self._incarnation_by_forgotten) > MAX_FORGOTTEN:
            oldest = next(iter(self._incarnation_by_forgotten))
            del self._incarnation_by_forgotten[oldest]

    def refresh(self) -> None:
        """Compute the factors of all engines that have samples."""
        now = self._clock()
        self._refreshed_at = now
        for service, engines in tuple(self._by_service.items()):
            self._refresh_service(service, engines, now)
        self._reports = sum(
            record.speed_samples.peers
            for engines in self._by_service.values()
            for record in engines.records
        )

    def _refresh_if_due(self) -> None:
        if self._clock() - self._refreshed_at >= REFRESH_S:
            self.refresh()

    def _engines(self, service: ServiceName) -> ServiceEngines:
        return self._by_service.setdefault(service, ServiceEngines())

    def _reference(self, service: ServiceName, route: str) -> MeanTime:
        """Return the mean time of a decoding step on a route."""
        key = (service, route)
        if key not in self._step_by_route:
            if len(self._step_by_route) >= MAX_ROUTES:
                del self._step_by_route[next(iter(self._step_by_route))]
            self._step_by_route[key] = MeanTime()
        return self._step_by_route[key]

    def _add(
        self, record: EndpointRecord, ratio: float, weight: float
    ) -> None:
        """Add a sample of this daemon, unless the engine has just started."""
        now = self._clock()
        if record.is_warming_up(now) or record.gone_at is not None:
            return
        record.speed_samples.add(ratio, weight, now)
        self._engines(record.listed.service).records.add(record)
        self._unsent.add(record)

    def _take_use(self, peer: PeerState, use: EndpointUse) -> None:
        """Add a peer's samples of one engine."""
        id_ = EndpointId(use.endpoint)
        record = self._roster.by_id.get(id_)
        if record is None or record.gone_at is not None:
            return
        if not self._roster.is_current(id_, use.incarnation):
            return
        samples, sender = record.speed_samples, peer.place.id
        if self._reports >= MAX_REPORTS and not samples.has_report(sender):
            return
        sums = SampleSums(
            weight=use.sample_weight or 0.0,
            ratios=use.ratio_sum or 0.0,
            squares=use.ratio_square_sum or 0.0,
        )
        forgotten = self._incarnation_by_forgotten.get(sender)
        is_valid = samples.note_peer(
            sender,
            peer.incarnation,
            sums,
            self._clock(),
            was_forgotten=forgotten == peer.incarnation,
        )
        if is_valid:
            self._engines(record.listed.service).records.add(record)
        elif self._warned_by_peer.get(sender) != peer.incarnation:
            self._warned_by_peer[sender] = peer.incarnation
            log.warning(
                'engine_samples_invalid',
                peer=sender,
                endpoint=id_,
                weight=sums.weight,
                ratios=sums.ratios,
                squares=sums.squares,
            )

    def _drop_samples(self, record: EndpointRecord) -> None:
        """Drop the samples of an engine from its previous service.

        They are relative to the mean of that service. If the engine has
        samples from its new service already, they are too few to matter.
        """
        self._engines(record.listed.service).records.discard(record)
        self._unsent.discard(record)
        record.speed_samples = EngineSamples()
        record.time_factor = 1.0

    def _refresh_service(
        self, service: ServiceName, engines: ServiceEngines, now: float
    ) -> None:
        """Compute the factors of a service's engines."""
        for record in tuple(engines.records):
            if record.gone_at is not None:
                engines.records.discard(record)
                record.time_factor = 1.0
            elif record.listed.service != service:
                engines.records.discard(record)
                self._drop_samples(record)
        sums_by_record = {
            each: each.speed_samples.recent(now) for each in engines.records
        }
        compared = [
            sums
            for sums in sums_by_record.values()
            if sums.weight >= MIN_ENGINE_WEIGHT
        ]
        is_uneven = _should_apply(engines, compared)
        if engines.is_uneven != is_uneven:
            engines.is_uneven = is_uneven
            log.info(
                'engines_uneven' if is_uneven else 'engines_even',
                service=service,
                engines=len(compared),
            )
        _move_anchor(engines, compared, now)
        for record, sums in sums_by_record.items():
            factor = 1.0
            if engines.is_uneven and sums.weight >= NEGLIGIBLE_WEIGHT:
                factor = _shrink(sums, engines.anchor or 1.0)
            _set_factor(record, factor, sums, now)


def _should_apply(engines: ServiceEngines, sums: Sequence[SampleSums]) -> bool:
    """Whether factors are to apply, by the samples and the present state."""
    if engines.anchor is None:
        return have_spread(sums)
    if not sums:
        return False
    return relative_deviation(sums, engines.anchor) >= KEPT_DEVIATION


def _move_anchor(
    engines: ServiceEngines, sums: Sequence[SampleSums], now: float
) -> None:
    """Move the mean that corresponds to factor 1 towards the present one."""
    passed_s = now - engines.refreshed_at
    engines.refreshed_at = now
    if not engines.is_uneven:
        engines.anchor = None
    elif engines.anchor is None:
        # Until now the service's `EngineSpeed` is the mean over requests, of
        # which fast engines get more; samples are compared with that.
        engines.anchor = 1.0
    else:
        mean = sum(each.mean for each in sums) / len(sums)
        step = min(passed_s / ANCHOR_S, 1.0)
        engines.anchor += (mean - engines.anchor) * step


def _shrink(sums: SampleSums, anchor: float) -> float:
    """Return the factor of an engine, drawn to 1 if it has few samples."""
    ratios = sums.ratios / anchor + PRIOR_WEIGHT
    factor = ratios / (sums.weight + PRIOR_WEIGHT)
    return min(max(factor, MIN_FACTOR), MAX_FACTOR)


def _set_factor(
    record: EndpointRecord, factor: float, sums: SampleSums, now: float
) -> None:
    """Set the factor of an engine, and log it if it differs by much."""
    record.time_factor = factor
    logged = record.logged_time_factor
    if abs(factor - logged) <= LOGGED_CHANGE * logged:
        return
    record.logged_time_factor = factor
    log.info(
        'engine_factor_changed',
        endpoint=record.id,
        service=record.listed.service,
        factor=round(factor, 3),
        before=round(logged, 3),
        samples=round(sums.weight, 1),
        age_s=round(now - record.speed_samples.newest_at, 2),
    )

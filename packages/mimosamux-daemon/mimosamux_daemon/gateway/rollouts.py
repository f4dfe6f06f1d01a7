"""This daemon's view of the roll-outs, and the endpoints they allow.

A roll-out moves a service to a new software version: in its trial the version
gets a share of the requests, like a canary, and is judged by its answers. The
daemon that holds the lease of the roll-out duty decides each step and stores
it. It announces steps to the other daemons, which also read the rows when
they start. A view only advances: a later order replaces an earlier one, and a
later step an earlier step.
"""

import math
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

import anyio
import xxhash

from mimosamux_daemon.domain.names import ServiceName
from mimosamux_daemon.domain.rollouts import (
    Rollout,
    RolloutOrder,
    RolloutStage,
)
from mimosamux_daemon.domain.stream_origins import StreamOrigin
from mimosamux_daemon.gateway.balancing.endpoint_record import EndpointRecord
from mimosamux_daemon.logs import get_log

log = get_log('rollouts')

SHARE_VALIDITY_S = 2.0
"""Validity of an announced share. When it expires, a daemon falls back to the
share that is safe for any number of daemons."""
SAFE_FRACTION = 0.8
"""Fraction of the operator's share that daemons use without coordination.
Each request is drawn independently, and this margin keeps the total below
the share despite random variation."""
MIN_TRIAL_ENDPOINTS = 3
"""Smallest number of endpoints in a trial, so that a single faulty endpoint
can be distinguished from a faulty version."""
HASH_BITS = 64
"""Width of the hash that a draw is made from."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RolloutLimits:
    """Bounds on the requests that an unproven version may get."""

    share: float = 0.1
    """Fraction of all requests to its service during the trial."""
    tolerance: float = 50.0
    """Number of requests allowed in excess of the share."""


@dataclass(kw_only=True, slots=True)
class RolloutView:
    """This daemon's view of one roll-out."""

    rollout: Rollout
    sequence: int = 0
    """Sequence number of the newest announced share of this step."""
    share: float = 0.0
    share_expires_at: float = -math.inf
    """Time on the monotonic clock at which the share expires."""
    is_stopped: bool = False
    """Whether this daemon stopped the trial on its own."""

    def may_continue(self, version: str) -> bool:
        """Whether streams that a version began may go on there."""
        if version not in self.rollout.unproven_versions():
            return True
        is_on_trial = self.rollout.stage is RolloutStage.TRIAL
        is_ordered = version == self.rollout.order.version
        return is_on_trial and is_ordered and not self.is_stopped


Listener = Callable[[Rollout], None]


@dataclass(kw_only=True, slots=True)
class Rollouts:
    """Keeps the roll-outs by service and applies them to requests."""

    limits: RolloutLimits
    serving: Callable[[ServiceName], Sequence[EndpointRecord]]
    """Returns the endpoints of a service that accept requests."""
    is_isolated: Callable[[], bool]
    """Returns whether other daemons are known but none is reachable."""
    clock: Callable[[], float]
    by_service: dict[ServiceName, RolloutView] = field(default_factory=dict)
    orders_by_service: dict[ServiceName, RolloutOrder] = field(
        default_factory=dict
    )
    """The newest order of the operator for each service."""
    ordered: anyio.Event = field(default_factory=anyio.Event)
    """Set for good with the first order."""
    on_changed: list[Listener] = field(default_factory=list)
    """Called with each roll-out step that is new to this daemon."""

    def apply_order(self, order: RolloutOrder) -> None:
        """Store an order if it is the newest of its service.

        Its version gets no requests until its trial begins.
        """
        newest = self.orders_by_service.get(order.service)
        if newest is not None and order.number <= newest.number:
            return
        self.orders_by_service[order.service] = order
        self.ordered.set()
        if newest is not None and order.is_rewrite_of(newest):
            return
        log.info(
            'rollout_ordered',
            service=order.service,
            version=order.version,
            within_s=order.within_s,
            number=order.number,
        )

    def apply_step(self, rollout: Rollout, *, source: str) -> bool:
        """Store a step of a roll-out; False if it is not newer."""
        service = rollout.order.service
        view = self.by_service.get(service)
        if view is not None and rollout.progress <= view.rollout.progress:
            return False
        self.by_service[service] = RolloutView(
            rollout=rollout,
            is_stopped=view is not None
            and view.is_stopped
            and rollout.order.is_rewrite_of(view.rollout.order),
        )
        log.info(
            'rollout_step',
            service=service,
            version=rollout.order.version,
            number=rollout.order.number,
            stage=rollout.stage,
            step=rollout.step,
            reason=rollout.reason,
            source=source,
        )
        for listener in self.on_changed:
            listener(rollout)
        return True

    def apply_share(
        self, rollout: Rollout, sequence: int, share: float
    ) -> bool:
        """Store the share announced for a trial; False if it is outdated."""
        view = self.by_service.get(rollout.order.service)
        if view is None or view.rollout.progress != rollout.progress:
            return False
        if sequence <= view.sequence:
            return False
        view.sequence = sequence
        view.share = share
        view.share_expires_at = self.clock() + SHARE_VALIDITY_S
        return True

    def stop_trial(self, service: ServiceName, reason: str) -> None:
        """Stop sending requests of this daemon to a version under trial."""
        view = self.by_service[service]
        if not view.is_stopped:
            view.is_stopped = True
            log.warning(
                'trial_stopped',
                service=service,
                version=view.rollout.order.version,
                reason=reason,
            )

    def current(self, service: ServiceName) -> Rollout | None:
        """Return the roll-out in progress for a service, if any."""
        view = self.by_service.get(service)
        if view is None or view.rollout.stage.is_over:
            return None
        return view.rollout

    def is_changing(self, service: ServiceName) -> bool:
        """Whether a roll-out of a service is pending or in progress."""
        order = self.orders_by_service.get(service)
        view = self.by_service.get(service)
        if view is None:
            return order is not None
        is_newer = order is not None and order.replaces(view.rollout.order)
        return is_newer or not view.rollout.stage.is_over

    def share(self, service: ServiceName) -> float:
        """Return the share of requests that go to a version under trial."""
        view = self.by_service.get(service)
        if view is None or view.is_stopped or self.is_isolated():
            # An isolated daemon does not learn of bad answers elsewhere.
            return 0.0
        if view.rollout.stage is not RolloutStage.TRIAL:
            return 0.0
        if self.clock() < view.share_expires_at:
            return view.share
        return SAFE_FRACTION * self.limits.share

    def filter_endpoints(
        self,
        service: ServiceName,
        records: Sequence[EndpointRecord],
        *,
        request_id: str,
        allow_trial: bool,
        weight: float = 1.0,
    ) -> list[EndpointRecord]:
        """Return those of the endpoints to which a request may go.

        `weight` multiplies the share for the request's route, so that rare
        routes are sampled more often.
        """
        order = self.orders_by_service.get(service)
        view = self.by_service.get(service)
        if order is None and view is None:
            return list(records)
        unproven = self._unproven_versions(order, view)
        proven = _exclude_versions(records, unproven)
        if view is None or view.rollout.stage.is_over:
            if view is None and not self._has_proven(service, unproven):
                # The order is for the version that runs already, or its
                # steps are not known yet: no other version can be used.
                return list(records)
            return proven
        version = view.rollout.order.version
        new = [
            record for record in records if record.listed.software == version
        ]
        if view.rollout.stage is not RolloutStage.TRIAL:
            return new or proven
        share = weight * self.share(service)
        if allow_trial and hash_to_fraction(request_id) < share:
            return choose_trial_endpoints(new, self.limits.share) or proven
        return proven

    def filter_for_stream(
        self, origin: StreamOrigin, records: Sequence[EndpointRecord]
    ) -> list[EndpointRecord]:
        """Return those of the endpoints at which a stream may go on.

        None if its version was on trial and was found bad.
        """
        view = self.by_service.get(origin.service)
        if view is not None and not view.may_continue(origin.software):
            return []
        return [record for record in records if origin.allows(record.listed)]

    def find_proven(
        self, service: ServiceName, records: Sequence[EndpointRecord]
    ) -> list[EndpointRecord]:
        """Return those of the endpoints whose version is proven."""
        order = self.orders_by_service.get(service)
        view = self.by_service.get(service)
        return _exclude_versions(records, self._unproven_versions(order, view))

    def _has_proven(self, service: ServiceName, unproven: set[str]) -> bool:
        return any(
            record.listed.software not in unproven
            for record in self.serving(service)
        )

    def _unproven_versions(
        self, order: RolloutOrder | None, view: RolloutView | None
    ) -> set[str]:
        unproven: set[str] = set()
        if view is not None:
            unproven |= set(view.rollout.unproven_versions())
        is_pending = order is not None and (
            view is None or order.replaces(view.rollout.order)
        )
        if order is not None and is_pending:
            unproven.add(order.version)
        return unproven


def _exclude_versions(
    records: Sequence[EndpointRecord], versions: set[str]
) -> list[EndpointRecord]:
    return [
        record for record in records if record.listed.software not in versions
    ]


def hash_to_fraction(id_: str) -> float:
    """Map a request or endpoint id to a number from 0 to 1.

    Every daemon computes the same number.
    """
    digest = xxhash.xxh3_64_intdigest(f'trial {id_}'.encode())
    return float(digest / 2**HASH_BITS)


def choose_trial_endpoints(
    records: Iterable[EndpointRecord], share: float
) -> list[EndpointRecord]:
    """Return the endpoints of a new version that take part in its trial.

    Their number is limited so that each gets as much load as an endpoint of
    the old version; a version that fails only under load would pass otherwise.
    """
    ranked = sorted(records, key=lambda record: hash_to_fraction(record.id))
    count = max(MIN_TRIAL_ENDPOINTS, math.ceil(share * len(ranked)))
    return ranked[:count]

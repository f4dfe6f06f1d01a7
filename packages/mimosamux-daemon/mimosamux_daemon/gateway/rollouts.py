"""The roll-outs that this daemon knows of, and what they allow.

The holder of the duties decides and writes down; the others are told, or
read the rows when they start. What is known only moves on: a later order
before an earlier one, a later step before an earlier one.
"""

import math
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

import xxhash

from mimosamux_daemon.domain.names import ServiceName
from mimosamux_daemon.domain.rollouts import (
    Rollout,
    RolloutOrder,
    RolloutStage,
)
from mimosamux_daemon.gateway.endpoint_record import EndpointRecord
from mimosamux_daemon.logs import get_log

log = get_log('rollouts')

SHARE_S = 2.0
"""Time for which a share that the holder allowed holds; without word of it,
a daemon goes back to the share that is safe at any number of daemons."""
SAFE_PART = 0.8
"""Part of the operator's share that is drawn without any agreement: drawn
one by one, requests stay below the share by chance alone."""
FEWEST_TRIED = 3
"""Endpoints of the new version that the trial's requests go to at least: one
that is ill by itself is then told from a version that is."""
DRAW_BITS = 64


@dataclass(frozen=True, kw_only=True, slots=True)
class RolloutLimits:
    """What an unproven version may get."""

    share: float = 0.1
    """Of all requests to its service, for as long as it is tried."""
    tolerance: float = 50.0
    """Requests beyond the share."""


@dataclass(kw_only=True, slots=True)
class KnownRollout:
    """A roll-out as it is known here."""

    rollout: Rollout
    word: int = 0
    """Newest word of the holder in this step."""
    share: float = 0.0
    share_until: float = -math.inf
    is_stopped: bool = False
    """Whether this daemon has stopped the trial by itself."""


Listener = Callable[[Rollout], None]


@dataclass(kw_only=True, slots=True)
class Rollouts:
    """Roll-outs by service."""

    limits: RolloutLimits
    serving: Callable[[ServiceName], Sequence[EndpointRecord]]
    """Returns the endpoints of a service that take work."""
    is_alone: Callable[[], bool]
    """Whether other daemons are known and none is in touch."""
    clock: Callable[[], float]
    by_service: dict[ServiceName, KnownRollout] = field(default_factory=dict)
    orders_by_service: dict[ServiceName, RolloutOrder] = field(
        default_factory=dict
    )
    """The newest order for each, as the operator wrote it."""
    on_changed: list[Listener] = field(default_factory=list)
    """Told of each step that is new here."""

    def take_order(self, order: RolloutOrder) -> None:
        """Take an order; nothing is sent to its version before its trial."""
        known = self.orders_by_service.get(order.service)
        if known is not None and order.number <= known.number:
            return
        self.orders_by_service[order.service] = order
        log.info(
            'rollout_ordered',
            service=order.service,
            version=order.version,
            within_s=order.within_s,
            number=order.number,
        )

    def take(self, rollout: Rollout, *, source: str) -> bool:
        """Take how far a roll-out is; False if that is nothing new."""
        service = rollout.order.service
        known = self.by_service.get(service)
        if known is not None and rollout.age <= known.rollout.age:
            return False
        self.by_service[service] = KnownRollout(rollout=rollout)
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

    def take_share(self, rollout: Rollout, word: int, share: float) -> bool:
        """Take the share that the holder allows for now, if it is news."""
        known = self.by_service.get(rollout.order.service)
        if known is None or known.rollout.age != rollout.age:
            return False
        if word <= known.word:
            return False
        known.word = word
        known.share = share
        known.share_until = self.clock() + SHARE_S
        return True

    def stop_trial(self, service: ServiceName, reason: str) -> None:
        """Send nothing more to a version under trial from here."""
        known = self.by_service[service]
        if not known.is_stopped:
            known.is_stopped = True
            log.warning(
                'trial_stopped',
                service=service,
                version=known.rollout.order.version,
                reason=reason,
            )

    def current(self, service: ServiceName) -> Rollout | None:
        """Return the roll-out that goes on for a service, if any."""
        known = self.by_service.get(service)
        if known is None or known.rollout.stage.is_over:
            return None
        return known.rollout

    def is_changing(self, service: ServiceName) -> bool:
        """Whether a service has, or shall have, two versions at once."""
        order = self.orders_by_service.get(service)
        known = self.by_service.get(service)
        if known is None:
            return order is not None
        is_newer = (
            order is not None and order.number > known.rollout.order.number
        )
        return is_newer or not known.rollout.stage.is_over

    def share(self, service: ServiceName) -> float:
        """Return the share of requests that go to a version under trial."""
        known = self.by_service.get(service)
        if known is None or known.is_stopped or self.is_alone():
            # Alone, it would not learn of bad answers that others had.
            return 0.0
        if known.rollout.stage is not RolloutStage.TRIAL:
            return 0.0
        if self.clock() < known.share_until:
            return known.share
        return SAFE_PART * self.limits.share

    def narrow(
        self,
        service: ServiceName,
        records: Sequence[EndpointRecord],
        *,
        request_id: str,
        may_be_trial: bool,
        weight: float = 1.0,
    ) -> list[EndpointRecord]:
        """Return the endpoints whose version a request may go to.

        `weight` is how much more often than others requests of its route are
        tried.
        """
        order = self.orders_by_service.get(service)
        known = self.by_service.get(service)
        if order is None and known is None:
            return list(records)
        unproven = self._unproven(order, known)
        proven = _leave_out(records, unproven)
        if known is None or known.rollout.stage.is_over:
            if known is None and not self._has_proven(service, unproven):
                # An order for the version that runs, or one whose steps
                # nobody has told of yet: there is nothing else to use.
                return list(records)
            return proven
        version = known.rollout.order.version
        new = [
            record for record in records if record.listed.software == version
        ]
        if known.rollout.stage is not RolloutStage.TRIAL:
            return new or proven
        share = weight * self.share(service)
        if may_be_trial and draw(request_id) < share:
            return choose_tried(new, self.limits.share) or proven
        return proven

    def find_proven(
        self, service: ServiceName, records: Sequence[EndpointRecord]
    ) -> list[EndpointRecord]:
        """Return the endpoints that any request may go to."""
        order = self.orders_by_service.get(service)
        known = self.by_service.get(service)
        return _leave_out(records, self._unproven(order, known))

    def _has_proven(self, service: ServiceName, unproven: set[str]) -> bool:
        return any(
            record.listed.software not in unproven
            for record in self.serving(service)
        )

    def _unproven(
        self, order: RolloutOrder | None, known: KnownRollout | None
    ) -> set[str]:
        unproven: set[str] = set()
        if known is not None:
            unproven |= set(known.rollout.unproven())
        is_pending = order is not None and (
            known is None or order.number > known.rollout.order.number
        )
        if order is not None and is_pending:
            unproven.add(order.version)
        return unproven


def _leave_out(
    records: Sequence[EndpointRecord], versions: set[str]
) -> list[EndpointRecord]:
    return [
        record for record in records if record.listed.software not in versions
    ]


def draw(request_id: str) -> float:
    """Return a number from 0 to 1 that a request has everywhere."""
    digest = xxhash.xxh3_64_intdigest(f'trial {request_id}'.encode())
    return float(digest / 2**DRAW_BITS)


def choose_tried(
    records: Iterable[EndpointRecord], share: float
) -> list[EndpointRecord]:
    """Return the endpoints of a new version that are tried.

    So few of them that each has as much to do as one of the old version: a
    version that fails under load alone would pass otherwise.
    """
    ranked = sorted(records, key=lambda record: draw(record.id))
    count = max(FEWEST_TRIED, math.ceil(share * len(ranked)))
    return ranked[:count]

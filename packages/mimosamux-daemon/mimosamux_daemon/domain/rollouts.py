"""Bringing a new version of a service in, step by step."""

from collections.abc import Collection
from dataclasses import dataclass, replace
from enum import StrEnum

from mimosamux_daemon.domain.names import ServiceName


class RolloutStage(StrEnum):
    """How far a roll-out is."""

    TRIAL = 'trial'
    """The new version gets a share of the requests, and is judged."""
    TAKEOVER = 'takeover'
    """It was found good and gets every new request."""
    CLEARING = 'clearing'
    """What still runs at the other versions is moved away from there."""
    COMPLETED = 'completed'
    REVERTED = 'reverted'

    @property
    def is_over(self) -> bool:
        """Whether nothing changes any more."""
        return self in (RolloutStage.COMPLETED, RolloutStage.REVERTED)


@dataclass(frozen=True, kw_only=True, slots=True)
class RolloutOrder:
    """An operator's order to move a service to a version."""

    service: ServiceName
    version: str
    within_s: float
    number: int
    """Names the order; a later one for the service has a higher one."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Rollout:
    """An order, and how far it is carried out."""

    order: RolloutOrder
    stage: RolloutStage
    step: int
    """Grows with each change of the stage."""
    began_at: float
    """When the order was first seen, on the store's clock in seconds."""
    held_back: tuple[str, ...] = ()
    """Versions of earlier orders that were not found good."""
    reason: str = ''

    @property
    def age(self) -> tuple[int, int]:
        """Return what is higher for a later order or a later step."""
        return self.order.number, self.step

    @property
    def ends_at(self) -> float:
        """Return when it has to be over, on the store's clock."""
        return self.began_at + self.order.within_s

    def advance(self, stage: RolloutStage, reason: str) -> 'Rollout':
        """Return the roll-out one step on."""
        return replace(self, stage=stage, step=self.step + 1, reason=reason)

    def unproven(self) -> Collection[str]:
        """Return the versions that were not, or not yet, found good."""
        if self.stage in (RolloutStage.TRIAL, RolloutStage.REVERTED):
            return {*self.held_back, self.order.version}
        return set(self.held_back) - {self.order.version}

"""Staged roll-out of a new software version of a service."""

from collections.abc import Collection
from dataclasses import dataclass, replace
from enum import StrEnum

from mimosamux_daemon.domain.names import ServiceName
from mimosamux_daemon.domain.store_eras import era_of


class RolloutStage(StrEnum):
    """Stage of a roll-out, in order."""

    TRIAL = 'trial'
    """The new version gets a share of the requests and is evaluated."""
    TAKEOVER = 'takeover'
    """The new version was approved and gets all new requests."""
    CLEARING = 'clearing'
    """Requests still running at other versions are moved away."""
    COMPLETED = 'completed'
    REVERTED = 'reverted'

    @property
    def is_over(self) -> bool:
        """Whether the stage is final."""
        return self in (RolloutStage.COMPLETED, RolloutStage.REVERTED)


@dataclass(frozen=True, kw_only=True, slots=True)
class RolloutOrder:
    """An operator's order to move a service to a version."""

    service: ServiceName
    version: str
    within_s: float
    number: int
    """Version of the order's row; a later order has a higher one."""

    def is_rewrite_of(self, other: 'RolloutOrder') -> bool:
        """Return whether this is the same order, read in a later era.

        Each era of the store gives the row another version, even if it
        survived the restore.
        """
        return (
            era_of(self.number) > era_of(other.number)
            and self.version == other.version
            and self.within_s == other.within_s
        )

    def replaces(self, other: 'RolloutOrder') -> bool:
        """Return whether this is a later order than another one."""
        return self.number > other.number and not self.is_rewrite_of(other)


@dataclass(frozen=True, kw_only=True, slots=True)
class Rollout:
    """An order and the progress of its execution."""

    order: RolloutOrder
    stage: RolloutStage
    step: int
    """Increases with each change of the stage."""
    began_at: float
    """Time at which the order was first seen, in seconds of store time."""
    unapproved_versions: tuple[str, ...] = ()
    """Versions of earlier orders that were not approved.

    Written as `held_back` to rows and messages.
    """
    reason: str = ''

    @property
    def progress(self) -> tuple[int, int]:
        """Return the sort key: greater for a later order or a later step."""
        return self.order.number, self.step

    @property
    def ends_at(self) -> float:
        """Return the deadline of the roll-out, in seconds of store time."""
        return self.began_at + self.order.within_s

    def advance(self, stage: RolloutStage, reason: str) -> 'Rollout':
        """Return the roll-out in its next stage."""
        return replace(self, stage=stage, step=self.step + 1, reason=reason)

    def unproven_versions(self) -> Collection[str]:
        """Return the versions that are not approved, or not yet."""
        if self.stage in (RolloutStage.TRIAL, RolloutStage.REVERTED):
            return {*self.unapproved_versions, self.order.version}
        return set(self.unapproved_versions) - {self.order.version}

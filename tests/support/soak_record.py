"""What a soak did to the site, and what it left behind to be checked."""

import math
from dataclasses import dataclass, field
from enum import Enum, auto

from mimosamux_standins.site.replica import ReplicaSpeed

EVENTS = 12
"""Of each stream of the stand-in platform, if not said otherwise."""


class AbsenceKind(Enum):
    """Why a daemon does not answer."""

    FROZEN = auto()
    KILLED = auto()
    STOPPING = auto()


@dataclass(kw_only=True)
class Absence:
    """Time in which a daemon is frozen, stops, or does not run."""

    entry: str
    kind: AbsenceKind
    start: float
    """Time of its signal."""
    end: float = math.inf
    gone_at: float = math.inf
    """Time at which the process ended that was asked to stop."""
    process: object = None


@dataclass(kw_only=True)
class Disruption:
    """Time in which an endpoint, or a daemon's way to the store, fails."""

    place: str
    """Id of the endpoint, or entry address of the daemon."""
    start: float
    end: float = math.inf


@dataclass(kw_only=True)
class Record:
    """What a soak left behind to be checked."""

    sent: list
    seen: dict
    revoked_at: float | None
    log: list
    serves_again: bool
    serves_after_burst: bool = True
    absences: list = field(default_factory=list)
    disruptions: list = field(default_factory=list)
    most_memory_bytes: int = 0
    """Most memory of a daemon that runs at the end."""
    still_waiting: float = 0.0
    """Requests in the queues after all callers had gone."""
    waits: float = 0.0
    """Requests that waited for an engine, as far as daemons still know."""
    speed: ReplicaSpeed = field(
        default_factory=lambda: ReplicaSpeed(events=EVENTS)
    )
    """Tells how many events each stream has."""

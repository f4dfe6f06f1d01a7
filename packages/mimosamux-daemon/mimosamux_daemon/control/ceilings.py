"""Refusal of work classes whose cost exceeds their cost ceiling."""

import random
from collections.abc import Iterable

from mimosamux_daemon.domain.names import ClassName
from mimosamux_daemon.domain.plan import CeilingShortfall


class Ceilings:
    """Cost ceilings in force, which refuse classes in full or in part."""

    def __init__(self, *, randomness: random.Random) -> None:
        self._randomness = randomness
        self._shortfalls_by_class: dict[ClassName, CeilingShortfall] = {}

    @property
    def shortfalls(self) -> tuple[CeilingShortfall, ...]:
        """Return the classes above their cost ceiling, for operators."""
        return tuple(self._shortfalls_by_class.values())

    def update(self, shortfalls: Iterable[CeilingShortfall]) -> None:
        """Put the shortfalls of a new plan in force."""
        self._shortfalls_by_class = {
            shortfall.work_class: shortfall for shortfall in shortfalls
        }

    def over_ceiling(self) -> frozenset[ClassName]:
        """Sample the classes to refuse, for one offered request.

        Each class is included with probability 1 minus its admitted share,
        so that the share of its requests that the ceiling pays for is
        served.
        """
        return frozenset(
            name
            for name, shortfall in self._shortfalls_by_class.items()
            if self._randomness.random() >= shortfall.admitted_share
        )

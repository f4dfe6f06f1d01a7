"""Classes that are refused because serving them costs too much."""

import random
from collections.abc import Iterable

from mimosamux_daemon.domain.names import ClassName
from mimosamux_daemon.domain.plan import CeilingShortfall


class Ceilings:
    """Which classes the plan in force refuses, in full or in part."""

    def __init__(self, *, randomness: random.Random) -> None:
        self._randomness = randomness
        self._shortfalls_by_class: dict[ClassName, CeilingShortfall] = {}

    @property
    def shortfalls(self) -> tuple[CeilingShortfall, ...]:
        """Return the classes that are short of money, for operators."""
        return tuple(self._shortfalls_by_class.values())

    def take(self, shortfalls: Iterable[CeilingShortfall]) -> None:
        """Put what a plan says in force."""
        self._shortfalls_by_class = {
            shortfall.work_class: shortfall for shortfall in shortfalls
        }

    def over_ceiling(self) -> frozenset[ClassName]:
        """Return the classes to refuse for one request that is offered.

        Each call draws anew, so that a class whose ceiling pays for part
        of its requests gets that part served.
        """
        return frozenset(
            name
            for name, shortfall in self._shortfalls_by_class.items()
            if self._randomness.random() >= shortfall.admitted_share
        )

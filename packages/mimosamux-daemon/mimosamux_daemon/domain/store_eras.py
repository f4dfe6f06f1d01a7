"""Eras of the platform's store, and row versions that are unique in all.

A store that is restored from an older copy has lost the writes since that
copy, and gives out their row versions again. Each restore begins a new era.
A version inside the daemons therefore holds the era in its upper bits, so
that every version of a later era is above those of earlier eras.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

UNKNOWN_ERA = 0
"""Era of a store that states none; it never ends."""
NUMBER_BITS = 44
"""Bits of the store's own number in a version. They last for centuries at a
thousand writes per second, and leave the era 19 bits of a signed integer of
64 bits, as messages carry it."""
ERA_COUNT = 1 << 19
"""Eras that fit into a version. Larger ones are taken modulo this: only the
order of the last few matters, and each is one above its predecessor."""


def make_version(era: int, number: int) -> int:
    """Return the version of a row from its era and the store's number."""
    return (era << NUMBER_BITS) + number


def era_of(version: int) -> int:
    """Return the era in which a version was read."""
    return version >> NUMBER_BITS


def number_of(version: int) -> int:
    """Return the number that the store gave a version."""
    return version & ((1 << NUMBER_BITS) - 1)


@dataclass(kw_only=True, slots=True)
class StoreEra:
    """The newest era that an answer of the store has stated."""

    clock: Callable[[], float] = anyio.current_time
    current: int = UNKNOWN_ERA
    has_answered: bool = False
    """Whether any answer arrived; it may have stated no era."""
    seen_at: float = -math.inf
    """When an answer first stated it, if this process knew an earlier one."""
    on_risen: list[Callable[[int], None]] = field(default_factory=list)
    """Called with each era that replaces one that this process knew."""

    @property
    def age_s(self) -> float:
        """Time since this process saw it begin, infinite if it did not."""
        return self.clock() - self.seen_at

    def note(self, stated: int | None) -> int | None:
        """Record the era that an answer states, and return it.

        Return None if the answer is of an earlier era: it can arrive after
        one of a later era. An answer that states none is of the current one.
        """
        before, is_first = self.current, not self.has_answered
        self.has_answered = True
        if stated is None or stated == before:
            return before
        if stated < before:
            return None
        self.current = stated
        if not is_first:
            self.seen_at = self.clock()
            for listener in self.on_risen:
                listener(stated)
        return stated

"""Eras of the platform's store.

A store that is restored from an older copy has lost the writes since that
copy, and gives out their row versions again. Each restore begins a new era.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from mimosamux_daemon.logs import get_log

log = get_log('store_eras')

UNKNOWN_ERA = 0
"""Era of a store that states none; it never ends."""


@dataclass(kw_only=True, slots=True)
class StoreEra:
    """The newest era that an answer of the store has stated."""

    clock: Callable[[], float]
    current: int = UNKNOWN_ERA
    seen_at: float = -math.inf
    """When an answer first stated it, if this process knew an earlier one."""
    on_risen: list[Callable[[], None]] = field(default_factory=list)
    """Called when a new era replaces one that this process knew."""

    @property
    def age_s(self) -> float:
        """Time since this process saw it begin, infinite if it did not."""
        return self.clock() - self.seen_at

    def note(self, era: int) -> bool:
        """Record the era of an answer; return whether it is the current one.

        An answer of an earlier era can arrive after one of a later era.
        """
        before = self.current
        if era > before:
            self.current = era
            if before != UNKNOWN_ERA:
                self.seen_at = self.clock()
                log.warning('store_era_began', era=era, before=before)
                for listener in self.on_risen:
                    listener()
        return era == self.current

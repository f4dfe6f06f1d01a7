"""Plays many days side by side, each in a process of its own."""

import logging
import statistics
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field

import structlog

from benchmarks.decisions.day import Day, DayResult, Tuning
from benchmarks.decisions.users import USERS
from benchmarks.decisions.ways import Way
from tests.support.clock import run_paused

WORKERS = 10
SILENT = logging.CRITICAL


@dataclass(frozen=True, kw_only=True)
class Run:
    """One day to play."""

    user: str
    way: Way
    seed: int
    tuning: Tuning = field(default_factory=Tuning)


@dataclass(frozen=True, kw_only=True)
class Spread:
    """Mean of a figure over the seeds, and its lowest and highest."""

    mean: float
    low: float
    high: float

    def __str__(self) -> str:
        """Return the mean and the range for a table."""
        return f'{self.mean:.3g} ({self.low:.3g}-{self.high:.3g})'


def play(run: Run) -> DayResult:
    """Play one day."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(SILENT)
    )
    day = Day(
        user=USERS[run.user], way=run.way, seed=run.seed, tuning=run.tuning
    )
    result: DayResult = run_paused(day.run)
    return result


def play_all(runs: Sequence[Run]) -> list[DayResult]:
    """Play days and return their results in order."""
    with ProcessPoolExecutor(max_workers=WORKERS) as pool:
        return list(pool.map(play, runs))


def spread_of(
    results: Iterable[DayResult], value: Callable[[DayResult], float]
) -> Spread:
    """Return the spread of a figure over results."""
    values = [value(result) for result in results]
    return Spread(
        mean=statistics.fmean(values), low=min(values), high=max(values)
    )

"""Times to first token of this daemon's answers, by class of work."""

from collections import deque
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from mimosamux_daemon.domain.names import ClassName
from mimosamux_daemon.domain.work import WorkClass

LOWEST_MS = 1
HIGHEST_MS = 3_600_000
"""Range of the histograms; longer times are recorded as the highest."""
SIGNIFICANT_FIGURES = 2
RECENT_ANSWERS = 200
"""Newest answers of a class that `share_within_target` counts."""


@dataclass(frozen=True, kw_only=True, slots=True)
class FirstTokenSummary:
    """Times to first token of a class; None before the first answer."""

    count: int = 0
    p95_s: float | None = None
    share_within_target: float | None = None


class FirstTokenTimes:
    """Histograms of the time to the first token."""

    def __init__(self) -> None:
        self._histograms_by_class: dict[ClassName, HdrHistogram] = {}
        self._recent_by_class: dict[ClassName, deque[bool]] = {}

    def note(self, work_class: WorkClass, seconds: float) -> None:
        """Record the time from a request's arrival to its first token."""
        name = work_class.name
        if name not in self._histograms_by_class:
            self._histograms_by_class[name] = HdrHistogram(
                LOWEST_MS, HIGHEST_MS, SIGNIFICANT_FIGURES
            )
            self._recent_by_class[name] = deque(maxlen=RECENT_ANSWERS)
        milliseconds = max(LOWEST_MS, round(seconds * 1000))
        self._histograms_by_class[name].record_value(
            min(milliseconds, HIGHEST_MS)
        )
        self._recent_by_class[name].append(seconds <= work_class.first_token_s)

    def summary(self, name: ClassName) -> FirstTokenSummary:
        """Return the summary of a class."""
        histogram = self._histograms_by_class.get(name)
        if histogram is None:
            return FirstTokenSummary()
        recent = self._recent_by_class[name]
        return FirstTokenSummary(
            count=histogram.get_total_count(),
            p95_s=histogram.get_value_at_percentile(95.0) / 1000,
            share_within_target=sum(recent) / len(recent),
        )

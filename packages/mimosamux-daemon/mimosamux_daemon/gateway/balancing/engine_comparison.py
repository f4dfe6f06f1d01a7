"""Tells by their samples whether the engines of a service differ in speed.

The comparison is an analysis of variance: the variance between the means of
engines against that of the samples of one engine.
"""

import math
from collections.abc import Sequence

from mimosamux_daemon.gateway.balancing.engine_samples import SampleSums

MIN_TOTAL_WEIGHT = 20.0
"""Least weight of the samples of all engines of a service together."""
MIN_VARIANCE = 0.05**2
"""Least assumed variance of samples of one engine."""
MIN_DEVIATION = 0.1
"""Standard deviation of the engines' means, without the noise of the samples,
from which factors apply."""
MIN_VARIANCE_RATIO, FEW_ENGINES_MARGIN = 1.0, 12.0
"""The variance between engines over that of their samples has to exceed the
first plus the second over the root of the degrees of freedom: by chance it
does so in fewer than one of a thousand comparisons."""


def have_spread(sums: Sequence[SampleSums]) -> bool:
    """Whether samples show that engines differ, by analysis of variance."""
    weight = sum(each.weight for each in sums)
    freedom = len(sums) - 1
    if freedom < 1 or weight < MIN_TOTAL_WEIGHT:
        return False
    mean = sum(each.ratios for each in sums) / weight
    between = sum(each.weight * (each.mean - mean) ** 2 for each in sums)
    variance_ratio = between / freedom / _variance_within(sums)
    limit = MIN_VARIANCE_RATIO + FEW_ENGINES_MARGIN / math.sqrt(freedom)
    return (
        variance_ratio >= limit
        and relative_deviation(sums, mean) >= MIN_DEVIATION
    )


def relative_deviation(sums: Sequence[SampleSums], center: float) -> float:
    """Return the relative standard deviation of engines from a center.

    The part that the noise of the samples causes is left out. Each engine,
    and there has to be one, must have samples.
    """
    within = _variance_within(sums)
    variance = sum(
        (each.mean - center) ** 2 - within / each.weight for each in sums
    ) / len(sums)
    return math.sqrt(max(variance, 0.0)) / center


def _variance_within(sums: Sequence[SampleSums]) -> float:
    """Return the variance of samples of the same engine."""
    freedom = max(sum(each.weight for each in sums) - len(sums), 1.0)
    deviations = sum(each.deviations for each in sums)
    return max(deviations / freedom, MIN_VARIANCE)

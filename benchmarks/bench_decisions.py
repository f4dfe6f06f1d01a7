"""A day of each user under our policy and under plain ones."""

from collections.abc import Iterable

from benchmarks.decisions.curves import draw_day
from benchmarks.decisions.day import DayResult
from benchmarks.decisions.runs import Run, play_all, spread_of
from benchmarks.decisions.users import USERS
from benchmarks.decisions.ways import (
    OURS,
    PROMPT_AGAIN,
    Way,
    fixed,
    on_demand,
)
from benchmarks.report import Table

SEEDS = range(1, 11)
SIZING_SEEDS = (1, 2)
SIZES = (6, 8, 10, 12)
LATE_SHARES = (0.03, 0.003, 0.0003)
PLAIN = ('least reported', 'round robin')
EQUAL = 0.003
"""Difference in the share within target that counts as none."""


def run() -> list[Table]:
    """Size the plain fleets, then play ten seeds of every way."""
    ours = {
        user: play_all([Run(user=user, way=OURS, seed=s) for s in SEEDS])
        for user in USERS
    }
    ways = {user: _choose_ways(user, ours[user]) for user in USERS}
    runs = [
        Run(user=user, way=way, seed=seed)
        for user in USERS
        for way in ways[user]
        for seed in SEEDS
    ]
    results = iter(play_all(runs))
    tables = []
    for user in USERS:
        by_way = {OURS.name: ours[user]}
        for way in ways[user]:
            name = f'{way.name} {way.replicas or ""}'.strip()
            if way.only_on_demand:
                name = f'{name} {way.late_share}'
            by_way[name] = [next(results) for _ in SEEDS]
        tables.append(_make_table(user, by_way))
        draw_day(user, {name: days[0] for name, days in by_way.items()})
    return tables


def _choose_ways(user: str, ours: list[DayResult]) -> list[Way]:
    """Return the ways to compare with, at our quality where they reach it.

    Each plain way is taken in its cheapest form whose share within target
    is that of our policy, or in its most ample one.
    """
    aim = sum(ours[s - 1].share_in_target for s in SIZING_SEEDS)
    aim = aim / len(SIZING_SEEDS) - EQUAL
    forms = [[on_demand(share) for share in LATE_SHARES]]
    forms += [[fixed(routing, size) for size in SIZES] for routing in PLAIN]
    runs = [
        Run(user=user, way=way, seed=seed)
        for ways in forms
        for way in ways
        for seed in SIZING_SEEDS
    ]
    results = iter(play_all(runs))
    chosen = [PROMPT_AGAIN]
    for ways in forms:
        reached = [
            sum(next(results).share_in_target for _ in SIZING_SEEDS)
            / len(SIZING_SEEDS)
            for _ in ways
        ]
        enough = [
            way
            for way, share in zip(ways, reached, strict=True)
            if share >= aim
        ]
        chosen.append(enough[0] if enough else ways[-1])
    return chosen


def _make_table(user: str, by_way: dict[str, list[DayResult]]) -> Table:
    long_class, lookup = (flow.work_class for flow in USERS[user].flows)
    ours = by_way[OURS.name]
    rows = [
        _make_row(name, results, ours, long_class, lookup)
        for name, results in by_way.items()
    ]
    return Table(
        title=f'{user}: a day of 24 h played in 12 min, {len(SEEDS)} seeds',
        columns=(
            'way',
            f'{long_class} in target',
            'lookup in target',
            'lookup in a wave',
            'cost',
            'ours / cost',
            'tokens recomputed',
            'refused',
            'lost',
            'VM starts',
        ),
        rows=tuple(rows),
        note=(
            'mean (lowest-highest); a number after a way is its fixed fleet,'
            ' or the late share planned with: the cheapest of those tried'
            ' that has our share within target, else the most ample'
        ),
    )


def _make_row(
    name: str,
    results: list[DayResult],
    ours: list[DayResult],
    long_class: str,
    lookup: str,
) -> tuple[str, ...]:
    cost = spread_of(results, lambda day: day.cost)
    own_cost = spread_of(ours, lambda day: day.cost)
    figures: Iterable[object] = (
        spread_of(results, lambda day: day.class_share(long_class)),
        spread_of(results, lambda day: day.class_share(lookup)),
        spread_of(results, lambda day: day.wave_share(lookup)),
        cost,
        f'{own_cost.mean / cost.mean:.2f}',
        spread_of(results, lambda day: day.recomputed),
        spread_of(results, lambda day: day.refused),
        sum(day.lost for day in results),
        spread_of(results, lambda day: day.vm_starts),
    )
    return name, *map(str, figures)

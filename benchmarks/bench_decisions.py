"""A day of each user under our policy and under plain ones."""

from collections.abc import Iterable

from benchmarks.decisions.curves import draw_day
from benchmarks.decisions.day import DayResult
from benchmarks.decisions.runs import Run, play_all, spread_of
from benchmarks.decisions.users import USERS
from benchmarks.decisions.ways import (
    ON_DEMAND,
    OURS,
    PROMPT_AGAIN,
    Way,
    fixed,
)
from benchmarks.report import Table

SEEDS = range(1, 11)
SIZING_SEEDS = (1, 2)
SIZES = (6, 8, 10, 12)
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
            by_way[name] = [next(results) for _ in SEEDS]
        tables.append(_make_table(user, by_way))
        draw_day(user, {name: days[0] for name, days in by_way.items()})
    return tables


def _choose_ways(user: str, ours: list[DayResult]) -> list[Way]:
    """Return the ways to compare with; fixed fleets of equal quality.

    A fixed fleet gets the fewest replicas with which its share within
    target is that of our policy, or the most that were tried.
    """
    aim = sum(ours[s - 1].share_in_target for s in SIZING_SEEDS)
    aim = aim / len(SIZING_SEEDS) - EQUAL
    chosen = [ON_DEMAND, PROMPT_AGAIN]
    for routing in PLAIN:
        runs = [
            Run(user=user, way=fixed(routing, size), seed=seed)
            for size in SIZES
            for seed in SIZING_SEEDS
        ]
        results = iter(play_all(runs))
        reached = {
            size: sum(next(results).share_in_target for _ in SIZING_SEEDS)
            / len(SIZING_SEEDS)
            for size in SIZES
        }
        enough = [size for size in SIZES if reached[size] >= aim]
        chosen.append(fixed(routing, min(enough, default=SIZES[-1])))
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
            ' the smallest with our share within target'
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

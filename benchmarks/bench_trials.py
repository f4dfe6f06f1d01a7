"""Two judges of new versions, on the same seeded trials."""

from mimosamux_daemon.gateway.trial_judge import SequentialJudge, Verdict

from benchmarks.report import Table
from benchmarks.threshold_judge import ThresholdJudge
from tests.support.trial_model import (
    SITES,
    TROUBLES,
    VERSIONS,
    play_trial,
)

SEEDS = 300
JUDGES = {'sequential': SequentialJudge, 'thresholds': ThresholdJudge}


def run() -> list[Table]:
    """Return the wrong and late verdicts of each judge, a row a kind."""
    tables = []
    for site in SITES:
        rows = []
        for version, trouble in _kinds():
            for name, judge in JUDGES.items():
                rows.append(_row(name, judge, version, trouble, site))
        tables.append(
            Table(
                title=f'{SEEDS} trials of 16 s each, {site}',
                columns=[
                    'version',
                    'trouble',
                    'judge',
                    'wrong',
                    'none',
                    'exposed',
                    'mean s',
                ],
                rows=rows,
            )
        )
    return tables


def _kinds() -> list[tuple[str, str]]:
    good = [('good', trouble) for trouble in TROUBLES]
    bad = [(version, 'calm') for version in VERSIONS if version != 'good']
    return good + bad


def _row(
    name: str,
    judge: type[SequentialJudge] | type[ThresholdJudge],
    version: str,
    trouble: str,
    site: str,
) -> list[object]:
    played = [
        play_trial(judge, version, trouble, site, seed)
        for seed in range(SEEDS)
    ]
    is_good = VERSIONS[version].is_good
    right = Verdict.GOOD if is_good else Verdict.BAD
    decided = [each for each in played if each.verdict is not Verdict.OPEN]
    wrong = sum(each.verdict is not right for each in decided)
    exposed = sum(each.is_exposed for each in played) * (not is_good)
    mean_s = sum(each.decided_s for each in decided) / max(len(decided), 1)
    return [
        version,
        trouble,
        name,
        wrong,
        len(played) - len(decided),
        exposed,
        round(mean_s, 1),
    ]

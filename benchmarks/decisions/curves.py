"""Curves of a day as PNG."""

import matplotlib

matplotlib.use('Agg')

from matplotlib import pyplot  # noqa: E402 - the backend is chosen first

from benchmarks.decisions.day import DayResult  # noqa: E402
from benchmarks.decisions.users import HOUR_S, USERS  # noqa: E402
from benchmarks.report import RESULTS  # noqa: E402


def draw_day(user: str, by_way: dict[str, DayResult]) -> None:
    """Draw VMs and money spent over a day, one line for each way."""
    figure, (vms, money) = pyplot.subplots(
        2, 1, sharex=True, figsize=(9, 6), constrained_layout=True
    )
    for way, result in by_way.items():
        hours = [sample.at / HOUR_S for sample in result.samples]
        vms.step(hours, [sample.vms for sample in result.samples], label=way)
        money.plot(hours, [sample.spent for sample in result.samples])
    vms.set_title(f'{user}: one day, seed 1')
    vms.set_ylabel('VMs')
    vms.legend(fontsize='small')
    money.set_ylabel('money spent')
    money.set_xlabel('hour')
    RESULTS.mkdir(exist_ok=True)
    figure.savefig(RESULTS / f'decisions_{USERS[user].file_name}.png', dpi=90)
    pyplot.close(figure)

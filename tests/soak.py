"""Runs the fault soak by hand: `python -m tests.soak --seeds 50`."""

import sys

import fire

from tests.support.soak import play
from tests.support.soak_checks import find_problems


def soak(first=1, seeds=10, seconds=15.0, daemons=3):
    """Play seeds one after the other; print what each broke."""
    failed = 0
    for seed in range(first, first + seeds):
        record = play(seed, daemons=daemons, seconds=seconds)
        problems = find_problems(record)
        served = sum(each.answer.status == 200 for each in record.sent)
        print(
            f'seed {seed}: {served} of {len(record.sent)} served', flush=True
        )
        if problems:
            failed += 1
            print('\n'.join(f'  {each}' for each in problems))
            print('\n'.join(f'    {line}' for line in record.log), flush=True)
    print(f'{seeds - failed} of {seeds} seeds kept every promise')
    return sys.exit(1 if failed else 0)


if __name__ == '__main__':
    fire.Fire(soak)

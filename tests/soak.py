"""Runs the fault soak by hand: `python -m tests.soak --seeds 50`.

A fifth of the seeds is played with a large site; `--daemons` fixes the size.
A third is played with long streams and stops in series; `--long_streams` and
`--nolong_streams` say so for all. In half of them a prompt part crashes
engines, or in all or none with `--bad_parts` and `--nobad_parts`. In a quarter
the connections of engines end before their processes do (`--hangs`). With
`--rejoins` all daemons are killed around changes of the software version, with
`--out_of_step` one stands still while it changes and another one is killed.
"""

import pathlib
import sys

import fire

from tests.support.soak import (
    choose_bad_parts,
    choose_crowds,
    choose_daemons,
    choose_hangs,
    choose_long_streams,
    play,
)
from tests.support.soak_checks import find_problems


def soak(
    first=1,
    seeds=10,
    seconds=15.0,
    daemons=None,
    logs=None,
    long_streams=None,
    bad_parts=None,
    rejoins=False,
    out_of_step=False,
    hangs=None,
    crowds=None,
):
    """Play seeds one after the other; print what each broke.

    The faults and the logs of the daemons are written below the folder
    `logs`, if given.
    """
    failed = 0
    for seed in range(first, first + seeds):
        count = daemons or choose_daemons(seed)
        is_long = long_streams
        if is_long is None:
            is_long = choose_long_streams(seed)
        has_bad_parts = bad_parts
        if has_bad_parts is None:
            has_bad_parts = choose_bad_parts(seed)
        has_hangs = choose_hangs(seed) if hangs is None else hangs
        has_crowds = choose_crowds(seed) if crowds is None else crowds
        folder = None
        if logs is not None:
            folder = pathlib.Path(logs, str(seed))
            folder.mkdir(parents=True, exist_ok=True)
        record = play(
            seed,
            daemons=count,
            seconds=seconds,
            logs=folder,
            has_needy_endpoints=True,
            has_versions=not is_long,
            has_long_streams=is_long,
            has_bad_parts=has_bad_parts,
            has_rejoins=rejoins,
            has_out_of_step=out_of_step,
            has_hangs=has_hangs,
            has_crowds=has_crowds,
        )
        if folder is not None:
            lines = [f'{line}\n' for line in record.log]
            (folder / 'faults.log').write_text(''.join(lines))
        problems = find_problems(record)
        served = sum(each.answer.status == 200 for each in record.sent)
        print(
            f'seed {seed}: {count} daemons{" and long streams" * is_long}'
            f'{" and bad parts" * has_bad_parts}{" and hangs" * has_hangs}'
            f'{" and crowds" * has_crowds},'
            f' {served} of {len(record.sent)}'
            f' served, {record.waits:g} waited',
            flush=True,
        )
        if problems:
            failed += 1
            print('\n'.join(f'  {each}' for each in problems))
            print('\n'.join(f'    {line}' for line in record.log), flush=True)
    print(f'{seeds - failed} of {seeds} seeds kept every promise')
    return sys.exit(1 if failed else 0)


if __name__ == '__main__':
    fire.Fire(soak)

"""Runs the command line in this process and keeps what it printed."""

import io
from dataclasses import dataclass

from mimosamux_cli import main
from mimosamux_daemon.context import Environment
from mimosamux_daemon.status import ExitStatus


@dataclass(frozen=True, kw_only=True)
class Result:
    """What a command printed, and its exit status."""

    status: ExitStatus
    out: str
    err: str


def mimosamux(*args: str, **variables: str) -> Result:
    """Run `mimosamux` with arguments and environment variables."""
    env = Environment(
        stdout=io.StringIO(),
        stderr=io.StringIO(),
        variables=variables,
        sleep=lambda seconds: None,
    )
    status = main(args, env)
    return Result(
        status=status, out=env.stdout.getvalue(), err=env.stderr.getvalue()
    )

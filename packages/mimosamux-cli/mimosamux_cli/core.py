"""Runs a `mimosamux` command and maps its errors to exit statuses."""

from collections.abc import Sequence

import fire
from mimosamux_daemon.context import Environment
from mimosamux_daemon.errors import InvalidInput
from mimosamux_daemon.status import ExitStatus

from mimosamux_cli.commands import Commands
from mimosamux_cli.errors import CommandError


def main(args: Sequence[str], env: Environment) -> ExitStatus:
    """Run one command and return the exit status of the process."""
    try:
        fire.Fire(Commands(env=env), command=list(args), name='mimosamux')
    except CommandError as error:
        return _report_error(env, error, error.status)
    except InvalidInput as error:
        return _report_error(env, error, ExitStatus.INVALID_INPUT)
    except OSError as error:
        return _report_error(env, error, ExitStatus.ERROR)
    except fire.core.FireExit as error:
        return ExitStatus.USAGE if error.code else ExitStatus.SUCCESS
    except KeyboardInterrupt:
        return ExitStatus.INTERRUPTED
    return ExitStatus.SUCCESS


def _report_error(
    env: Environment, error: Exception, status: ExitStatus
) -> ExitStatus:
    print(f'mimosamux: {error}', file=env.stderr)
    return status

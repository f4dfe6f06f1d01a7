"""What callers may make a process hold, decided in one place."""

from mimosamux_daemon.callers.account import (
    CallerAccount,
    CallerConnection,
    Phase,
    RequestHolding,
)
from mimosamux_daemon.callers.limits import (
    CallerLimits,
    find_descriptor_limit,
    find_limits,
)
from mimosamux_daemon.callers.record import (
    CallerRecord,
    LossCause,
)
from mimosamux_daemon.callers.turns import ParseTurns

__all__ = [
    'CallerAccount',
    'CallerConnection',
    'CallerLimits',
    'CallerRecord',
    'LossCause',
    'ParseTurns',
    'Phase',
    'RequestHolding',
    'find_descriptor_limit',
    'find_limits',
]

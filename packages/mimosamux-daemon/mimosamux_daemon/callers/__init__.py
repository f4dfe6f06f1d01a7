"""What callers may make a process hold, decided in one place."""

from mimosamux_daemon.callers.account import (
    CallerAccount,
    CallerConnection,
    Phase,
    RequestHolding,
)
from mimosamux_daemon.callers.limits import (
    BODY_TIMEOUT_S,
    LINGER_BYTES,
    LINGER_S,
    MAX_LINGERING,
    YIELDED_RETRY_S,
    CallerLimits,
    find_descriptor_limit,
    find_limits,
)
from mimosamux_daemon.callers.record import (
    CallerRecord,
    LossCause,
)
from mimosamux_daemon.callers.turns import EVENTS_A_TURN, ParseTurns

__all__ = [
    'BODY_TIMEOUT_S',
    'EVENTS_A_TURN',
    'LINGER_BYTES',
    'LINGER_S',
    'MAX_LINGERING',
    'YIELDED_RETRY_S',
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

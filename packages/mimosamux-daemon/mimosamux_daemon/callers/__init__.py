"""What callers may make a process hold, decided in one place."""

from mimosamux_daemon.callers.account import (
    AnswerHolding,
    CallerAccount,
    CallerConnection,
    Phase,
    RequestHolding,
)
from mimosamux_daemon.callers.building import (
    GATEWAY_OWN_BYTES,
    MODEL_DAEMON_OWN_BYTES,
    build_account,
    show_holdings,
)
from mimosamux_daemon.callers.limits import (
    ANSWER_PART_BYTES,
    BODY_TIMEOUT_S,
    LINGER_BYTES,
    LINGER_S,
    MAX_LINGERING,
    SMALL_BYTES,
    YIELDED_RETRY_S,
    CallerLimits,
    find_limits,
)
from mimosamux_daemon.callers.newcomers import Newcomers
from mimosamux_daemon.callers.record import (
    CallerRecord,
    LossCause,
)
from mimosamux_daemon.callers.turns import EVENTS_A_TURN, ParseTurns

__all__ = [
    'ANSWER_PART_BYTES',
    'BODY_TIMEOUT_S',
    'EVENTS_A_TURN',
    'GATEWAY_OWN_BYTES',
    'LINGER_BYTES',
    'LINGER_S',
    'MAX_LINGERING',
    'MODEL_DAEMON_OWN_BYTES',
    'SMALL_BYTES',
    'YIELDED_RETRY_S',
    'AnswerHolding',
    'CallerAccount',
    'CallerConnection',
    'CallerLimits',
    'CallerRecord',
    'LossCause',
    'Newcomers',
    'ParseTurns',
    'Phase',
    'RequestHolding',
    'build_account',
    'find_limits',
    'show_holdings',
]

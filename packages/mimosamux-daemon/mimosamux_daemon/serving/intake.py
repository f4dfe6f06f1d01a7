"""Decides which requests a model daemon takes while it stops."""

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import singledispatch

import anyio

from mimosamux_daemon.domain.outcomes import Reason, Refused
from mimosamux_daemon.domain.work import ModelRequest, ServiceCall
from mimosamux_daemon.stop_window import StopWindow

RETRY_AFTER_S = 0.0
"""Retry-After of refusals while another daemon can take the request."""
ALONE_RETRY_AFTER_S = 1.0
"""Retry-After while there is no other daemon."""


def _no_peers() -> bool:
    return False


@dataclass(kw_only=True, slots=True)
class Intake:
    """Takes requests that end, or move to a peer, before the stop does.

    Every request is taken before the stop and none once it is closed.
    """

    has_peers: Callable[[], bool] = _no_peers
    """Whether another daemon can take over requests."""
    window: StopWindow = field(default_factory=StopWindow)
    is_closed: bool = False

    @property
    def is_stopping(self) -> bool:
        """Whether the stop has begun."""
        return self.window.is_stopping

    def begin_stop(self, *, ends_at: float) -> None:
        """Begin the stop, or move the end of one that has begun.

        `ends_at` is when open requests are cut, by `anyio.current_time`;
        infinite if the stop waits for them.
        """
        self.window.begin(at=anyio.current_time(), ends_at=ends_at)

    def close(self) -> None:
        """Take nothing from now on."""
        self.is_closed = True

    def find_refusal(self, work: ModelRequest | ServiceCall) -> Refused | None:
        """Return a refusal of work that would be cut; None to take it."""
        if not self.is_stopping:
            return None
        if not self.is_closed and self._can_end(work):
            return None
        return self.refuse()

    def refuse(self) -> Refused:
        """Return the refusal that sends a caller to another daemon."""
        return Refused(
            reason=Reason.STOPPING,
            message='this daemon is stopping; use another one',
            retry_after_s=(
                RETRY_AFTER_S if self.has_peers() else ALONE_RETRY_AFTER_S
            ),
        )

    def _can_end(self, work: ModelRequest | ServiceCall) -> bool:
        if can_move(work) and self.has_peers():
            return True
        now = anyio.current_time()
        return self.window.can_finish(now=now, limit_s=work.deadline - now)


@singledispatch
def can_move(work: object) -> bool:
    """Whether a peer can go on with work that has begun."""
    raise TypeError(f'not a request: {type(work).__name__}')


@can_move.register
def _(work: ModelRequest) -> bool:
    return work.work_class.repeatable


@can_move.register
def _(work: ServiceCall) -> bool:
    return False

"""Bounded queue of requests that wait for an engine, ordered for dispatch.

Client accounts are served in turn; the requests of one account go by earliest
deadline. The order holds across calls: an account that was just served comes
after those that were not, whatever it adds to the queue in the meantime.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import singledispatch

import anyio

from mimosamux_daemon.domain.gateway import CallerGone
from mimosamux_daemon.domain.names import AccountId
from mimosamux_daemon.domain.outcomes import Refused
from mimosamux_daemon.gateway.balancing.choice import Choice
from mimosamux_daemon.gateway.jobs import Job


@dataclass(frozen=True, kw_only=True, slots=True)
class Unplaced:
    """No endpoint takes the request."""


Placement = Choice | Refused | Unplaced | CallerGone


@dataclass(kw_only=True, slots=True, eq=False)
class WaitingRequest:
    """A request in the queue; times are of the steady clock."""

    job: Job
    choose: Callable[[Job], Choice | None]
    """Chooses its endpoint by the current loads."""
    estimate: Choice
    """Latest choice for it, which is not reserved."""
    queued_at: float
    is_late: bool = False
    """Whether its latency target can no longer be met."""
    settled: anyio.Event = field(default_factory=anyio.Event)
    """Set with `placement`."""
    placement: Placement | None = None

    @property
    def account(self) -> AccountId | None:
        """Return the account that it counts for, None without one."""
        account = self.job.account
        return None if account is None else account.id

    @property
    def deadline(self) -> float:
        """Return when its first event is due; if it is late, its end."""
        if self.is_late:
            return self.job.request.received_at + self.job.limit_s
        return self.job.request.received_at + self.job.route.latency_target_s


@singledispatch
def describe_placement(placement: object, waiting: WaitingRequest) -> str:
    """Return the result of a wait, for the log and the metrics."""
    raise NotImplementedError(type(placement))


@describe_placement.register
def _(placement: Choice, waiting: WaitingRequest) -> str:
    return 'sent_late' if waiting.is_late else 'sent'


@describe_placement.register
def _(placement: Refused, waiting: WaitingRequest) -> str:
    return 'refused'


@describe_placement.register
def _(placement: Unplaced, waiting: WaitingRequest) -> str:
    return 'unplaced'


@describe_placement.register
def _(placement: None, waiting: WaitingRequest) -> str:
    """Name the result of a wait that was cancelled."""
    return 'cancelled'


class WaitingQueue:
    """The waiting requests of one service."""

    def __init__(self, *, max_waiting: int, max_per_account: int) -> None:
        self._max_waiting = max_waiting
        self._max_per_account = max_per_account
        self._by_account: dict[AccountId | None, list[WaitingRequest]] = {}
        """Requests in the order of their arrival."""
        self._turn = 0
        """Turn of the request that was served last."""
        self._next_turn_by_account: dict[AccountId | None, int] = {}

    def __len__(self) -> int:
        return sum(len(waiting) for waiting in self._by_account.values())

    def __contains__(self, request: WaitingRequest) -> bool:
        return request in self._by_account.get(request.account, ())

    def has_timely(self) -> bool:
        """Whether a request waits that can still be in time."""
        return any(
            not request.is_late
            for waiting in self._by_account.values()
            for request in waiting
        )

    def add(self, request: WaitingRequest) -> WaitingRequest | None:
        """Add a request; return the one to refuse if there is no room.

        That is the newest of the account with the most waiting requests,
        which can be the added one itself.
        """
        own = self._by_account.get(request.account, [])
        if len(own) >= self._max_per_account:
            return request
        evicted = None
        if len(self) >= self._max_waiting:
            largest = max(self._by_account.values(), key=len)
            if len(own) + 1 >= len(largest):
                return request
            evicted = largest[-1]
            self.remove(evicted)
        self._by_account.setdefault(request.account, []).append(request)
        return evicted

    def remove(self, request: WaitingRequest) -> None:
        """Remove a request that was not served, if it is still here."""
        if request not in self:
            return
        own = self._by_account[request.account]
        own.remove(request)
        if not own:
            del self._by_account[request.account]
        if not self._by_account:
            self._next_turn_by_account.clear()

    def serve(self, request: WaitingRequest) -> None:
        """Remove a request that is sent; its account's next turn is later."""
        account = request.account
        self._turn = self._first_turn(account)
        self._next_turn_by_account[account] = self._turn + 1
        self.remove(request)

    def in_order(self) -> list[WaitingRequest]:
        """Return all requests in the order in which to serve them."""
        by_turn = []
        for account, waiting in self._by_account.items():
            first = self._first_turn(account)
            by_deadline = sorted(waiting, key=lambda each: each.deadline)
            by_turn += [
                (first + index, each.deadline, each)
                for index, each in enumerate(by_deadline)
            ]
        by_turn.sort(key=lambda entry: entry[:2])
        return [request for _, _, request in by_turn]

    def _first_turn(self, account: AccountId | None) -> int:
        return max(self._next_turn_by_account.get(account, 0), self._turn)

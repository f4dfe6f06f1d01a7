"""Usage caps of client accounts, kept by all daemons together.

An account may use its rate times a window, and its burst on top, in any
span of the window's length. Each daemon adds up what it let through itself
and what its peers tell that they did. Between two digests several daemons
may let through the same tokens; the cap's tolerance is for that, and what
went over is missing afterwards.

A daemon that starts does not know what was used before. It takes that from
its peers, or from a record that is left in the platform's table while an
account uses a good part of its cap: all daemons can die at once.
"""

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from mimosamux_wire import CapUse, StateDigest

from mimosamux_daemon.domain.names import AccountId, DaemonId
from mimosamux_daemon.domain.routes import AccountEntry, UsageCap
from mimosamux_daemon.gateway.peer_states import PeerState, PeerStates

STEP_S = 0.25
"""Time over which uses are added up to one entry; as long as the time
between two digests, so a finer step would not be more exact."""
RECORDED_SHARE = 0.3
"""Part of a cap from which on the use of an account is recorded."""
RECORD_STEP_S = 2.0
"""Time over which uses are added up to one entry of the record."""
UNSEEN_SHARE = 0.1
"""Part of a cap that a daemon which starts takes as used besides what the
record shows, which may be half a second old."""
TOLERANCE_USED = 0.5
"""Part of what may be used on top of a cap that is let through; the rest
is for what daemons let through unseen by each other, a fourth of it with
nine daemons before an account that asks for seven times its cap."""
LEAST_WAIT_S = 0.05


@dataclass(frozen=True, kw_only=True, slots=True)
class CapRules:
    """How exactly caps have to be kept."""

    window_s: float
    """Span of time over which uses are counted."""
    overage: float
    """Share of a cap that may be used on top of it."""
    tolerance: float
    """Amount that may be used on top of that."""


@dataclass(kw_only=True, slots=True)
class _Account:
    """What was used in the last window, by all daemons."""

    entries: deque[tuple[float, float]] = field(default_factory=deque)
    """Time at which each entry began, and the amount used in it."""
    used: float = 0.0
    own: float = 0.0
    """What this daemon let through since it started."""
    told_by_peer: dict[DaemonId, tuple[int, int]] = field(default_factory=dict)
    limit: float = math.inf
    assumed: float = 0.0
    """What was used before this daemon started, as a peer told."""


UseRecord = dict[AccountId, list[tuple[float, float]]]
"""Uses of each account: how long ago, in seconds, and how much."""


class UsageCaps:
    """Lets requests through as far as the caps of their accounts allow."""

    def __init__(
        self,
        *,
        states: PeerStates,
        rules: CapRules,
        clock: Callable[[], float],
    ) -> None:
        self._states = states
        self._rules = rules
        self._window_s = rules.window_s
        self._clock = clock
        self._started_at = clock()
        self._by_id: dict[AccountId, _Account] = {}
        self._is_informed = False
        """Whether the record or a peer told what was used before."""

    def acquire(self, account: AccountEntry, cost: float) -> float | None:
        """Count a use that fits under the account's cap; None if it does.

        Otherwise the result is the time until it may be tried again.
        """
        cap = account.cap
        if cap is None:
            return None
        state = self._state_of(account.id)
        state.limit = self._limit(cap)
        self._forget_old(state)
        if self._used(state) + cost > state.limit:
            return max(self._wait_s(state, cost), LEAST_WAIT_S)
        self._add(state, cost)
        state.own += cost
        return None

    def give_back(self, account: AccountEntry, cost: float) -> None:
        """Undo an `acquire`: the request has not run."""
        state = self._by_id.get(account.id)
        if state is not None and account.cap is not None:
            self._add(state, -cost)
            state.own -= cost

    def record(self) -> UseRecord:
        """Return recent uses of accounts that use much of their cap."""
        now = self._clock()
        record: UseRecord = {}
        for id_, state in self._by_id.items():
            self._forget_old(state)
            if state.used <= RECORDED_SHARE * state.limit:
                continue
            by_age: dict[float, float] = {}
            for began_at, amount in state.entries:
                # Rounded down: what counts as newer counts for longer.
                steps = (now - began_at) // RECORD_STEP_S
                age_s = steps * RECORD_STEP_S
                by_age[age_s] = by_age.get(age_s, 0.0) + amount
            record[id_] = sorted(by_age.items(), reverse=True)
        return record

    def take_record(self, record: UseRecord, *, age_s: float) -> None:
        """Take the uses of before this daemon started."""
        if self._is_informed:
            return
        self._is_informed = True
        for id_, uses in record.items():
            state = self._state_of(id_)
            for use_age_s, amount in uses:
                began_at = self._clock() - use_age_s - age_s
                state.entries.append((began_at, amount))
                state.used += amount
            state.entries = deque(sorted(state.entries))
            self._forget_old(state)

    def write(self, digest: StateDigest) -> None:
        """Tell what was let through here, and what is known in all."""
        for id_, state in self._by_id.items():
            self._forget_old(state)
            digest.caps.append(
                CapUse(
                    account=id_,
                    used=int(state.own),
                    recent=int(min(self._used(state), 1e15)),
                )
            )

    def take(self, peer: PeerState, digest: StateDigest) -> None:
        """Add what a peer has let through since it told last."""
        for use in digest.caps:
            state = self._state_of(AccountId(use.account))
            told = state.told_by_peer.get(peer.place.id)
            state.told_by_peer[peer.place.id] = (peer.lifetime, use.used)
            if told is not None:
                before = told[1] if told[0] == peer.lifetime else 0
                self._add(state, use.used - before)
            elif not self._is_informed:
                state.assumed = max(state.assumed, use.recent)
        self._is_informed = True

    def _state_of(self, id_: AccountId) -> _Account:
        state = self._by_id.get(id_)
        if state is None:
            state = self._by_id[id_] = _Account()
        return state

    def _used(self, state: _Account) -> float:
        if self._clock() > self._started_at + self._window_s:
            return state.used
        unseen = UNSEEN_SHARE * state.limit
        return state.used + max(state.assumed, unseen)

    def _limit(self, cap: UsageCap) -> float:
        """Return what all daemons that can talk may let through.

        Peers that are out of touch may let requests through unseen, so
        their part of the cap is left to them.
        """
        reachable = 1 + len(self._states.fresh())
        expected = max(self._states.expected(), reachable)
        amount = cap.rate_per_s * self._window_s + cap.burst
        amount *= 1 + TOLERANCE_USED * self._rules.overage
        amount += TOLERANCE_USED * self._rules.tolerance
        return amount * reachable / expected

    def _wait_s(self, state: _Account, cost: float) -> float:
        """Return the time until enough of what was used is past."""
        now = self._clock()
        missing = self._used(state) + cost - state.limit
        for began_at, amount in state.entries:
            missing -= amount
            if missing <= 0:
                return began_at + self._window_s - now
        return self._window_s

    def _add(self, state: _Account, amount: float) -> None:
        now = self._clock()
        state.used += amount
        if state.entries and now < state.entries[-1][0] + STEP_S:
            began_at, before = state.entries[-1]
            state.entries[-1] = (began_at, before + amount)
        else:
            state.entries.append((now, amount))

    def _forget_old(self, state: _Account) -> None:
        # An entry counts until its last moment is a window ago.
        oldest = self._clock() - self._window_s - STEP_S
        while state.entries and state.entries[0][0] <= oldest:
            _, amount = state.entries.popleft()
            state.used -= amount

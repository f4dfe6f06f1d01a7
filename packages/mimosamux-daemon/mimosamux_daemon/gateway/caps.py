"""Usage caps of client accounts, kept by all daemons together.

An account may use its rate times a window, and its burst on top, in any
span of the window's length. Each daemon adds up what it let through itself
and what its peers tell that they did.

What daemons let through before they hear of each other must not add up to
more than is left. So what a daemon has let through and not all peers have
confirmed to know is at most an equal part of what is left as far as it
knows. All of them together then stay within the cap, wherever the requests
come in: what everybody knows of is taken off for everybody, and the rest is
at most one part of what remains for each.

A daemon that starts does not know what was used before. It takes that from
its peers, or from a record that is left in the platform's table: all
daemons can die at once.
"""

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from mimosamux_wire import CapUse, StateDigest

from mimosamux_daemon.domain.names import AccountId, DaemonId
from mimosamux_daemon.domain.routes import AccountEntry, UsageCap
from mimosamux_daemon.gateway.loan_book import LoanBook, LoanId
from mimosamux_daemon.gateway.peer_states import PeerState, PeerStates

STEP_S = 0.1
"""Time over which uses are added up to one entry."""
RECORDED_SHARE = 0.05
"""Part of a cap from which on the use of an account is recorded."""
RECORD_STEP_S = 2.0
"""Time over which uses are added up to one entry of the record."""
UNSEEN_SHARE = 0.85
"""Part of what was left by the record that may have been used after it was
written: all daemons together let through no more than that in a second."""
UNSEEN_S = 2.0
"""Use at the account's rate that is taken as unseen at most. The record is
written whenever a third of a second's worth was used, so more can only be
missing in the first moments of a flood, and is within the tolerance."""
UNTOLD_S = 0.5
"""The same for what a single peer let through after its last digest."""
TOLERANCE_USED = 0.5
"""Part of what may be used on top of a cap that is let through; the rest
covers what reaches endpoints later than it was counted."""
LEAST_WAIT_S = 0.05
CONFIRM_S = 0.3
"""Time in which peers confirm what they are told: after it, there is
likely room again. Asked to come back after 0.1 s, callers were refused
three times on average."""
HURRY_SHARE = 0.25
"""Use of a daemon's part from which it tells its peers sooner, so that they
confirm sooner and the rest of the cap is not held back."""
KEPT_SHARE = 0.25
"""Share of its part that a daemon does not lend: the next request that comes
to it would have to borrow at once."""
UNINFORMED_S = 1.0
"""Time after a start for which the record and the peers are waited for."""


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
class _Uses:
    """Amounts in the order in which they were used."""

    total: float = 0.0
    passed: float = 0.0
    """All that was ever added."""
    entries: deque[tuple[float, float]] = field(default_factory=deque)
    """Time at which each entry began, and the amount used in it."""

    def add(self, now: float, amount: float) -> None:
        self.total += amount
        self.passed += amount
        if self.entries and now < self.entries[-1][0] + STEP_S:
            began_at, before = self.entries[-1]
            self.entries[-1] = (began_at, before + amount)
        else:
            self.entries.append((now, amount))

    def insert(self, began_at: float, amount: float) -> None:
        self.total += amount
        self.entries = deque(sorted([*self.entries, (began_at, amount)]))

    def forget_before(self, oldest: float) -> None:
        # An entry counts until its last moment is past.
        while self.entries and self.entries[0][0] <= oldest - STEP_S:
            _, amount = self.entries.popleft()
            self.total -= amount


@dataclass(kw_only=True, slots=True)
class _Unconfirmed:
    """Own uses that not all peers in touch have confirmed to know."""

    total: float = 0.0
    _entries: deque[tuple[int, float, float]] = field(default_factory=deque)
    """Number of the digest that tells of each, when it was, and how much."""

    def add(self, sequence: int, now: float, amount: float) -> None:
        self.total += amount
        self._entries.append((sequence, now, amount))

    def forget(self, confirmed: int, oldest: float) -> None:
        """Drop what peers know, and what has left the window besides.

        A peer that hears nothing from here may be heard itself; without
        the second rule, what it never confirms would count for good.
        """
        entries = self._entries
        while entries and (
            entries[0][0] <= confirmed or entries[0][1] <= oldest
        ):
            self.total -= entries.popleft()[2]
        if not entries:
            # Sums of many floats do not come back to nought by themselves.
            self.total = 0.0


@dataclass(kw_only=True, slots=True)
class _Account:
    """What an account used in the last window."""

    uses: _Uses = field(default_factory=_Uses)
    """By all daemons, as far as known."""
    recent: _Unconfirmed = field(default_factory=_Unconfirmed)
    """By this daemon, of which not all peers may have heard."""
    own: float = 0.0
    """By this daemon since it started."""
    told_by_peer: dict[DaemonId, tuple[int, int]] = field(default_factory=dict)
    known_by_peer: dict[DaemonId, int] = field(default_factory=dict)
    """By all daemons in the last window, as each peer last told."""
    limit: float = math.inf
    rate: float = 0.0
    """What its cap allows in a second."""
    noted: float = 0.0
    """What all daemons let through by the last record."""
    before: float = 0.0
    """What was used before this daemon started, as a peer told."""
    recorded: float = 0.0
    """What the record tells of that."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CapRefusal:
    """Why a use is not let through now."""

    retry_after_s: float
    is_unconfirmed: bool = False
    """Whether there is room that peers have only to confirm."""
    missing_parts: float = 0.0
    """Parts of the cap that would be enough if others lent them."""


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
        self._lifetimes_by_peer: dict[DaemonId, int] = {}
        """Process of each peer that a digest was last taken from."""
        self._is_informed = False
        """Whether the record or a peer told what was used before."""
        self._has_record = False
        self.loans = LoanBook(window_s=rules.window_s, clock=clock)

    def acquire(self, account: AccountEntry, cost: float) -> CapRefusal | None:
        """Count a use that fits under the account's cap; None if it does."""
        cap = account.cap
        if cap is None:
            return None
        if self._is_uninformed():
            return CapRefusal(retry_after_s=LEAST_WAIT_S, is_unconfirmed=True)
        state = self._refresh(account.id)
        state.limit, state.rate = self._limit(cap), cap.rate_per_s
        left = state.limit - self._used(state)
        if cost > left:
            wait_s = self._wait_s(state, cost - left)
            return CapRefusal(retry_after_s=max(wait_s, LEAST_WAIT_S))
        part = self._part(state)
        if state.recent.total + cost > HURRY_SHARE * part:
            self._states.expedite()
        missing = self._missing_parts(account.id, state, part, cost)
        if missing > 0:
            return CapRefusal(
                retry_after_s=CONFIRM_S,
                is_unconfirmed=True,
                missing_parts=missing,
            )
        self._count(state, cost)
        return None

    def lend(self, account: AccountId, id_: LoanId, wanted: float) -> float:
        """Leave a share of the own part to a peer; return how much."""
        if self._is_uninformed() or account in self.loans.accounts():
            return 0.0
        state = self._refresh(account)
        taken = self._parts_used(state) + self.loans.lent(account)
        share = min(wanted, 1 - KEPT_SHARE - taken)
        if share <= 0:
            return 0.0
        self.loans.lend(account, id_, share)
        return share

    def settle_loans(self) -> None:
        """Find out which borrowed shares are not needed any more."""
        needed = {}
        for account in self.loans.accounts():
            state = self._refresh(account)
            taken = self._parts_used(state) + self.loans.lent(account)
            needed[account] = taken - 1
        self.loans.settle(needed)

    def _is_uninformed(self) -> bool:
        """Whether it is still open what was used before this start."""
        is_early = self._clock() < self._started_at + UNINFORMED_S
        return is_early and not self._is_informed

    def _parts_used(self, state: _Account) -> float:
        """Return how many parts the own unconfirmed uses take up."""
        return state.recent.total / max(self._part(state), 1.0)

    def _part(self, state: _Account) -> float:
        """Return what each daemon may use before its peers know of it."""
        # As if nothing of the own recent uses had been heard of yet.
        left = max(state.limit - self._used(state), 0.0)
        return (left + state.recent.total) / self._reachable()

    def _missing_parts(
        self, id_: AccountId, state: _Account, part: float, cost: float
    ) -> float:
        """Return how many more parts a use takes than there are here."""
        own = 1 - self.loans.lent(id_)
        taken = state.recent.total + cost
        if taken <= (own + self.loans.borrowed(id_)) * part:
            return 0.0
        if self._states.is_flat and own > 0 and not state.recent.total:
            # A few daemons with one long prompt each stay within what the
            # tolerance leaves; two hundred would not.
            return 0.0
        return taken / max(part, 1.0) - own - self.loans.borrowed(id_)

    @property
    def confirmed(self) -> anyio.Event:
        """Set as soon as a peer confirms more than it did."""
        return self._states.confirmed

    def describe(self, account: AccountEntry) -> str:
        """Return what the last decision on an account rested on."""
        state = self._refresh(account.id)
        return (
            f'used {self._used(state):.0f} of {state.limit:.0f}, '
            f'unconfirmed here {state.recent.total:.0f}, '
            f'daemons {self._reachable()} of {self._states.expected()}'
        )

    def give_back(self, account: AccountEntry, cost: float) -> None:
        """Undo an `acquire`: the request has not run."""
        state = self._by_id.get(account.id)
        if state is not None and account.cap is not None:
            self._count(state, -cost)

    def _count(self, state: _Account, amount: float) -> None:
        now = self._clock()
        state.uses.add(now, amount)
        state.recent.add(self._states.next_sequence, now, amount)
        state.own += amount

    def has_moved(self, share: float) -> bool:
        """Whether an account has used a good deal since the last record.

        `share` is the part of what its cap allows in a second.
        """
        return any(
            state.uses.passed - state.noted > share * state.rate
            for state in self._by_id.values()
        )

    def record(self) -> UseRecord:
        """Return recent uses of accounts that use some of their cap."""
        now = self._clock()
        record: UseRecord = {}
        for id_, state in self._refresh_all().items():
            state.noted = state.uses.passed
            if state.uses.total <= RECORDED_SHARE * state.limit:
                continue
            by_age: dict[float, float] = {}
            for began_at, amount in state.uses.entries:
                # Rounded down: what counts as newer counts for longer.
                steps = (now - began_at) // RECORD_STEP_S
                age_s = steps * RECORD_STEP_S
                by_age[age_s] = by_age.get(age_s, 0.0) + amount
            record[id_] = sorted(by_age.items(), reverse=True)
        return record

    def take_record(
        self, record: UseRecord | None, *, age_s: float = 0.0
    ) -> None:
        """Take the uses of before this daemon started; None: there is none."""
        self._is_informed = True
        if record is None:
            return
        self._has_record = True
        now = self._clock()
        for id_, uses in record.items():
            state = self._by_id.setdefault(id_, _Account())
            for ago_s, used in uses:
                state.uses.insert(now - ago_s - age_s, used)
                state.recorded += used

    def write(self, digest: StateDigest) -> None:
        """Tell what was let through here, and what is known in all."""
        for id_, state in self._refresh_all().items():
            digest.caps.append(
                CapUse(
                    account=id_,
                    used=int(state.own),
                    recent=int(state.uses.total),
                )
            )

    def take(self, peer: PeerState, digest: StateDigest) -> None:
        """Add what a peer has let through since it told last."""
        now, id_ = self._clock(), peer.place.id
        is_known = self._lifetimes_by_peer.get(id_) == peer.incarnation
        self._lifetimes_by_peer[id_] = peer.incarnation
        for use in digest.caps:
            state = self._by_id.setdefault(AccountId(use.account), _Account())
            told = state.told_by_peer.get(id_)
            state.known_by_peer[id_] = use.recent
            state.told_by_peer[id_] = (peer.incarnation, use.used)
            if told is not None and told[0] != peer.incarnation:
                state.uses.add(now, use.used + self._untold(state))
            elif told is not None:
                state.uses.add(now, use.used - told[1])
            elif is_known:
                # Its earlier digests had nothing of this account, so all
                # of it is new. Taken as where to count from, the first
                # requests at each peer would be left out for good.
                state.uses.add(now, use.used)
            elif now < self._started_at + UNINFORMED_S:
                state.before = max(state.before, use.recent)
            else:
                # A peer that is new to this daemon may have run for long.
                state.uses.add(now, min(use.used, use.recent))
        self._is_informed = True

    def _untold(self, state: _Account) -> float:
        """Return what a peer may have let through before it died.

        Its last digest can be as old as the time between two, and nobody
        will ever tell what it let through after that.
        """
        if math.isinf(state.limit):
            return 0.0
        left = max(state.limit - self._used(state), 0.0)
        return min(
            UNSEEN_SHARE * left / self._reachable(), UNTOLD_S * state.rate
        )

    def _refresh(self, id_: AccountId) -> _Account:
        state = self._by_id.setdefault(id_, _Account())
        self._forget_old(state, self._states.acked_by_all())
        return state

    def _refresh_all(self) -> dict[AccountId, _Account]:
        confirmed = self._states.acked_by_all()
        for state in self._by_id.values():
            self._forget_old(state, confirmed)
        return self._by_id

    def _forget_old(self, state: _Account, confirmed: int) -> None:
        oldest = self._clock() - self._window_s
        state.uses.forget_before(oldest)
        state.recent.forget(confirmed, oldest)

    def _used(self, state: _Account) -> float:
        used = max(state.uses.total, self._known_to_peers(state))
        if self._clock() > self._started_at + self._window_s:
            return used
        # The record may be older than what a peer knew, and a peer may
        # have started lately itself.
        used += max(state.before - state.recorded, 0.0)
        if self._has_record:
            left = max(state.limit - used, 0.0)
            used += min(UNSEEN_SHARE * left, UNSEEN_S * state.rate)
        return used

    def _known_to_peers(self, state: _Account) -> float:
        """Return the most that a peer in touch knows of, in a partition.

        Two daemons that cannot talk may both talk to a third. Each would
        leave the other's part alone and still use what the other has used
        of the rest; the third one knows of both. While all are in touch
        this adds nothing but delay, and is left out.
        """
        fresh = self._states.fresh()
        if 1 + len(fresh) >= self._states.expected():
            return 0.0
        known = (state.known_by_peer.get(peer.place.id, 0) for peer in fresh)
        return max(known, default=0)

    def _reachable(self) -> int:
        """Return how many daemons hear of what this one lets through."""
        return 1 + len(self._states.fresh())

    def _limit(self, cap: UsageCap) -> float:
        """Return what all daemons that can talk may let through.

        Peers that are out of touch may let requests through unseen, so
        their part of the cap is left to them.
        """
        reachable = self._reachable()
        expected = max(self._states.expected(), reachable)
        amount = cap.rate_per_s * self._window_s + cap.burst
        amount *= 1 + TOLERANCE_USED * self._rules.overage
        amount += TOLERANCE_USED * self._rules.tolerance
        return amount * reachable / expected

    def _wait_s(self, state: _Account, missing: float) -> float:
        """Return the time until enough of what was used is past."""
        now = self._clock()
        for began_at, amount in state.uses.entries:
            missing -= amount
            if missing <= 0:
                return began_at + self._window_s - now
        return self._window_s

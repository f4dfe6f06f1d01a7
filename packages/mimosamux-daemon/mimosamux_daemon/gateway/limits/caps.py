"""Usage caps of client accounts, enforced jointly by all daemons.

An account may use `rate * window + burst` in any sliding window, counted in
requests or in tokens. Each daemon counts the use that it admits itself and the
use that its peers report in their digests.

Use that several daemons admit before they learn of each other must not add up
to more than the cap. A daemon therefore limits the use that it has admitted
and that not all peers have acknowledged. The limit is its allotment: an equal
share of the remaining cap, as far as the daemon knows. All daemons together
then stay within the cap, whichever of them receive the requests: everybody
subtracts acknowledged use from the cap, and each daemon adds at most one
allotment to it.

A daemon that starts does not know the use of the last window. It takes it from
its peers, or from a record in the platform's table, because all daemons can
die at once.
"""

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from mimosamux_wire import CapUse, StateDigest

from mimosamux_daemon.domain.names import AccountId, DaemonId
from mimosamux_daemon.domain.routes import AccountEntry, UsageCap
from mimosamux_daemon.gateway.exchange.peer_states import PeerState, PeerStates
from mimosamux_daemon.gateway.limits.loan_book import LoanBook, LoanId
from mimosamux_daemon.logs import get_log

log = get_log('caps')

BUCKET_S = 0.1
"""Length of the time buckets in which use is counted."""
MAX_USE = 2**53
"""Largest use of a peer that counts; the sum of all fits into 64 bits."""
RECORDED_SHARE = 0.05
"""Fraction of a cap above which the use of an account is recorded."""
RECORD_BUCKET_S = 2.0
"""Length of the record's time buckets."""
UNRECORDED_SHARE = 0.85
"""Fraction of the remaining cap, as of the record, that may have been used
after the record was written: all daemons together admit no more than that in a
second."""
UNRECORDED_S = 2.0
"""Upper bound on the use that a record may miss, in seconds at the account's
rate. The record is written after each third of a second's worth of use, so
more can be missing only in the first moments of a burst, and that is within
the tolerance."""
UNREPORTED_S = 0.5
"""Upper bound on the use that a peer may have admitted after its last digest,
in seconds at the account's rate."""
TOLERANCE_USED = 0.5
"""Fraction of the allowed overage that is admitted; the rest covers requests
that reach endpoints later than they were counted."""
MIN_RETRY_S = 0.05
ACK_RETRY_S = 0.3
"""Retry delay for a use that waits for acknowledgements. Peers acknowledge
within this time, which is likely to make room again. With a delay of 0.1 s,
callers were refused three times on average."""
EARLY_DIGEST_SHARE = 0.25
"""Fraction of its allotment above which a daemon sends its next digest early,
so that peers acknowledge earlier and the rest of the cap is not held back."""
UNLENT_SHARE = 0.25
"""Fraction of its allotment that a daemon does not lend: otherwise the next
request that it receives would have to borrow at once."""
HISTORY_WAIT_S = 1.0
"""Time after its start for which a daemon waits for the record or a peer to
report earlier use."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CapRules:
    """Window and tolerance with which caps are enforced."""

    window_s: float
    """Length of the sliding window."""
    overage: float
    """Fraction of a cap that may be used in excess of it."""
    tolerance: float
    """Absolute amount that may be used in excess of that."""


@dataclass(kw_only=True, slots=True)
class _WindowUsage:
    """Use in a sliding window, in time buckets."""

    total: float = 0.0
    cumulative: float = 0.0
    """Sum of all uses ever added, expired ones included."""
    entries: deque[tuple[float, float]] = field(default_factory=deque)
    """Start and amount of each time bucket, oldest first."""

    def add(self, now: float, amount: float) -> None:
        self.total += amount
        self.cumulative += amount
        if self.entries and now < self.entries[-1][0] + BUCKET_S:
            began_at, previous = self.entries[-1]
            self.entries[-1] = (began_at, previous + amount)
        else:
            self.entries.append((now, amount))

    def insert(self, began_at: float, amount: float) -> None:
        self.total += amount
        self.entries = deque(sorted([*self.entries, (began_at, amount)]))

    def expire(self, oldest: float) -> None:
        # A bucket counts until its end has left the window.
        while self.entries and self.entries[0][0] <= oldest - BUCKET_S:
            _, amount = self.entries.popleft()
            self.total -= amount


@dataclass(kw_only=True, slots=True)
class _UnackedUsage:
    """Own use that not all reachable peers have acknowledged."""

    total: float = 0.0
    _entries: deque[tuple[int, float, float]] = field(default_factory=deque)
    """Sequence number of the digest that reports the use, time and amount."""

    def add(self, sequence: int, now: float, amount: float) -> None:
        self.total += amount
        self._entries.append((sequence, now, amount))

    def forget(self, acked: int, oldest: float) -> None:
        """Drop use that all peers have acknowledged or that has expired.

        A peer that receives nothing from this daemon may still be heard by it.
        Without expiry, use that such a peer never acknowledges would count
        forever.
        """
        entries = self._entries
        while entries and (entries[0][0] <= acked or entries[0][1] <= oldest):
            self.total -= entries.popleft()[2]
        if not entries:
            # Rounding errors would otherwise leave a small remainder.
            self.total = 0.0


@dataclass(kw_only=True, slots=True)
class _AccountUsage:
    """The use of one account, as far as this daemon knows."""

    uses: _WindowUsage = field(default_factory=_WindowUsage)
    """Use by all daemons in the last window."""
    unacked: _UnackedUsage = field(default_factory=_UnackedUsage)
    """Use by this daemon that not all peers have acknowledged."""
    own_total: float = 0.0
    """Use by this daemon since it started, reported in its digests."""
    counter_by_peer: dict[DaemonId, tuple[int, int]] = field(
        default_factory=dict
    )
    """Incarnation and use counter in the last digest of each peer."""
    window_total_by_peer: dict[DaemonId, int] = field(default_factory=dict)
    """Use by all daemons in the last window, as last reported by each peer."""
    limit: float = math.inf
    rate: float = 0.0
    """Rate of the cap per second."""
    cumulative_at_record: float = 0.0
    """`uses.cumulative` when the last record was written."""
    used_before_start: float = 0.0
    """Use before this daemon started, as reported by a peer."""
    recorded_before_start: float = 0.0
    """Use before this daemon started, as read from the record."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CapRefusal:
    """When to retry a use that the cap does not admit, and what it lacks."""

    retry_after_s: float
    awaits_acks: bool = False
    """Whether the cap has room that is usable once peers acknowledge."""
    missing_shares: float = 0.0
    """Allotments to borrow from peers to admit the use."""


UsageRecord = dict[AccountId, list[tuple[float, float]]]
"""Use of each account as pairs of age in seconds and amount."""


class UsageCaps:
    """Admits requests within the usage caps of their accounts."""

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
        self._by_id: dict[AccountId, _AccountUsage] = {}
        self._incarnation_by_peer: dict[DaemonId, int] = {}
        """Incarnation of each peer as of its last digest."""
        self._has_history = False
        """Whether the record or a peer has reported the use before the
        start."""
        self._has_loaded_record = False
        self.loans = LoanBook(window_s=rules.window_s, clock=clock)

    def acquire(self, account: AccountEntry, cost: float) -> CapRefusal | None:
        """Count a use and return None if the account's cap admits it."""
        cap = account.cap
        if cap is None:
            return None
        if self._lacks_history():
            return CapRefusal(retry_after_s=MIN_RETRY_S, awaits_acks=True)
        state = self._refresh(account.id)
        state.limit, state.rate = self._limit(cap), cap.rate_per_s
        remaining = state.limit - self._used(state)
        if cost > remaining:
            wait_s = self._wait_s(state, cost - remaining)
            return CapRefusal(retry_after_s=max(wait_s, MIN_RETRY_S))
        allotment = self._allotment(state)
        if state.unacked.total + cost > EARLY_DIGEST_SHARE * allotment:
            self._states.expedite()
        missing = self._missing_shares(account.id, state, allotment, cost)
        if missing > 0:
            return CapRefusal(
                retry_after_s=ACK_RETRY_S,
                awaits_acks=True,
                missing_shares=missing,
            )
        self._count(state, cost)
        return None

    def lend(self, account: AccountId, id_: LoanId, wanted: float) -> float:
        """Lend a share of this daemon's allotment and return its size."""
        if self._lacks_history() or account in self.loans.borrowing_accounts():
            return 0.0
        state = self._refresh(account)
        taken = self._shares_used(state) + self.loans.lent_share(account)
        share = min(wanted, 1 - UNLENT_SHARE - taken)
        if share <= 0:
            return 0.0
        self.loans.lend(account, id_, share)
        return share

    def mark_unneeded_loans(self) -> None:
        """Have the loan book release the borrowed shares not in use."""
        needed = {}
        for account in self.loans.borrowing_accounts():
            state = self._refresh(account)
            taken = self._shares_used(state) + self.loans.lent_share(account)
            needed[account] = taken - 1
        self.loans.mark_unneeded(needed)

    def _lacks_history(self) -> bool:
        """Whether this daemon still waits to learn of use before its start."""
        is_starting = self._clock() < self._started_at + HISTORY_WAIT_S
        return is_starting and not self._has_history

    def _shares_used(self, state: _AccountUsage) -> float:
        """Return the own unacknowledged use as a multiple of the allotment."""
        return state.unacked.total / max(self._allotment(state), 1.0)

    def _allotment(self, state: _AccountUsage) -> float:
        """Return the use that each daemon may admit unacknowledged."""
        # The own unacknowledged use is added back, as if no peer knew of it.
        remaining = max(state.limit - self._used(state), 0.0)
        return (remaining + state.unacked.total) / self._reachable()

    def _missing_shares(
        self,
        id_: AccountId,
        state: _AccountUsage,
        allotment: float,
        cost: float,
    ) -> float:
        """Return the allotments that a use needs beyond the available ones."""
        own_share = 1 - self.loans.lent_share(id_)
        taken = state.unacked.total + cost
        if taken <= (own_share + self.loans.borrowed_share(id_)) * allotment:
            return 0.0
        if self._states.is_flat and own_share > 0 and not state.unacked.total:
            # In a small site, one long prompt per daemon stays within the
            # tolerance; with two hundred daemons it would not.
            return 0.0
        return (
            taken / max(allotment, 1.0)
            - own_share
            - self.loans.borrowed_share(id_)
        )

    @property
    def ack_received(self) -> anyio.Event:
        """Set, and replaced by a new one, when a peer acknowledges more."""
        return self._states.ack_received

    def describe(self, account: AccountEntry) -> str:
        """Return the figures behind an account's last decision."""
        state = self._refresh(account.id)
        return (
            f'used {self._used(state):.0f} of {state.limit:.0f}, '
            f'unconfirmed here {state.unacked.total:.0f}, '
            f'daemons {self._reachable()} of {self._states.max_serving()}'
        )

    def refund(self, account: AccountEntry, cost: float) -> None:
        """Refund the cost of an `acquire` whose request has not run."""
        state = self._by_id.get(account.id)
        if state is not None and account.cap is not None:
            self._count(state, -cost)

    def _count(self, state: _AccountUsage, amount: float) -> None:
        now = self._clock()
        state.uses.add(now, amount)
        state.unacked.add(self._states.next_sequence, now, amount)
        state.own_total += amount

    def is_record_stale(self, share: float) -> bool:
        """Whether an account has used much since the last record.

        `share` is the threshold as a fraction of the cap's rate per second.
        """
        return any(
            state.uses.cumulative - state.cumulative_at_record
            > share * state.rate
            for state in self._by_id.values()
        )

    def export_record(self) -> UsageRecord:
        """Return the use of accounts above `RECORDED_SHARE` of their caps."""
        now = self._clock()
        record: UsageRecord = {}
        for id_, state in self._refresh_all().items():
            state.cumulative_at_record = state.uses.cumulative
            if state.uses.total <= RECORDED_SHARE * state.limit:
                continue
            by_age: dict[float, float] = {}
            for began_at, amount in state.uses.entries:
                # Rounding down makes use count as newer, and so for longer.
                buckets = (now - began_at) // RECORD_BUCKET_S
                age_s = buckets * RECORD_BUCKET_S
                by_age[age_s] = by_age.get(age_s, 0.0) + amount
            record[id_] = sorted(by_age.items(), reverse=True)
        return record

    def load_record(
        self, record: UsageRecord | None, *, age_s: float = 0.0
    ) -> None:
        """Load the use before this daemon started, None if unrecorded."""
        self._has_history = True
        if record is None:
            return
        self._has_loaded_record = True
        now = self._clock()
        for id_, uses in record.items():
            state = self._account(id_)
            for ago_s, used in uses:
                state.uses.insert(now - ago_s - age_s, used)
                state.recorded_before_start += used

    def write(self, digest: StateDigest) -> None:
        """Add this daemon's counter and known window total per account."""
        for id_, state in self._refresh_all().items():
            digest.caps.append(
                CapUse(
                    account=id_,
                    used=int(state.own_total),
                    recent=int(state.uses.total),
                )
            )

    def take(self, peer: PeerState, digest: StateDigest) -> None:
        """Count the use that a peer has admitted since its previous digest."""
        now, id_ = self._clock(), peer.place.id
        is_same_incarnation = (
            self._incarnation_by_peer.get(id_) == peer.incarnation
        )
        self._incarnation_by_peer[id_] = peer.incarnation
        for use in digest.caps:
            if not (0 <= use.used <= MAX_USE and 0 <= use.recent <= MAX_USE):
                log.warning('use_unreadable', peer=id_, account=use.account)
                continue
            state = self._account(AccountId(use.account))
            last_counter = state.counter_by_peer.get(id_)
            state.window_total_by_peer[id_] = use.recent
            state.counter_by_peer[id_] = (peer.incarnation, use.used)
            if (
                last_counter is not None
                and last_counter[0] != peer.incarnation
            ):
                state.uses.add(
                    now, use.used + self._estimate_unreported(state)
                )
            elif last_counter is not None:
                if use.used != last_counter[1]:
                    state.uses.add(now, use.used - last_counter[1])
            elif is_same_incarnation:
                # The earlier digests of this incarnation did not list the
                # account, so all of its use is new. If this digest served only
                # as the baseline, the first requests at each peer would never
                # be counted.
                state.uses.add(now, use.used)
            elif now < self._started_at + HISTORY_WAIT_S:
                state.used_before_start = max(
                    state.used_before_start, use.recent
                )
            else:
                # A peer that is new to this daemon may have run for a long
                # time, so its counter may include use older than the window.
                state.uses.add(now, min(use.used, use.recent))
        self._has_history = True

    def _estimate_unreported(self, state: _AccountUsage) -> float:
        """Estimate the use that a peer admitted before it died, unreported.

        Its last digest can be as old as the digest interval, and nobody ever
        reports the use that it admitted after that.
        """
        if math.isinf(state.limit):
            return 0.0
        remaining = max(state.limit - self._used(state), 0.0)
        return min(
            UNRECORDED_SHARE * remaining / self._reachable(),
            UNREPORTED_S * state.rate,
        )

    def _refresh(self, id_: AccountId) -> _AccountUsage:
        state = self._account(id_)
        self._expire(state, self._states.acked_by_all())
        return state

    def _account(self, id_: AccountId) -> _AccountUsage:
        state = self._by_id.get(id_)
        if state is None:
            state = self._by_id[id_] = _AccountUsage()
        return state

    def _refresh_all(self) -> dict[AccountId, _AccountUsage]:
        acked = self._states.acked_by_all()
        for state in self._by_id.values():
            self._expire(state, acked)
        return self._by_id

    def _expire(self, state: _AccountUsage, acked: int) -> None:
        oldest = self._clock() - self._window_s
        state.uses.expire(oldest)
        state.unacked.forget(acked, oldest)

    def _used(self, state: _AccountUsage) -> float:
        used = max(state.uses.total, self._used_by_peer_reports(state))
        if self._clock() > self._started_at + self._window_s:
            return used
        # The record may be older than a peer's report, and the peer may have
        # started recently itself.
        used += max(state.used_before_start - state.recorded_before_start, 0.0)
        if self._has_loaded_record:
            remaining = max(state.limit - used, 0.0)
            used += min(
                UNRECORDED_SHARE * remaining, UNRECORDED_S * state.rate
            )
        return used

    def _used_by_peer_reports(self, state: _AccountUsage) -> float:
        """Return the largest window total that a reachable peer reports.

        During a partition, two daemons that cannot reach each other may both
        reach a third. Each would leave the allotment of the other alone, but
        still use the part of the rest that the other has used; the third
        daemon knows of both. While all daemons are reachable, these totals add
        nothing but delay, so the result is 0.
        """
        fresh = self._states.fresh()
        if 1 + len(fresh) >= self._states.max_serving():
            return 0.0
        known = (
            state.window_total_by_peer.get(peer.place.id, 0) for peer in fresh
        )
        return max(known, default=0)

    def _reachable(self) -> int:
        """Return the number of daemons in touch, this one included."""
        return 1 + len(self._states.fresh())

    def _limit(self, cap: UsageCap) -> float:
        """Return the amount that all reachable daemons together may admit.

        Unreachable peers may admit requests unseen, so their share of the cap
        is left to them.
        """
        reachable = self._reachable()
        expected = max(self._states.max_serving(), reachable)
        amount = cap.rate_per_s * self._window_s + cap.burst
        amount *= 1 + TOLERANCE_USED * self._rules.overage
        amount += TOLERANCE_USED * self._rules.tolerance
        return amount * reachable / expected

    def _wait_s(self, state: _AccountUsage, missing: float) -> float:
        """Return the time until `missing` has expired from the window."""
        now = self._clock()
        for began_at, amount in state.uses.entries:
            missing -= amount
            if missing <= 0:
                return began_at + self._window_s - now
        return self._window_s

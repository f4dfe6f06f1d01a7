"""Usage caps of client accounts, kept by all daemons together.

Each daemon keeps a bucket of every account. It takes from it what it lets
through itself and what its peers tell that they did, so all buckets are
about the same. Between two digests several daemons may let through the
same tokens; the buckets then go below zero and are paid back before any
daemon lets more through.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from mimosamux_wire import CapUse, StateDigest

from mimosamux_daemon.domain.names import AccountId, DaemonId
from mimosamux_daemon.domain.routes import AccountEntry, UsageCap
from mimosamux_daemon.gateway.peer_states import PeerState, PeerStates

LEAST_WAIT_S = 0.05


@dataclass(kw_only=True, slots=True)
class _Bucket:
    """Tokens that an account may still use; below zero they are owed."""

    level: float
    filled_at: float
    used: float = 0.0
    """What this daemon let through since it started."""
    used_by_peer: dict[DaemonId, tuple[int, float]] = field(
        default_factory=dict
    )
    """Lifetime and use of each peer, as it told last."""


class UsageCaps:
    """Lets requests through as far as the caps of their accounts allow."""

    def __init__(
        self, *, states: PeerStates, clock: Callable[[], float]
    ) -> None:
        self._states = states
        self._clock = clock
        self._started_at = clock()
        self._by_account: dict[AccountId, _Bucket] = {}

    def acquire(self, account: AccountEntry, cost: float) -> float | None:
        """Take from the account's bucket; None once that is done.

        Otherwise the result is the time until it may be tried again.
        """
        cap = account.cap
        if cap is None:
            return None
        bucket = self._fill(account.id, cap)
        if bucket.level <= 0:
            wait_s = -bucket.level / max(self._rate(cap), 1.0)
            return max(wait_s, LEAST_WAIT_S)
        bucket.level -= cost
        bucket.used += cost
        return None

    def give_back(self, account: AccountEntry, cost: float) -> None:
        """Undo an `acquire`: the request has not run."""
        bucket = self._by_account.get(account.id)
        if bucket is not None and account.cap is not None:
            bucket.level += cost
            bucket.used -= cost

    def write(self, digest: StateDigest) -> None:
        """Tell what was let through here."""
        digest.caps.extend(
            CapUse(account=account, used=int(bucket.used))
            for account, bucket in self._by_account.items()
        )

    def take(self, peer: PeerState, digest: StateDigest) -> None:
        """Take out what a peer has let through since it told last."""
        for use in digest.caps:
            bucket = self._by_account.get(AccountId(use.account))
            if bucket is None:
                bucket = self._add(AccountId(use.account))
            lifetime, before = bucket.used_by_peer.get(
                peer.place.id, (peer.lifetime, float(use.used))
            )
            if lifetime != peer.lifetime:
                before = 0.0
            bucket.used_by_peer[peer.place.id] = (
                peer.lifetime,
                float(use.used),
            )
            bucket.level -= use.used - before

    def _add(self, account: AccountId) -> _Bucket:
        # Empty when the process starts: one that starts while an account
        # is at its cap would otherwise let a whole burst through again.
        bucket = _Bucket(level=0.0, filled_at=self._started_at)
        self._by_account[account] = bucket
        return bucket

    def _fill(self, account: AccountId, cap: UsageCap) -> _Bucket:
        bucket = self._by_account.get(account) or self._add(account)
        now = self._clock()
        passed_s = now - bucket.filled_at
        bucket.filled_at = now
        bucket.level = min(
            bucket.level + passed_s * self._rate(cap), cap.burst
        )
        return bucket

    def _rate(self, cap: UsageCap) -> float:
        """Return the rate at which this daemon may fill the bucket.

        Peers that are out of touch may let requests through unseen, so
        their part of the rate is left to them.
        """
        reachable = 1 + len(self._states.fresh())
        expected = max(self._states.expected(), reachable)
        return cap.rate_per_s * reachable / expected

"""Weighted max-min fair shares of recent work between client accounts.

The total of the recently admitted tokens is distributed by water-filling:
an account whose demand per unit of weight is below the fair level keeps
all of its demand, and the remainder is divided among the others.
"""

import math
from dataclasses import dataclass

import xxhash

from mimosamux_daemon.domain.names import AccountId

FAIR_LEVEL_INTERVAL_S = 0.25
"""Time between two computations of the fair level."""
FAIR_FRACTION = 0.9
"""Fraction of its fair share from which an account counts as served.

If only one account is limited, its admitted tokens equal its fair share.
Without tolerance, rounding errors would decide whether it is over, and
every other request of it would be admitted.
"""
EVICT_BELOW_TOKENS = 0.01
"""Accounts are evicted once their decayed demand is below this."""


@dataclass(kw_only=True, slots=True)
class AccountUse:
    """Exponentially decayed token counts of an account, and its weight."""

    share: float = 1.0
    offered: float = 0.0
    admitted: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class UsageDelta:
    """Tokens of an account at one daemon since its last digest."""

    key: int
    """Hash of the account id, see `hash_account_id`."""
    share: float
    offered: float
    admitted: float


def hash_account_id(account: AccountId) -> int:
    """Return the signed 32-bit hash of an account id in digests."""
    return int.from_bytes(
        xxhash.xxh32_digest(account.encode()), 'big', signed=True
    )


class FairShares:
    """Recent usage by account over all daemons, and the fair level.

    The usage that peers report in digests counts too. By local counts
    alone, a small account whose callers all use one daemon would look
    large there next to a large account that is spread over all daemons.
    """

    def __init__(self, *, window_s: float) -> None:
        self._window_s = window_s
        self._by_key: dict[int, AccountUse] = {}
        self._delta_by_key: dict[int, AccountUse] = {}
        self._fair_level = math.inf
        self._computed_at = -math.inf

    def note_offered(
        self, account: AccountId, *, share: float, tokens: float, now: float
    ) -> None:
        """Count demand of an account, whether admitted or refused."""
        if now - self._computed_at >= FAIR_LEVEL_INTERVAL_S:
            self._decay(now)
            self._fair_level = self._compute_fair_level()
        key = hash_account_id(account)
        for by_key in (self._by_key, self._delta_by_key):
            use = by_key.setdefault(key, AccountUse())
            use.share = share
            use.offered += tokens

    def note_admitted(self, account: AccountId, *, tokens: float) -> None:
        """Count admitted work; call `note_offered` for it first."""
        key = hash_account_id(account)
        self._by_key[key].admitted += tokens
        self._delta_by_key.setdefault(key, AccountUse()).admitted += tokens

    def add_peer_delta(self, delta: UsageDelta) -> None:
        """Add the usage of an account that a peer has reported."""
        use = self._by_key.setdefault(delta.key, AccountUse())
        use.share = delta.share
        use.offered += delta.offered
        use.admitted += delta.admitted

    def take_deltas(self, limit: int) -> list[UsageDelta]:
        """Return and reset the local usage since the last call.

        Return at most `limit` accounts, those with the most demand.
        """
        delta_by_key, self._delta_by_key = self._delta_by_key, {}
        deltas = [
            UsageDelta(
                key=key,
                share=use.share,
                offered=use.offered,
                admitted=use.admitted,
            )
            for key, use in delta_by_key.items()
        ]
        deltas.sort(key=lambda delta: delta.offered, reverse=True)
        return deltas[:limit]

    def is_known(self, account: AccountId) -> bool:
        """Whether the account has recent demand."""
        return hash_account_id(account) in self._by_key

    def is_over(self, account: AccountId) -> bool:
        """Whether an account asks for more than its fair share and has it.

        An account that has not reached its fair share is not over, and
        no account is over while all demand is met.
        """
        use = self._by_key[hash_account_id(account)]
        fair = self._fair_level * use.share
        return use.offered > fair and use.admitted >= fair * FAIR_FRACTION

    def _decay(self, now: float) -> None:
        is_first = self._computed_at == -math.inf
        elapsed_s = 0.0 if is_first else now - self._computed_at
        decay = math.exp(-elapsed_s / self._window_s)
        self._computed_at = now
        for key, use in list(self._by_key.items()):
            use.offered *= decay
            use.admitted *= decay
            if use.offered < EVICT_BELOW_TOKENS:
                del self._by_key[key]

    def _compute_fair_level(self) -> float:
        """Return the fair tokens per unit of weight, infinite if unlimited."""
        uses = sorted(self._by_key.values(), key=_offered_per_share)
        left = sum(use.admitted for use in uses)
        shares = sum(use.share for use in uses)
        for use in uses:
            if use.offered * shares > left * use.share:
                return left / shares
            left -= use.offered
            shares -= use.share
        return math.inf


def _offered_per_share(use: AccountUse) -> float:
    return use.offered / use.share

"""How much of the recent work each client account got, and may get.

Fairness is max-min by weight: what accounts got in total is poured out
over them up to a level; one that asks for less than the level gets all
that it asks for, and what it leaves is there for the others.
"""

import math
from dataclasses import dataclass

import xxhash

from mimosamux_daemon.domain.names import AccountId

LEVEL_INTERVAL_S = 0.25
"""Time between two computations of the level."""
FAIR_PART = 0.9
"""Part of the fair tokens from which an account counts as having them.

An account that alone is cut has exactly the fair tokens; without slack
it would be over or not by rounding, and be let through each other time.
"""
FORGET_BELOW_TOKENS = 0.01
"""Accounts whose recent use has faded below this are forgotten."""


@dataclass(kw_only=True, slots=True)
class AccountUse:
    """Recent tokens of an account; older ones count exponentially less."""

    share: float = 1.0
    offered: float = 0.0
    admitted: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class NewUse:
    """What an account asked for and got at one daemon for a while."""

    key: int
    """Stands for the account, see `key_of_account`."""
    share: float
    offered: float
    admitted: float


def key_of_account(account: AccountId) -> int:
    """Return the signed 32-bit number for an account in digests."""
    return int.from_bytes(
        xxhash.xxh32_digest(account.encode()), 'big', signed=True
    )


class FairShares:
    """Recent use by account, and the level of fair use.

    The use at peers counts too, as far as they tell of it: callers of a
    small account may all come to one daemon, where the account would look
    large beside the part of a flood that comes there.
    """

    def __init__(self, *, window_s: float) -> None:
        self._window_s = window_s
        self._by_key: dict[int, AccountUse] = {}
        self._new_by_key: dict[int, AccountUse] = {}
        self._level = math.inf
        self._computed_at = -math.inf

    def note_offered(
        self, account: AccountId, *, share: float, tokens: float, now: float
    ) -> None:
        """Count work that an account asks for, refused or not."""
        if now - self._computed_at >= LEVEL_INTERVAL_S:
            self._fade(now)
            self._level = self._find_level()
        key = key_of_account(account)
        for by_key in (self._by_key, self._new_by_key):
            use = by_key.setdefault(key, AccountUse())
            use.share = share
            use.offered += tokens

    def note_admitted(self, account: AccountId, *, tokens: float) -> None:
        """Count work that was let through, after it was offered."""
        key = key_of_account(account)
        self._by_key[key].admitted += tokens
        self._new_by_key.setdefault(key, AccountUse()).admitted += tokens

    def note_peer(self, new: NewUse) -> None:
        """Count what a peer tells of an account."""
        use = self._by_key.setdefault(new.key, AccountUse())
        use.share = new.share
        use.offered += new.offered
        use.admitted += new.admitted

    def take_new(self, limit: int) -> list[NewUse]:
        """Return the use here since the last call, the largest first."""
        new_by_key, self._new_by_key = self._new_by_key, {}
        news = [
            NewUse(
                key=key,
                share=use.share,
                offered=use.offered,
                admitted=use.admitted,
            )
            for key, use in new_by_key.items()
        ]
        news.sort(key=lambda new: new.offered, reverse=True)
        return news[:limit]

    def is_known(self, account: AccountId) -> bool:
        """Whether the account has asked for anything lately."""
        return key_of_account(account) in self._by_key

    def is_over(self, account: AccountId) -> bool:
        """Whether the account asks for more than its fair part and has it.

        One that asks for more and has not reached its part yet is not
        over; nor is anybody while all get what they ask for.
        """
        use = self._by_key[key_of_account(account)]
        fair = self._level * use.share
        return use.offered > fair and use.admitted >= fair * FAIR_PART

    def _fade(self, now: float) -> None:
        is_first = self._computed_at == -math.inf
        passed_s = 0.0 if is_first else now - self._computed_at
        fade = math.exp(-passed_s / self._window_s)
        self._computed_at = now
        for key, use in list(self._by_key.items()):
            use.offered *= fade
            use.admitted *= fade
            if use.offered < FORGET_BELOW_TOKENS:
                del self._by_key[key]

    def _find_level(self) -> float:
        """Return the fair tokens for each unit of share."""
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

"""Offers that had no VM to give, and when to ask for them again."""

import random
from dataclasses import dataclass

import anyio

from mimosamux_daemon.domain.plan import Offer


@dataclass(frozen=True, kw_only=True, slots=True)
class BackoffPolicy:
    """Times in seconds."""

    first_s: float = 30.0
    longest_s: float = 900.0
    jitter: float = 0.2


@dataclass(kw_only=True, slots=True)
class _Refusals:
    in_a_row: int
    until: float


class Backoff:
    """Waits twice as long after each refusal of the same offer."""

    def __init__(
        self, *, randomness: random.Random, policy: BackoffPolicy | None = None
    ) -> None:
        self._randomness = randomness
        self._policy = policy or BackoffPolicy()
        self._refusals_by_offer: dict[Offer, _Refusals] = {}

    def note_refused(self, offer: Offer) -> None:
        """Leave an offer alone for a while.

        Refusals of orders that were given together count as one.
        """
        now = anyio.current_time()
        known = self._refusals_by_offer.get(offer)
        if known is not None and now < known.until:
            return
        in_a_row = known.in_a_row + 1 if known else 1
        wait = self._policy.first_s * 2.0 ** (in_a_row - 1)
        wait = min(wait, self._policy.longest_s)
        wait *= 1.0 + self._policy.jitter * self._randomness.random()
        self._refusals_by_offer[offer] = _Refusals(
            in_a_row=in_a_row, until=now + wait
        )

    def note_started(self, offer: Offer) -> None:
        """Forget the refusals of an offer that gave a VM."""
        self._refusals_by_offer.pop(offer, None)

    def current(self) -> frozenset[Offer]:
        """Return the offers that are left alone now."""
        now = anyio.current_time()
        return frozenset(
            offer
            for offer, refusals in self._refusals_by_offer.items()
            if now < refusals.until
        )

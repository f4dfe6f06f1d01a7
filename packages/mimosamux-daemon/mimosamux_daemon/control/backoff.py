"""Exponential backoff for VM offers whose orders were refused."""

import random
from dataclasses import dataclass

import anyio

from mimosamux_daemon.domain.plan import Offer


@dataclass(frozen=True, kw_only=True, slots=True)
class BackoffPolicy:
    """Waits in seconds; `jitter` is a fraction of the wait."""

    initial_s: float = 30.0
    max_s: float = 900.0
    jitter: float = 0.2


@dataclass(kw_only=True, slots=True)
class _Suspension:
    consecutive_refusals: int
    until: float


class Backoff:
    """Suspends a refused offer, twice as long after each refusal in a row."""

    def __init__(
        self, *, randomness: random.Random, policy: BackoffPolicy | None = None
    ) -> None:
        self._rng = randomness
        self._policy = policy or BackoffPolicy()
        self._suspension_by_offer: dict[Offer, _Suspension] = {}

    def note_refused(self, offer: Offer) -> None:
        """Suspend an offer after a refused order.

        A refusal while the offer is suspended is ignored, so that the
        refusals of orders that were placed together count as one.
        """
        now = anyio.current_time()
        known = self._suspension_by_offer.get(offer)
        if known is not None and now < known.until:
            return
        consecutive_refusals = known.consecutive_refusals + 1 if known else 1
        wait_s = self._policy.initial_s * 2.0 ** (consecutive_refusals - 1)
        wait_s = min(wait_s, self._policy.max_s)
        wait_s *= 1.0 + self._policy.jitter * self._rng.random()
        self._suspension_by_offer[offer] = _Suspension(
            consecutive_refusals=consecutive_refusals, until=now + wait_s
        )

    def note_started(self, offer: Offer) -> None:
        """Reset the backoff of an offer that provided a VM."""
        self._suspension_by_offer.pop(offer, None)

    def suspended(self) -> frozenset[Offer]:
        """Return the offers that must not be ordered from yet."""
        now = anyio.current_time()
        return frozenset(
            offer
            for offer, suspension in self._suspension_by_offer.items()
            if now < suspension.until
        )

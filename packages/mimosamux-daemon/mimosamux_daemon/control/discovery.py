"""Which addresses a caller is told to use.

No balancer stands in front of the daemons, so these answers are what
spreads callers over them and what leads callers away from a daemon that
stops or a data centre that is lost.
"""

from dataclasses import dataclass

from mimosamux_daemon.control.members import Member, MemberState, rank
from mimosamux_daemon.control.membership import Membership
from mimosamux_daemon.domain.names import AccountId, DataCentreName

NEAR_ADDRESSES = 3
"""Addresses in this data centre."""
FAR_ADDRESSES = 2
"""Addresses in the nearest other one; one more in the next."""
FULL_LOAD = 900
"""Thousandths of a daemon's capacity above which it is nearly full."""
KNOWN_EVERYWHERE_S = 5.0
"""Time within which a daemon that leaves is left out of all answers."""


@dataclass(frozen=True, kw_only=True, slots=True)
class EntryAddress:
    """Where callers reach a daemon."""

    address: str
    data_centre: DataCentreName


@dataclass(frozen=True, kw_only=True, slots=True)
class AddressAnswer:
    """Addresses in the order in which an account should try them."""

    addresses: tuple[EntryAddress, ...]
    ttl_s: float


class Discovery:
    """Answers callers from what membership knows."""

    def __init__(self, *, membership: Membership, ttl_s: float) -> None:
        self._membership = membership
        self._ttl_s = ttl_s

    def addresses_for(
        self, account: AccountId, caller: str = ''
    ) -> AddressAnswer:
        """Return the account's addresses, near ones first.

        Each account, and each `caller` host of it, has an order of its
        own: a few large accounts would otherwise load a single daemon
        each. One that asks again keeps its connections. Daemons that are
        nearly full come last in their data centre.
        """
        membership = self._membership
        nearest = sorted(membership.data_centres(), key=membership.distance_to)
        counts = (NEAR_ADDRESSES, FAR_ADDRESSES, 1)
        chosen: list[Member] = []
        pools = [pool for pool in map(self._pool, nearest) if pool]
        for pool, count in zip(pools, counts, strict=False):
            by_id = {member.id: member for member in pool}
            ranked = rank(by_id, f'{account} {caller}')
            ranked.sort(key=lambda daemon: by_id[daemon].load >= FULL_LOAD)
            chosen.extend(by_id[daemon] for daemon in ranked[:count])
        return AddressAnswer(
            addresses=tuple(
                EntryAddress(
                    address=member.caller_address,
                    data_centre=member.data_centre,
                )
                for member in chosen or self._last_resort()
            ),
            ttl_s=self._ttl_s,
        )

    @property
    def drained_at(self) -> float | None:
        """Time of `anyio.current_time` when no answer leads here any more.

        Until then callers with an older answer still open connections to
        this daemon; it has to serve them. None: it is not leaving.
        """
        left_at = self._membership.left_at
        if left_at is None:
            return None
        return left_at + KNOWN_EVERYWHERE_S + self._ttl_s

    def _pool(self, name: DataCentreName) -> list[Member]:
        ready = set(self._membership.members(name))
        return [
            member
            for member in self._membership.known(name)
            if member.id in ready and member.caller_address
        ]

    def _last_resort(self) -> list[Member]:
        # With nobody ready, one that is about to leave still serves, and
        # no address at all would turn every caller away.
        here = self._membership.known(self._membership.data_centre)
        return [
            member
            for member in here
            if member.observed is MemberState.LEAVING
            or member.id == self._membership.daemon
        ]

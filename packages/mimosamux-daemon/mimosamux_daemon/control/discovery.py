"""Selects the daemon addresses that callers should use.

There is no load balancer in front of the daemons. These answers spread
callers over the daemons and direct them away from a stopping daemon or a
lost data centre.
"""

from dataclasses import dataclass

from mimosamux_daemon.control.members import Member, MemberState, rank
from mimosamux_daemon.control.membership import Membership
from mimosamux_daemon.domain.names import AccountId, DataCentreName

NEAREST_ADDRESSES = 3
"""Addresses in the nearest data centre with ready daemons."""
SECOND_NEAREST_ADDRESSES = 2
"""Addresses in the second nearest; the third nearest gets one."""
NEARLY_FULL_LOAD = 900
"""Load, in thousandths of capacity, from which a daemon is nearly full."""
LEAVE_PROPAGATION_S = 5.0
"""Time within which all daemons omit a leaving daemon from answers."""


@dataclass(frozen=True, kw_only=True, slots=True)
class EntryAddress:
    """Address at which callers reach a daemon."""

    address: str
    data_centre: DataCentreName


@dataclass(frozen=True, kw_only=True, slots=True)
class AddressAnswer:
    """Addresses in the order in which to try them, valid for `ttl_s`."""

    addresses: tuple[EntryAddress, ...]
    ttl_s: float


class Discovery:
    """Answers address requests of callers from the membership."""

    def __init__(self, *, membership: Membership, ttl_s: float) -> None:
        self._membership = membership
        self._ttl_s = ttl_s

    def addresses_for(
        self, account: AccountId, caller: str = ''
    ) -> AddressAnswer:
        """Return the account's addresses, nearest data centre first.

        The order in a data centre is a rendezvous hash of the account and
        the `caller` host: with one order per account, each of a few large
        accounts would load a single daemon. The order is stable, so a
        caller that asks again can keep its connections. Nearly full
        daemons come last in their data centre.
        """
        membership = self._membership
        nearest = sorted(
            membership.data_centres(), key=membership.round_trip_to
        )
        counts = (NEAREST_ADDRESSES, SECOND_NEAREST_ADDRESSES, 1)
        chosen: list[Member] = []
        pools = [pool for pool in map(self._ready_members, nearest) if pool]
        for pool, count in zip(pools, counts, strict=False):
            by_id = {member.id: member for member in pool}
            ranked = rank(by_id, f'{account} {caller}')
            ranked.sort(
                key=lambda daemon: by_id[daemon].load >= NEARLY_FULL_LOAD
            )
            chosen.extend(by_id[daemon] for daemon in ranked[:count])
        return AddressAnswer(
            addresses=tuple(
                EntryAddress(
                    address=member.caller_address,
                    data_centre=member.data_centre,
                )
                for member in chosen or self._fallback_members()
            ),
            ttl_s=self._ttl_s,
        )

    @property
    def drained_at(self) -> float | None:
        """Time at which the last answer with this daemon's address expires.

        By `anyio.current_time`; None if the daemon is not leaving. Until
        then callers with an older answer still open connections to this
        daemon, and it has to serve them.
        """
        left_at = self._membership.left_at
        if left_at is None:
            return None
        return left_at + LEAVE_PROPAGATION_S + self._ttl_s

    def _ready_members(self, name: DataCentreName) -> list[Member]:
        ready = set(self._membership.members(name))
        return [
            member
            for member in self._membership.known_members(name)
            if member.id in ready and member.caller_address
        ]

    def _fallback_members(self) -> list[Member]:
        # If no daemon is ready, a leaving one still serves; an empty
        # answer would turn every caller away.
        here = self._membership.known_members(self._membership.data_centre)
        return [
            member
            for member in here
            if member.effective_state is MemberState.LEAVING
            or member.id == self._membership.daemon
        ]

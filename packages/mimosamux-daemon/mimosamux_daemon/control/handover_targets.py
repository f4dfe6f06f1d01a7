"""Selects the daemons that take over requests of a stopping daemon."""

from collections.abc import Iterator, Sequence

from mimosamux_daemon.control.members import Member, MemberState, rank
from mimosamux_daemon.control.membership import Membership
from mimosamux_daemon.domain.names import AccountId
from mimosamux_daemon.serving.handover import HandoverTarget


class MembershipHandoverTargets:
    """Ready daemons, nearest data centre first, spread by client account."""

    def __init__(self, *, membership: Membership) -> None:
        self._membership = membership

    def handover_targets(self, account: AccountId) -> Sequence[HandoverTarget]:
        """Return the peers for an account's requests, best first."""
        return [
            HandoverTarget(
                daemon=member.id, caller_address=member.caller_address
            )
            for member in self._ranked(account)
        ]

    def has_targets(self) -> bool:
        """Return whether any other daemon is ready."""
        return any(True for _ in self._ranked(AccountId('')))

    def _ranked(self, account: AccountId) -> Iterator[Member]:
        membership = self._membership
        nearest = sorted(
            membership.data_centres(), key=membership.round_trip_to
        )
        for name in nearest:
            by_id = {
                member.id: member
                for member in membership.known_members(name)
                if self._is_ready(member)
            }
            for daemon in rank(by_id, account):
                yield by_id[daemon]

    def _is_ready(self, member: Member) -> bool:
        membership = self._membership
        return (
            member.id != membership.daemon
            and bool(member.caller_address)
            and membership.state_of(member.id) is MemberState.READY
        )

"""Work that one daemon does for all, under a lease."""

import random
from collections.abc import Callable

import anyio
from mimosamux_wire import StateDigest

from mimosamux_daemon.control.lease_keeper import LeaseKeeper
from mimosamux_daemon.control.leases import Lease, LeasePolicy, LeaseTable
from mimosamux_daemon.domain.names import DaemonId
from mimosamux_daemon.gateway.metering import Metering
from mimosamux_daemon.gateway.peer_states import PeerState, PeerStates
from mimosamux_daemon.gateway.rollout_duty import RolloutDuty
from mimosamux_daemon.gateway.scaling import Scaling
from mimosamux_daemon.ports import Table
from mimosamux_daemon.ports.duty_calls import DUTY_CALL_TIMEOUT_S

LEASE_NAME = 'duties'
RENEW_SHARE = 0.3
"""Part of a lease's time after which it is renewed: three renewals may
fail before it is lost."""
STOP_SHARE = 0.15
"""Part of its time before the end at which the holder stops acting."""
TAKE_SHARE = 0.15
"""Part of its time that a successor waits beyond the end."""
POLL_S = 0.4
CALL_TIMEOUT_S = 0.8
CANDIDATES = 3
"""Daemons that look for the lease in a site with relays: after a loss of all,
two hundred would look two and a half times a second each."""
UNFENCED_MARGIN_S = DUTY_CALL_TIMEOUT_S + 0.5
"""Wait beyond a lease's time where the platform honours no fencing numbers:
an order of the old holder can be under way for as long as it waits for the
answer, and its hanging up for half a second more. At 10 s a site that lost
all its daemons was without orders and usage reports for 14 s, through two
reclaims; three windows of usage were never reported."""


def lease_policy(duration_s: float) -> LeasePolicy:
    """Return the times of a lease of a duration."""
    return LeasePolicy(
        duration_s=duration_s,
        renew_interval_s=RENEW_SHARE * duration_s,
        poll_interval_s=POLL_S,
        stop_margin_s=STOP_SHARE * duration_s,
        take_margin_s=TAKE_SHARE * duration_s,
        unfenced_margin_s=UNFENCED_MARGIN_S,
        call_timeout_s=CALL_TIMEOUT_S,
        restart_ends_lease=True,
    )


class Duties:
    """Takes part in holding the duties' lease, and does the duties."""

    def __init__(
        self,
        *,
        table: Table,
        states: PeerStates,
        policy: LeasePolicy,
        checks_fencing: bool,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.is_stopping = False
        self._states = states
        self._keeper = LeaseKeeper(
            leases=LeaseTable(
                table=table,
                name=LEASE_NAME,
                holder=DaemonId(states.place.id),
                incarnation=states.incarnation,
                wall_clock=wall_clock,
                policy=policy,
                clock=clock,
            ),
            policy=policy,
            randomness=rng,
            fencing_is_honoured=lambda: checks_fencing,
            may_try=self._may_try,
            is_known_ended=self._is_known_ended,
            is_cut_off=self._is_cut_off,
            clock=clock,
        )

    @property
    def held(self) -> Lease | None:
        """The lease, while this daemon holds it."""
        return self._keeper.held

    async def run(
        self, *, metering: Metering, scaling: Scaling, rollouts: RolloutDuty
    ) -> None:
        """Do the duties whenever the lease is held, until cancelled."""

        async def act(lease: Lease) -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(metering.run, lease)
                tasks.start_soon(scaling.run, lease)
                tasks.start_soon(rollouts.run, lease)

        await self._keeper.run(act)

    def write(self, digest: StateDigest) -> None:
        """Tell whether this daemon holds the lease."""
        held = self.held
        if held is not None and held.is_valid():
            digest.lease_fencing = held.fencing
        else:
            digest.lease_ended_version = self._keeper.ended_version

    def take(self, peer: PeerState, digest: StateDigest) -> None:
        """Nothing to do: it is part of the peer's state."""

    def _is_known_ended(self, version: int) -> bool:
        """Whether the holder has told that it acts no more at a version."""
        return any(
            peer.lease_ended_version == version
            for peer in self._states.fresh()
        )

    def _is_cut_off(self) -> bool:
        """Whether other daemons say that the table answers them."""
        return any(peer.reads_tables for peer in self._states.fresh())

    def _may_try(self) -> bool:
        """Whether no live holder is known, so that the table is asked."""
        if self.is_stopping:
            return False
        fresh = self._states.fresh()
        if any(peer.lease_fencing for peer in fresh):
            return False
        if self._states.is_flat:
            return True
        before = sum(
            peer.place.id < self._states.place.id
            for peer in self._states.ready()
            if peer.reads_tables
        )
        return before < CANDIDATES

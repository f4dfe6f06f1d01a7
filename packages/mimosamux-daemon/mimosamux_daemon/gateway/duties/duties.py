"""Duties that one daemon performs for all, as the holder of a lease."""

import random
from collections.abc import Callable

import anyio
from mimosamux_wire import StateDigest

from mimosamux_daemon.control.lease_keeper import LeaseKeeper
from mimosamux_daemon.control.leases import Lease, LeasePolicy, LeaseTable
from mimosamux_daemon.domain.names import DaemonId
from mimosamux_daemon.domain.store_eras import StoreEra
from mimosamux_daemon.gateway.duties.metering import Metering
from mimosamux_daemon.gateway.duties.rollout_duty import RolloutDuty
from mimosamux_daemon.gateway.duties.scaling import Scaling
from mimosamux_daemon.gateway.exchange.peer_states import PeerState, PeerStates
from mimosamux_daemon.ports import Table
from mimosamux_daemon.ports.duty_calls import DUTY_CALL_TIMEOUT_S

LEASE_NAME = 'duties'
RENEW_SHARE = 0.3
"""Renewal interval as a fraction of the lease duration: three renewals may
fail before the lease is lost."""
STOP_SHARE = 0.15
"""Margin before expiry at which the holder stops acting, as a fraction of the
lease duration."""
TAKEOVER_SHARE = 0.15
"""Time that a successor waits after expiry, as a fraction of the lease
duration."""
POLL_S = 0.4
CALL_TIMEOUT_S = 0.8
CANDIDATES = 3
"""Daemons that try to acquire the lease in a site with relays: after the loss
of all daemons, two hundred would otherwise each read the table two and a half
times per second."""
UNFENCED_MARGIN_S = DUTY_CALL_TIMEOUT_S + 0.5
"""Wait after expiry of a lease on a platform that honours no fencing numbers:
an order of the previous holder can be in transit for as long as that holder
waits for the answer, and for half a second more until it closes the
connection. With 10 s, a site that lost all its daemons was without orders and
usage reports for 14 s, through two reclaims, and three windows of usage were
never reported."""


def lease_policy(duration_s: float) -> LeasePolicy:
    """Return the lease policy for a lease duration in seconds."""
    return LeasePolicy(
        duration_s=duration_s,
        renew_interval_s=RENEW_SHARE * duration_s,
        poll_interval_s=POLL_S,
        stop_margin_s=STOP_SHARE * duration_s,
        take_margin_s=TAKEOVER_SHARE * duration_s,
        unfenced_margin_s=UNFENCED_MARGIN_S,
        call_timeout_s=CALL_TIMEOUT_S,
        restart_ends_lease=True,
    )


class Duties:
    """Competes for the lease, and performs the duties while it holds it."""

    def __init__(
        self,
        *,
        table: Table,
        table_era: StoreEra,
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
                table_era=table_era,
            ),
            policy=policy,
            randomness=rng,
            fencing_is_honoured=lambda: checks_fencing,
            may_acquire=self._may_acquire,
            is_known_released=self._is_released,
            peers_reach_table=self._peers_reach_table,
            clock=clock,
        )

    @property
    def held(self) -> Lease | None:
        """The lease while this daemon holds it, otherwise None."""
        return self._keeper.held

    async def run(
        self, *, metering: Metering, scaling: Scaling, rollouts: RolloutDuty
    ) -> None:
        """Perform the duties whenever the lease is held, until cancelled."""

        async def run_duties(lease: Lease) -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(metering.run, lease)
                tasks.start_soon(scaling.run, lease)
                tasks.start_soon(rollouts.run, lease)

        await self._keeper.run(run_duties)

    def write(self, digest: StateDigest) -> None:
        """Add the fencing number of the held lease or the ended version."""
        held = self.held
        if held is not None and held.is_valid():
            digest.lease_fencing = held.fencing
        else:
            digest.lease_ended_version = self._keeper.ended_version

    def take(self, peer: PeerState, digest: StateDigest) -> None:
        """Do nothing: `PeerStates` takes over the lease fields."""

    def _is_released(self, version: int) -> bool:
        """Whether a peer reports that it gave up the lease at a version."""
        return any(
            peer.lease_ended_version == version
            for peer in self._states.fresh()
        )

    def _peers_reach_table(self) -> bool:
        """Whether a peer reports that the table answers it."""
        return any(peer.reads_tables for peer in self._states.fresh())

    def _may_acquire(self) -> bool:
        """Whether this daemon may try to acquire the lease."""
        if self.is_stopping:
            return False
        fresh = self._states.fresh()
        if any(peer.lease_fencing for peer in fresh):
            return False
        if self._states.is_flat:
            return True
        preceding = sum(
            peer.place.id < self._states.place.id
            for peer in self._states.ready()
            if peer.reads_tables
        )
        return preceding < CANDIDATES

"""Replicates steps and shares of roll-outs between daemons."""

from dataclasses import dataclass

from mimosamux_wire import RolloutTold

from mimosamux_daemon.domain.names import DaemonId, ServiceName
from mimosamux_daemon.domain.rollouts import (
    Rollout,
    RolloutOrder,
    RolloutStage,
)
from mimosamux_daemon.gateway.exchange.peer_states import PeerStates
from mimosamux_daemon.gateway.rollouts import Rollouts
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports import PeerLinks

log = get_log('rollout_exchange')

MS_PER_S = 1000


@dataclass(kw_only=True, slots=True)
class RolloutExchange:
    """Keeps the roll-out views of all daemons in sync."""

    rollouts: Rollouts
    states: PeerStates
    peers: PeerLinks

    def __post_init__(self) -> None:
        self.peers.handle(RolloutTold, self._receive)
        self.states.on_joined.append(self._send_all)

    def announce(
        self, rollout: Rollout, *, sequence: int, share: float
    ) -> None:
        """Broadcast a step, or the share that it currently allows.

        `sequence` numbers the shares announced within a step.
        """
        self.states.queue(_as_message(rollout, sequence, share))

    async def _send_all(self, id_: DaemonId) -> None:
        """Send all roll-outs to a daemon that has just started."""
        for view in self.rollouts.by_service.values():
            message = _as_message(view.rollout, view.sequence, view.share)
            await self.peers.notify(id_, message)

    async def _receive(self, sender: DaemonId, message: RolloutTold) -> None:
        rollout = _as_rollout(message)
        if rollout is None:
            log.warning('rollout_unreadable', peer=sender)
            return
        is_new = self.rollouts.apply_step(rollout, source=sender)
        is_new |= self.rollouts.apply_share(
            rollout, message.word, message.share
        )
        if is_new and self.states.forwards_messages:
            self.states.queue(message)


def _as_message(rollout: Rollout, sequence: int, share: float) -> RolloutTold:
    order = rollout.order
    return RolloutTold(
        service=order.service,
        version=order.version,
        number=order.number,
        within_ms=int(order.within_s * MS_PER_S),
        stage=rollout.stage,
        step=rollout.step,
        began_at_ms=int(rollout.began_at * MS_PER_S),
        held_back=list(rollout.unapproved_versions),
        reason=rollout.reason,
        word=sequence,
        share=share,
    )


def _as_rollout(message: RolloutTold) -> Rollout | None:
    try:
        stage = RolloutStage(message.stage)
    except ValueError:
        return None
    if not message.service or not message.version:
        return None
    return Rollout(
        order=RolloutOrder(
            service=ServiceName(message.service),
            version=message.version,
            within_s=message.within_ms / MS_PER_S,
            number=message.number,
        ),
        stage=stage,
        step=message.step,
        began_at=message.began_at_ms / MS_PER_S,
        unapproved_versions=tuple(message.held_back),
        reason=message.reason,
    )

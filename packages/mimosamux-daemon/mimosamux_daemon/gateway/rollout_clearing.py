"""Drains endpoints whose version was replaced by a roll-out."""

from dataclasses import dataclass

from mimosamux_daemon.domain.rollouts import Rollout, RolloutStage
from mimosamux_daemon.gateway.roster import Roster

DRAIN_S = 2.0
"""Time after which a replaced endpoint is expected to be idle. Streams that
run longer stay until they end: they cannot go on at the new version."""
SOURCE = 'a roll-out'
"""Source of the leave notice in logs."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RolloutClearing:
    """Drains the endpoints of other versions after a takeover."""

    roster: Roster

    def note_step(self, rollout: Rollout) -> None:
        """Mark endpoints of other versions as leaving at the clearing step."""
        if rollout.stage is not RolloutStage.CLEARING:
            return
        for record in tuple(self.roster.by_id.values()):
            is_of_service = record.listed.service == rollout.order.service
            is_other = record.listed.software != rollout.order.version
            if is_of_service and is_other:
                self.roster.note_leaving(
                    record.id, left_s=DRAIN_S, source=SOURCE
                )

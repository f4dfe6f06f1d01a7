"""Ends the use of endpoints whose version was replaced."""

from dataclasses import dataclass

from mimosamux_daemon.domain.rollouts import Rollout, RolloutStage
from mimosamux_daemon.gateway.roster import Roster

CLEAR_S = 2.0
"""Time for which streams run on at a version that is given up: most end in
it, and what is left is moved."""
ROLLOUT = 'a roll-out'


@dataclass(frozen=True, kw_only=True, slots=True)
class RolloutClearing:
    """Has endpoints left once another version has taken over."""

    roster: Roster

    def note_step(self, rollout: Rollout) -> None:
        """Take endpoints of other versions as leaving when it is time."""
        if rollout.stage is not RolloutStage.CLEARING:
            return
        for record in tuple(self.roster.by_id.values()):
            is_of_service = record.listed.service == rollout.order.service
            is_other = record.listed.software != rollout.order.version
            if is_of_service and is_other:
                self.roster.note_leaving(
                    record.id, left_s=CLEAR_S, source=ROLLOUT
                )

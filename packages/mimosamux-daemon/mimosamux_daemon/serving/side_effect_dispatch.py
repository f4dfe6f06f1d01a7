"""The one dispatch of a call that may not be repeated."""

from collections.abc import Callable
from dataclasses import dataclass

import anyio

from mimosamux_daemon.domain.engine import ConnectFailed
from mimosamux_daemon.domain.names import EndpointId, ServiceName
from mimosamux_daemon.domain.outcomes import Answered, Outcome, Refused
from mimosamux_daemon.domain.store import Unavailable
from mimosamux_daemon.domain.vms import Endpoint
from mimosamux_daemon.domain.work import ServiceCall
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports.models.service import ServiceAnswer, Services
from mimosamux_daemon.serving.side_effect_limits import SideEffectLimits
from mimosamux_daemon.serving.side_effect_outcomes import (
    deadline_passed,
    store_unavailable,
    unknown_outcome,
)
from mimosamux_daemon.serving.side_effect_rows import (
    CallRow,
    CallState,
    keep_answer,
)
from mimosamux_daemon.serving.side_effect_store import (
    AbandonedIntent,
    CallStore,
    Claim,
    Ending,
    NotClaimed,
)
from mimosamux_daemon.serving.side_effect_upkeep import LateWrites

log = get_log('side_effects')

ChooseEndpoint = Callable[
    [ServiceName, frozenset[EndpointId]], Endpoint | Refused
]
"""Chooses an endpoint of a service, without the excluded ones."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Dispatcher:
    """Sends a claimed call once, and writes its end into the row."""

    store: CallStore
    late: LateWrites
    services: Services
    choose: ChooseEndpoint
    wall_clock: Callable[[], float]
    limits: SideEffectLimits

    async def dispatch(self, claim: Claim, call: ServiceCall) -> Outcome:
        """Send the call; only a failed connect goes on elsewhere."""
        excluding: frozenset[EndpointId] = frozenset()
        while True:
            confirmed = await self._confirm(claim, call)
            if not isinstance(confirmed, Claim):
                return confirmed
            claim = confirmed
            if anyio.current_time() >= call.deadline:
                return self._give_up(claim, deadline_passed())
            endpoint = self.choose(call.service, excluding)
            if isinstance(endpoint, Refused):
                return self._give_up(claim, endpoint)
            if self._is_stale(claim):
                continue
            answer = await self._send(endpoint, call)
            if not isinstance(answer, ConnectFailed):
                return await self._end(claim, call, answer)
            log.info(
                'connect_failed',
                request=call.id,
                endpoint=endpoint.id,
                reason=answer.reason,
            )
            excluding |= {endpoint.id}

    async def _send(
        self, endpoint: Endpoint, call: ServiceCall
    ) -> ServiceAnswer | ConnectFailed | None:
        """Send the call once; None if it may have run unanswered."""
        with anyio.CancelScope(deadline=call.deadline):
            answer = await self.services.call(endpoint, call)
            if isinstance(answer, ServiceAnswer | ConnectFailed):
                return answer
        return None

    def _is_stale(self, claim: Claim) -> bool:
        age_s = anyio.current_time() - claim.sent_at
        return age_s > self.limits.dispatch_window_s

    async def _confirm(
        self, claim: Claim, call: ServiceCall
    ) -> Claim | Outcome:
        """Look at the row again if the claim is old."""
        if not self._is_stale(claim):
            return claim
        give_up_at = anyio.current_time() + self.limits.settle_s
        confirmed = await self.store.confirm(
            claim, give_up_at=min(give_up_at, call.deadline)
        )
        if isinstance(confirmed, Claim):
            return confirmed
        if isinstance(confirmed, NotClaimed):
            refused = store_unavailable(
                confirmed.reason, self.limits.retry_after_s
            )
            return self._give_up(claim, refused)
        # Somebody has settled the call meanwhile; it must not go out.
        return unknown_outcome(call)

    def _give_up(self, claim: Claim, refused: Refused) -> Refused:
        """Refuse a call that this daemon will never send."""
        self.late.add(
            AbandonedIntent(
                key=claim.key, row=claim.row, may_replace=claim.version
            )
        )
        return refused

    async def _end(
        self, claim: Claim, call: ServiceCall, answer: ServiceAnswer | None
    ) -> Outcome:
        state = CallState.ANSWERED if answer else CallState.UNKNOWN
        row = claim.row.settle(
            state,
            settled_at=self.wall_clock(),
            answer=keep_answer(answer) if answer else None,
        )
        body = answer.body if answer else b''
        stands = await self._write_ending(
            Ending(claim=claim, row=row, body=body)
        )
        if answer is None or stands.state is not CallState.ANSWERED:
            return unknown_outcome(call)
        return Answered(
            request=call.id,
            status=answer.status,
            headers=answer.headers,
            body=answer.body,
        )

    async def _write_ending(self, ending: Ending) -> CallRow:
        """Return the row that stands; during an outage, our own.

        The service has answered: the caller gets the answer, also while
        the store is down, and the row is written once it is back.
        """
        give_up_at = anyio.current_time() + self.limits.ending_s
        stands = await self.store.write_ending(ending)
        while isinstance(stands, Unavailable):
            if anyio.current_time() >= give_up_at:
                self.late.add(ending)
                return ending.row
            await anyio.sleep(self.limits.poll_s)
            stands = await self.store.write_ending(ending)
        return stands

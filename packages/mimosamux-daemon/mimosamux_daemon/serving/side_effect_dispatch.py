"""Sends a claimed non-repeatable call and records its result.

Only a failed connect, after which no byte can have reached the service,
lets the call continue at another endpoint.
"""

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
    to_stored_answer,
)
from mimosamux_daemon.serving.side_effect_store import (
    AbandonedIntent,
    CallStore,
    Claim,
    FinalState,
    NotClaimed,
)
from mimosamux_daemon.serving.side_effect_upkeep import PendingWrites

log = get_log('side_effects')

ChooseEndpoint = Callable[
    [ServiceName, frozenset[EndpointId]], Endpoint | Refused
]
"""Chooses an endpoint of a service that is not in the excluded set."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Dispatcher:
    """Sends a claimed call once and writes the result to its row."""

    store: CallStore
    pending_writes: PendingWrites
    services: Services
    choose: ChooseEndpoint
    wall_clock: Callable[[], float]
    limits: SideEffectLimits

    async def dispatch(self, claim: Claim, call: ServiceCall) -> Outcome:
        """Send the call, trying other endpoints only after failed connects."""
        excluding: frozenset[EndpointId] = frozenset()
        while True:
            confirmed = await self._confirm(claim, call)
            if not isinstance(confirmed, Claim):
                return confirmed
            claim = confirmed
            if anyio.current_time() >= call.deadline:
                return self._refuse_unsent(claim, deadline_passed())
            endpoint = self.choose(call.service, excluding)
            if isinstance(endpoint, Refused):
                return self._refuse_unsent(claim, endpoint)
            if self._is_stale(claim):
                continue
            answer = await self._send(endpoint, call)
            if not isinstance(answer, ConnectFailed):
                return await self._record_answer(claim, call, answer)
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
        """Send the call once; return None if it may have run unanswered."""
        with anyio.CancelScope(deadline=call.deadline):
            answer = await self.services.call(endpoint, call)
            if isinstance(answer, ServiceAnswer | ConnectFailed):
                return answer
            log.info(
                'call_unanswered',
                request=call.id,
                endpoint=endpoint.id,
                reason=answer.reason,
            )
        return None

    def _is_stale(self, claim: Claim) -> bool:
        age_s = anyio.current_time() - claim.sent_at
        return age_s > self.limits.dispatch_window_s

    async def _confirm(
        self, claim: Claim, call: ServiceCall
    ) -> Claim | Outcome:
        """Confirm in the table that a stale claim still holds."""
        if not self._is_stale(claim):
            return claim
        give_up_at = anyio.current_time() + self.limits.claim_timeout_s
        confirmed = await self.store.confirm(
            claim, give_up_at=min(give_up_at, call.deadline)
        )
        if isinstance(confirmed, Claim):
            return confirmed
        if isinstance(confirmed, NotClaimed):
            refused = store_unavailable(
                confirmed.reason, self.limits.retry_after_s
            )
            return self._refuse_unsent(claim, refused)
        # Another daemon has settled the call, so it must not be sent.
        return unknown_outcome(call)

    def _refuse_unsent(self, claim: Claim, refused: Refused) -> Refused:
        """Release the key of a call that was not sent, and refuse it."""
        self.pending_writes.add(
            AbandonedIntent(
                key=claim.key, row=claim.row, replaceable_version=claim.version
            )
        )
        return refused

    async def _record_answer(
        self, claim: Claim, call: ServiceCall, answer: ServiceAnswer | None
    ) -> Outcome:
        state = CallState.ANSWERED if answer else CallState.UNKNOWN
        row = claim.row.settle(
            state,
            settled_at=self.wall_clock(),
            answer=to_stored_answer(answer) if answer else None,
        )
        body = answer.body if answer else b''
        current = await self._write_final_state(
            FinalState(claim=claim, row=row, body=body)
        )
        if answer is None or current.state is not CallState.ANSWERED:
            return unknown_outcome(call)
        return Answered(
            request=call.id,
            status=answer.status,
            headers=answer.headers,
            body=answer.body,
        )

    async def _write_final_state(self, final: FinalState) -> CallRow:
        """Write the result and return the row that the table then holds.

        If the store is unavailable for longer than `final_write_s`, return the
        unwritten row and queue the write in `pending_writes`. The
        service has answered, so the caller gets that answer even during a
        store outage.
        """
        give_up_at = anyio.current_time() + self.limits.final_write_s
        current = await self.store.write_final_state(final)
        while isinstance(current, Unavailable):
            if anyio.current_time() >= give_up_at:
                self.pending_writes.add(final)
                return final.row
            await anyio.sleep(self.limits.poll_s)
            current = await self.store.write_final_state(final)
        return current

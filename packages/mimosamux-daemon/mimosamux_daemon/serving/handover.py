"""Hand-over of accepted requests to a peer before this daemon stops.

A caller reads from one daemon at a time: from this one until its stream
ends with a `moved` event, and from the peer after that. The peer's reply
can be lost after the peer accepted the request. Three rules keep the two
copies apart:

- While an offer is pending, this daemon adds nothing to the answer.
- It writes the `moved` event only after the peer confirmed that it has
  the request.
- Without a reply it continues the request itself, under attempt numbers
  far above the offered one. No caller was redirected to the peer's copy,
  so this daemon tells the peer to drop it; a later offer replaces it.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

import anyio
import orjson
from mimosamux_wire import (
    HandOver,
    HandOverReply,
    HandOverWithdrawn,
    Message,
)

from mimosamux_daemon.domain.configuration import Configuration
from mimosamux_daemon.domain.names import (
    AccountId,
    ClassName,
    DaemonId,
    ModelName,
    RequestId,
)
from mimosamux_daemon.domain.outcomes import Refused
from mimosamux_daemon.domain.store import Unavailable
from mimosamux_daemon.domain.work import ModelRequest
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports.models.request_journal import RequestJournal
from mimosamux_daemon.ports.peer import Peers, PeerUnavailable
from mimosamux_daemon.serving.intake import Intake
from mimosamux_daemon.serving.model_serving import (
    HandedOverRequest,
    ModelServing,
)
from mimosamux_daemon.serving.requests import ActiveRequest, Moved

log = get_log('handover')

OFFER_TIMEOUT_S = 1.0
"""Timeout of one offer."""
OFFERS_PER_TARGET = 2
"""Attempts to offer a request to one peer before this daemon continues
the request itself."""
MAX_TARGETS = 2
"""Peers to which one request is offered, one after the other."""
MAX_CONCURRENT_OFFERS = 16
ATTEMPT_STRIDE = 1000
"""Added to the attempt number after an unanswered offer, so that engines
and relays can tell this daemon's attempts from those of the peer."""


@dataclass(frozen=True, kw_only=True, slots=True)
class HandoverTarget:
    """A peer that can take over requests."""

    daemon: DaemonId
    caller_address: str
    """`host:port` of its caller API."""


class HandoverTargets(Protocol):
    """Lists the peers that are not about to stop."""

    def handover_targets(self, account: AccountId) -> Sequence[HandoverTarget]:
        """Return peers for an account's requests, best first."""


class ConfigurationSource(Protocol):
    """Provides the configuration in force."""

    @property
    def current(self) -> Configuration:
        """The configuration in force."""


class Handover:
    """Hands requests over to peers and accepts those of stopping peers."""

    def __init__(
        self,
        *,
        serving: ModelServing,
        peers: Peers,
        targets: HandoverTargets,
        in_force: ConfigurationSource,
        journal: RequestJournal | None = None,
        intake: Intake | None = None,
    ) -> None:
        self._serving = serving
        self._peers = peers
        self._targets = targets
        self._in_force = in_force
        self._journal = journal
        self._intake = Intake() if intake is None else intake
        peers.handle(HandOver, self._accept)
        peers.handle(HandOverWithdrawn, self._drop_copy)

    async def hand_over(self, seconds_left: float) -> None:
        """Hand all open repeatable requests over to peers that accept them.

        Non-repeatable requests stay: a new prompt at another daemon would
        run them twice.
        """
        limiter = anyio.Semaphore(MAX_CONCURRENT_OFFERS)
        deadline = anyio.current_time() + seconds_left
        async with anyio.create_task_group() as tasks:
            for active in self._serving.registry.open_requests():
                if not active.request.work_class.repeatable:
                    continue
                await limiter.acquire()
                tasks.start_soon(self._hand_over, active, deadline, limiter)

    async def _hand_over(
        self, active: ActiveRequest, deadline: float, limiter: anyio.Semaphore
    ) -> None:
        try:
            await self._offer_to_targets(active, deadline)
        finally:
            limiter.release()

    async def _offer_to_targets(
        self, active: ActiveRequest, deadline: float
    ) -> None:
        targets = self._targets.handover_targets(active.request.account)
        if not targets or not await self._serving.park(active):
            return
        for target in targets[:MAX_TARGETS]:
            reply = await self._offer(active, target, deadline)
            if isinstance(reply, PeerUnavailable):
                await self._continue_here(active, target)
                return
            if reply.taken:
                await self._redirect_caller(active, target, reply)
                return
        self._serving.resume(active)

    async def _offer(
        self, active: ActiveRequest, target: HandoverTarget, deadline: float
    ) -> HandOverReply | PeerUnavailable:
        """Offer a request until the peer replies; offers are idempotent."""
        message = to_message(active)
        answer: Message | PeerUnavailable = PeerUnavailable(
            daemon=target.daemon, reason='no time left'
        )
        for _ in range(OFFERS_PER_TARGET):
            time_left = deadline - anyio.current_time()
            if time_left <= 0:
                break
            answer = await self._peers.call(
                target.daemon,
                message,
                timeout_s=min(OFFER_TIMEOUT_S, time_left),
            )
            if isinstance(answer, HandOverReply):
                return answer
        reason = getattr(answer, 'reason', 'another message')
        return PeerUnavailable(daemon=target.daemon, reason=str(reason))

    async def _redirect_caller(
        self,
        active: ActiveRequest,
        target: HandoverTarget,
        reply: HandOverReply,
    ) -> None:
        moved = Moved(address=target.caller_address, offset=len(active.tokens))
        await self._serving.move(active, moved, is_recorded=reply.recorded)
        log.info(
            'request_handed_over',
            request=active.request.id,
            daemon=target.daemon,
            tokens=len(active.tokens),
        )

    async def _continue_here(
        self, active: ActiveRequest, target: HandoverTarget
    ) -> None:
        offered_attempt = active.attempt
        active.attempt += ATTEMPT_STRIDE
        self._serving.resume(active)
        log.info(
            'handover_unanswered',
            request=active.request.id,
            daemon=target.daemon,
        )
        await self._peers.notify(
            target.daemon,
            HandOverWithdrawn(
                request=active.request.id, attempt=offered_attempt
            ),
        )

    async def _accept(
        self, sender: DaemonId, message: HandOver
    ) -> HandOverReply:
        """Accept a stopping peer's request unless this daemon stops too."""
        if self._intake.is_stopping:
            return HandOverReply(reason='stops as well')
        configuration = self._in_force.current
        request = to_request(message, configuration)
        if request is None:
            return HandOverReply(reason='class or parameters not known here')
        handed_over = HandedOverRequest(
            request=request,
            tokens=tuple(message.tokens),
            attempt=message.attempt,
        )
        recorded = await self._record(request)
        if self._intake.is_closed:
            if recorded and self._journal is not None:
                await self._journal.forget(request.id)
            return HandOverReply(reason='stops as well')
        accepted = await self._serving.take_over(handed_over, configuration)
        if isinstance(accepted, Refused):
            return HandOverReply(reason=accepted.message)
        return HandOverReply(taken=True, recorded=recorded)

    async def _record(self, request: ModelRequest) -> bool:
        if self._journal is None or not request.work_class.durable:
            return False
        if request.id in self._serving.registry.open_by_id:
            return True
        recorded = await self._journal.record(request)
        return not isinstance(recorded, Unavailable)

    async def _drop_copy(
        self, sender: DaemonId, message: HandOverWithdrawn
    ) -> None:
        """Drop a copy to which no caller was redirected."""
        active = self._serving.registry.by_id.get(RequestId(message.request))
        if active is None or active.readers or active.has_ended:
            return
        if active.attempt < message.attempt + ATTEMPT_STRIDE:
            await self._serving.drop(active)
            if self._journal is not None:
                await self._journal.forget(active.request.id)


def to_message(active: ActiveRequest) -> HandOver:
    """Return the hand-over message of a request."""
    request = active.request
    return HandOver(
        request=request.id,
        account=request.account,
        work_class=request.work_class.name,
        model=request.model,
        prompt=request.prompt,
        max_tokens=request.max_tokens,
        parameters=orjson.dumps(dict(request.parameters)),
        idempotency_key=request.idempotency_key or '',
        tokens=list(active.tokens),
        attempt=active.attempt,
        deadline_left_s=request.deadline - anyio.current_time(),
    )


def to_request(
    message: HandOver, configuration: Configuration
) -> ModelRequest | None:
    """Return the request of a message, None if it cannot be served here."""
    work_class = configuration.classes.get(ClassName(message.work_class))
    try:
        parameters = orjson.loads(message.parameters or b'{}')
    except orjson.JSONDecodeError:
        return None
    if work_class is None or not isinstance(parameters, dict):
        return None
    # Clocks differ between daemons, so the message has the time left.
    deadline = anyio.current_time() + message.deadline_left_s
    return ModelRequest(
        id=RequestId(message.request),
        account=AccountId(message.account),
        work_class=work_class,
        model=ModelName(message.model),
        prompt=message.prompt,
        max_tokens=message.max_tokens,
        arrived=deadline - work_class.deadline_s,
        idempotency_key=message.idempotency_key or None,
        parameters=parameters,
    )

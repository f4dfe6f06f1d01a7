"""Admission control: the checks before a request becomes a job.

A request needs a known route, a valid key, a service and room under the usage
cap of its account. Otherwise it is refused with a reason and, if a retry can
help, with a time after which to retry.
"""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from mimosamux_daemon.domain.gateway import GatewayRequest, ScreenedRequest
from mimosamux_daemon.domain.names import AccountId, DaemonId, ServiceName
from mimosamux_daemon.domain.outcomes import Reason, Refused
from mimosamux_daemon.domain.routes import (
    AccountEntry,
    GatewayConfiguration,
    Route,
    ServiceEntry,
    UsageCap,
)
from mimosamux_daemon.domain.stream_origins import StreamOrigin
from mimosamux_daemon.gateway.configuration import ConfirmedConfiguration
from mimosamux_daemon.gateway.jobs import Job
from mimosamux_daemon.gateway.limits.cap_loans import CapLoans
from mimosamux_daemon.gateway.limits.caps import UsageCaps
from mimosamux_daemon.ports.callers import AnswerSink

STARTING_RETRY_S = 0.5
"""Retry-after time while this daemon has no configuration yet."""
UNCONFIRMED_RETRY_S = 0.3
"""Retry-after time while the configuration is unconfirmed: another daemon, or
this one, is likely to have a confirmed one by then."""
ACK_WAIT_S = 0.5
"""Longest wait for peers to acknowledge the use of a cap. Without faults they
do so within 0.5 s; a caller waits about as long for its first token anyway."""
MAX_LENDERS = 16
"""Most daemons that are asked for a loan for one request. If each can spare a
quarter of its allotment, that covers the prompt, unless the cap is nearly
exhausted."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfirmationLimits:
    """How old the last confirmation of the configuration may be."""

    key_max_age_s: float
    """Age up to which a key is accepted. Operators rely on a bound after which
    a revoked key is rejected everywhere; this limit is below that bound by
    the longest time that a request can be in flight."""
    absence_max_age_s: float
    """Age up to which an unknown route or key is reported as nonexistent; an
    older configuration may lack one that was added since."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _Unacked:
    """A cap may have room, but peers have not acknowledged its use yet."""

    refused: Refused
    """Refusal to send if the acknowledgement does not arrive in time."""
    account: AccountId
    missing_shares: float
    """Allotment that the request lacks, which other daemons may lend."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _Routed:
    """A route and the account of its caller, under one configuration."""

    configuration: GatewayConfiguration
    route: Route
    account: AccountEntry | None


@dataclass(kw_only=True, slots=True)
class Admission:
    """Admits requests as jobs under the current configuration."""

    configuration: ConfirmedConfiguration
    caps: UsageCaps
    loans: CapLoans
    limits: ConfirmationLimits
    find_origin: Callable[[str], StreamOrigin | None]
    """Returns where the stream of an earlier request began."""
    clock: Callable[[], float]
    rng: random.Random = field(default_factory=random.Random)

    async def admit(
        self, request: GatewayRequest, sink: AnswerSink
    ) -> Job | Refused:
        """Return the job for a request, or its refusal.

        If a cap has room that only lacks acknowledgement by peers, the
        request waits for it, or borrows from the allotments of other daemons.
        When such requests were refused at once, callers retried before any
        peer had acknowledged more: with 24 daemons, 14 of 193 drafts were
        refused for good, for accounts that used a fortieth of their caps.
        """
        deadline = self.clock() + ACK_WAIT_S
        lenders: set[DaemonId] = set()
        while True:
            confirmed = self.caps.ack_received
            job = self._check(request, sink)
            if not isinstance(job, _Unacked):
                return job
            left_s = deadline - self.clock()
            if left_s <= 0:
                return job.refused
            if (
                job.missing_shares
                and len(lenders) < MAX_LENDERS
                and await self.loans.borrow(
                    job.account, job.missing_shares, tried=lenders
                )
            ):
                continue
            with anyio.move_on_after(left_s):
                await confirmed.wait()

    def screen(self, request: GatewayRequest) -> ScreenedRequest | Refused:
        """Check route and key of a request whose body has not arrived.

        Nothing is charged. The limit counts from now, as its caller does.
        """
        found = self._find_route(request)
        if isinstance(found, Refused):
            return found
        return ScreenedRequest(
            account=None if found.account is None else found.account.id,
            limit_s=min(
                found.route.timeout_s,
                math.inf
                if request.caller_timeout_s is None
                else request.caller_timeout_s,
            ),
        )

    def _find_route(self, request: GatewayRequest) -> _Routed | Refused:
        configuration = self.configuration.current
        if configuration.version == 0:
            return Refused(
                reason=Reason.NO_CONFIGURATION,
                message='no configuration is known yet',
                retry_after_s=STARTING_RETRY_S,
            )
        route = configuration.find_route(request.host, request.head.path)
        if route is None:
            return self._refuse_unknown(Reason.NO_ROUTE, 'no route')
        account = self._find_account(configuration, route, request)
        if isinstance(account, Refused):
            return account
        return _Routed(
            configuration=configuration, route=route, account=account
        )

    def _check(
        self, request: GatewayRequest, sink: AnswerSink
    ) -> Job | Refused | _Unacked:
        """Check a request once, without waiting."""
        found = self._find_route(request)
        if isinstance(found, Refused):
            return found
        service = self._pick_service(found, request)
        if service is None:
            return self._refuse_unknown(Reason.NO_ROUTE, 'no service')
        job = Job(
            request=request,
            route=found.route,
            service=service,
            account=found.account,
            sink=sink,
        )
        return self._charge_cap(job) or job

    def refund_cap(self, job: Job) -> None:
        """Refund what a request that has not run was charged."""
        if job.account is not None and job.cost:
            self.caps.refund(job.account, job.cost)
            job.cost = 0.0

    def _find_account(
        self,
        configuration: GatewayConfiguration,
        route: Route,
        request: GatewayRequest,
    ) -> AccountEntry | Refused | None:
        """Return the account of a request's key, None if it needs no key."""
        if not configuration.needs_key or route.is_anonymous:
            return None
        if self.configuration.age_s > self.limits.key_max_age_s:
            # A daemon that is partitioned from the platform, and from all
            # peers that can reach it, would otherwise accept keys that have
            # been revoked since.
            return Refused(
                reason=Reason.UNCONFIRMED,
                message='it is not known whether the key is still valid',
                retry_after_s=UNCONFIRMED_RETRY_S,
            )
        account = configuration.accounts_by_key.get(request.key or '')
        if account is None:
            return self._refuse_unknown(Reason.NOT_AUTHORISED, 'unknown key')
        return account

    def _refuse_unknown(self, reason: Reason, message: str) -> Refused:
        """Return the refusal for an unknown route, service or key."""
        if self.configuration.age_s <= self.limits.absence_max_age_s:
            return Refused(reason=reason, message=message)
        return Refused(
            reason=Reason.UNCONFIRMED,
            message=f'{message} in a configuration that may be out of date',
            retry_after_s=UNCONFIRMED_RETRY_S,
        )

    def _pick_service(
        self, found: _Routed, request: GatewayRequest
    ) -> ServiceEntry | None:
        """Return a service of a route, drawn by the weights of its split.

        A stream that is resumed stays with the service that began it.
        """
        route = found.route
        if not route.splits:
            return None
        name: ServiceName = route.splits[0].service
        origin = self.find_origin(request.resumes or '')
        services = [split.service for split in route.splits]
        if origin is not None and origin.service in services:
            name = origin.service
        elif len(route.splits) > 1:
            weights = [split.weight for split in route.splits]
            if sum(weights) > 0:
                name = self.rng.choices(route.splits, weights)[0].service
        return found.configuration.services_by_name.get(name)

    def _charge_cap(self, job: Job) -> Refused | _Unacked | None:
        """Charge a job to its account's cap, or return a refusal."""
        account = job.account
        if account is None or account.cap is None:
            return None
        cost = compute_cost(job.request, account.cap)
        refusal = self.caps.acquire(account, cost)
        if refusal is None:
            job.cost = cost
            return None
        refused = Refused(
            reason=(
                Reason.CAP_UNCONFIRMED
                if refusal.awaits_acks
                else Reason.OVER_CAP
            ),
            message=(
                f'account {account.id} is at its usage cap: '
                f'{self.caps.describe(account)}'
            ),
            retry_after_s=refusal.retry_after_s * self.rng.uniform(1.0, 1.5),
        )
        if not refusal.awaits_acks:
            return refused
        return _Unacked(
            refused=refused,
            account=account.id,
            missing_shares=refusal.missing_shares,
        )


def compute_cost(request: GatewayRequest, cap: UsageCap) -> float:
    """Return what a request is charged under a cap, in the cap's unit."""
    if not cap.is_in_tokens:
        return 1.0
    prompt = request.prompt
    if prompt is None or not prompt.tokens:
        return cap.default_tokens
    return float(prompt.tokens)

"""Which requests are let in, and which are turned away at once."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from mimosamux_daemon.domain.gateway import GatewayRequest
from mimosamux_daemon.domain.names import AccountId, DaemonId, ServiceName
from mimosamux_daemon.domain.outcomes import Reason, Refused
from mimosamux_daemon.domain.routes import (
    AccountEntry,
    GatewayConfiguration,
    Route,
    ServiceEntry,
    UsageCap,
)
from mimosamux_daemon.gateway.cap_loans import CapLoans
from mimosamux_daemon.gateway.caps import UsageCaps
from mimosamux_daemon.gateway.configuration import ConfirmedConfiguration
from mimosamux_daemon.gateway.jobs import Job
from mimosamux_daemon.ports.callers import AnswerSink

STARTING_RETRY_S = 0.5
UNCONFIRMED_RETRY_S = 0.3
"""Time after which another daemon, or this one, likely knows better."""
UNCONFIRMED_WAIT_S = 0.5
"""Longest wait for peers to confirm what they know of a cap's use. They do in
0.5 s in calm; a caller waits about as long for its first word anyway."""
MOST_LENDERS = 16
"""Daemons that are asked to lend to one request: with a quarter to spare each
they make up for its prompt, or the cap is nearly used up."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfirmationLimits:
    """How old the last confirmation of the configuration may be."""

    keys_s: float
    """Age up to which a key counts as still valid. Operators rely on it
    that a key they took away is out everywhere within a bound; this is
    below it by what a request can be under way."""
    absence_s: float
    """Age up to which an unknown route or key is said not to exist; past
    it, it may have been added since."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _Unconfirmed:
    """A cap has room that peers have not confirmed yet."""

    refused: Refused
    """What the caller is told if it stays so."""
    account: AccountId
    missing_parts: float


@dataclass(kw_only=True, slots=True)
class Admission:
    """Turns requests into jobs, under the configuration in force."""

    configuration: ConfirmedConfiguration
    caps: UsageCaps
    loans: CapLoans
    limits: ConfirmationLimits
    clock: Callable[[], float]
    rng: random.Random = field(default_factory=random.Random)

    async def admit(
        self, request: GatewayRequest, sink: AnswerSink
    ) -> Job | Refused:
        """Return the job for a request, or why there is none.

        Where peers have only to confirm that there is room under a cap, it
        is waited for or borrowed. Told to come back at once, callers tried
        again while nobody knew more: with 24 daemons 14 of 193 drafts were
        refused for good, of accounts that used a fortieth of their caps.
        """
        until = self.clock() + UNCONFIRMED_WAIT_S
        lenders: set[DaemonId] = set()
        while True:
            confirmed = self.caps.confirmed
            job = self._admit(request, sink)
            if not isinstance(job, _Unconfirmed):
                return job
            left_s = until - self.clock()
            if left_s <= 0:
                return job.refused
            if (
                job.missing_parts
                and len(lenders) < MOST_LENDERS
                and await self.loans.borrow(
                    job.account, job.missing_parts, tried=lenders
                )
            ):
                continue
            with anyio.move_on_after(left_s):
                await confirmed.wait()

    def _admit(
        self, request: GatewayRequest, sink: AnswerSink
    ) -> Job | Refused | _Unconfirmed:
        configuration = self.configuration.current
        if configuration.version == 0:
            return Refused(
                reason=Reason.NO_CONFIGURATION,
                message='no configuration is known yet',
                retry_after_s=STARTING_RETRY_S,
            )
        route = configuration.find_route(request.host, request.head.path)
        if route is None:
            return self._absent(Reason.NO_ROUTE, 'no route')
        account = self._find_account(configuration, route, request)
        if isinstance(account, Refused):
            return account
        service = self._pick_service(configuration, route)
        if service is None:
            return self._absent(Reason.NO_ROUTE, 'no service')
        job = Job(
            request=request,
            route=route,
            service=service,
            account=account,
            sink=sink,
        )
        return self._take_cap(job) or job

    def release_cap(self, job: Job) -> None:
        """Give back what a request took that has not run."""
        if job.account is not None and job.cost:
            self.caps.give_back(job.account, job.cost)
            job.cost = 0.0

    def _find_account(
        self,
        configuration: GatewayConfiguration,
        route: Route,
        request: GatewayRequest,
    ) -> AccountEntry | Refused | None:
        if not configuration.needs_key or route.is_anonymous:
            return None
        if self.configuration.age_s > self.limits.keys_s:
            # Cut off from the platform and from all who can reach it, a
            # daemon would let in whoever was locked out since.
            return Refused(
                reason=Reason.UNCONFIRMED,
                message='it is not known whether the key is still valid',
                retry_after_s=UNCONFIRMED_RETRY_S,
            )
        account = configuration.accounts_by_key.get(request.key or '')
        if account is None:
            return self._absent(Reason.NOT_AUTHORISED, 'unknown key')
        return account

    def _absent(self, reason: Reason, message: str) -> Refused:
        if self.configuration.age_s <= self.limits.absence_s:
            return Refused(reason=reason, message=message)
        return Refused(
            reason=Reason.UNCONFIRMED,
            message=f'{message} in a configuration that may be out of date',
            retry_after_s=UNCONFIRMED_RETRY_S,
        )

    def _pick_service(
        self, configuration: GatewayConfiguration, route: Route
    ) -> ServiceEntry | None:
        if not route.splits:
            return None
        name: ServiceName = route.splits[0].service
        if len(route.splits) > 1:
            weights = [split.weight for split in route.splits]
            if sum(weights) > 0:
                name = self.rng.choices(route.splits, weights)[0].service
        return configuration.services_by_name.get(name)

    def _take_cap(self, job: Job) -> Refused | _Unconfirmed | None:
        account = job.account
        if account is None or account.cap is None:
            return None
        cost = find_cost(job.request, account.cap)
        refusal = self.caps.acquire(account, cost)
        if refusal is None:
            job.cost = cost
            return None
        refused = Refused(
            reason=(
                Reason.CAP_UNCONFIRMED
                if refusal.is_unconfirmed
                else Reason.OVER_CAP
            ),
            message=(
                f'account {account.id} is at its usage cap: '
                f'{self.caps.describe(account)}'
            ),
            retry_after_s=refusal.retry_after_s * self.rng.uniform(1.0, 1.5),
        )
        if not refusal.is_unconfirmed:
            return refused
        return _Unconfirmed(
            refused=refused,
            account=account.id,
            missing_parts=refusal.missing_parts,
        )


def find_cost(request: GatewayRequest, cap: UsageCap) -> float:
    """Return what a request counts against a cap."""
    if not cap.is_in_tokens:
        return 1.0
    prompt = request.prompt
    if prompt is None or not prompt.tokens:
        return cap.default_tokens
    return float(prompt.tokens)

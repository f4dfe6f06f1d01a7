"""Admission of requests, fair between client accounts.

Nothing waits here: a request is let through to an endpoint at once or
refused at once. How full the endpoints are is told by the estimate of
the first token. An account that gets its fair part and asks for more is
refused while there is still room within the target, so that the others
find that room. The endpoints stay busy all the while, so nothing is lost
when a single account asks.
"""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

import anyio

from mimosamux_daemon.domain.names import AccountId, ClassName, RequestId
from mimosamux_daemon.domain.outcomes import Reason, Refused
from mimosamux_daemon.domain.work import Account, ModelRequest, ServiceCall
from mimosamux_daemon.errors import InvariantBroken
from mimosamux_daemon.serving.fair_shares import FairShares

BUSY_RETRY_S = 1.0
CEILING_RETRY_S = 60.0
LEAST_RETRY_S = 0.1


@dataclass(frozen=True, kw_only=True, slots=True)
class AdmissionPolicy:
    """Constants of admission; docs/DECISIONS.md has the sweeps."""

    window_s: float = 5.0
    """Time over which the use of an account is averaged."""
    full_share: float = 1.0
    """Share of the target up to which requests are let through."""
    over_share: float = 0.7
    """The same for an account that is over its fair part."""
    unsure_share: float = 0.5
    """The same for that account at endpoints that others watch.

    All daemons would otherwise fill what looks like the same room there
    before any of them hears of it.
    """


def _no_classes() -> frozenset[ClassName]:
    return frozenset()


class Admission:
    """Lets requests through or refuses them, and counts the open ones."""

    def __init__(
        self,
        *,
        over_ceiling: Callable[[], frozenset[ClassName]] = _no_classes,
        policy: AdmissionPolicy | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self._over_ceiling = over_ceiling
        self._policy = AdmissionPolicy() if policy is None else policy
        self._rng = random.Random() if rng is None else rng
        self.shares = FairShares(window_s=self._policy.window_s)
        self._open_by_account: Counter[AccountId] = Counter()
        self._account_by_request: dict[RequestId, AccountId] = {}

    def acquire(
        self,
        account: Account,
        request: ModelRequest | ServiceCall,
        *,
        first_token_s: float = 0.0,
        is_sure: bool = True,
        tokens: float = 1.0,
    ) -> Refused | None:
        """Count a request in; a refusal counts nothing as open.

        `first_token_s` is the estimate of the choice made for it,
        `is_sure` tells whether this daemon watches the endpoint, and
        `tokens` is the work that the request brings.
        """
        if request.id in self._account_by_request:
            raise InvariantBroken(f'request {request.id} acquired twice')
        self.shares.note_offered(
            account.id,
            share=account.share,
            tokens=tokens,
            now=anyio.current_time(),
        )
        limit = self._limit_share(account.id, is_sure)
        refused = self._find_refusal(account, request, first_token_s, limit)
        if refused is not None:
            return refused
        self.shares.note_admitted(account.id, tokens=tokens)
        self._open_by_account[account.id] += 1
        self._account_by_request[request.id] = account.id
        return None

    def release(self, request: RequestId) -> None:
        """Count a request out; exactly once for each that was let in."""
        account = self._account_by_request.pop(request, None)
        if account is None:
            raise InvariantBroken(f'request {request} is not counted in')
        self._open_by_account[account] -= 1
        if not self._open_by_account[account]:
            del self._open_by_account[account]

    def open_requests(self, account: AccountId) -> int:
        """Return the number of requests an account has open here."""
        return self._open_by_account[account]

    def note_refused(self, account: Account, *, tokens: float = 1.0) -> None:
        """Count work that was refused before admission was asked.

        A request for which the router finds no endpoint in time is
        demand all the same; without it an account that floods would
        look as if it got all that it asks for.
        """
        self.shares.note_offered(
            account.id,
            share=account.share,
            tokens=tokens,
            now=anyio.current_time(),
        )

    def _find_refusal(
        self,
        account: Account,
        request: ModelRequest | ServiceCall,
        first_token_s: float,
        limit_share: float,
    ) -> Refused | None:
        work_class = request.work_class
        if work_class.name in self._over_ceiling():
            return Refused(
                reason=Reason.CEILING,
                message=f'class {work_class.name} is at its cost ceiling',
                retry_after_s=CEILING_RETRY_S,
            )
        if self._open_by_account[account.id] >= account.max_open:
            return Refused(
                reason=Reason.ACCOUNT_BUSY,
                message=f'{account.max_open} requests are open already',
                retry_after_s=BUSY_RETRY_S,
            )
        limit_s = work_class.first_token_s * limit_share
        if first_token_s <= limit_s:
            return None
        wait_s = max(first_token_s - limit_s, LEAST_RETRY_S)
        return Refused(
            reason=Reason.OVERLOADED,
            message=f'the first token would take {first_token_s:.1f} s',
            retry_after_s=round(wait_s * self._rng.uniform(1.0, 1.5), 3),
        )

    def _limit_share(self, account: AccountId, is_sure: bool) -> float:
        if not self.shares.is_over(account):
            return self._policy.full_share
        if is_sure:
            return self._policy.over_share
        return self._policy.unsure_share

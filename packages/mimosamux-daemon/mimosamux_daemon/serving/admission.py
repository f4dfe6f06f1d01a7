"""Admission control with max-min fairness between client accounts.

There is no admission queue: each request is admitted or refused at once.
The estimated time to the first token measures how loaded the endpoints
are; a request is refused if the estimate exceeds a fraction of its
class's target. The fraction is lower for an account that already has its
fair share and asks for more, which leaves capacity to other accounts.
Admitted work keeps the endpoints busy even at the lower limit, so a
single active account loses no throughput.
"""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

import anyio

from mimosamux_daemon.domain.names import AccountId, ClassName, RequestId
from mimosamux_daemon.domain.outcomes import Reason, Refused
from mimosamux_daemon.domain.work import Account, ModelRequest, ServiceCall
from mimosamux_daemon.errors import InvariantViolation
from mimosamux_daemon.serving.fair_shares import FairShares

ACCOUNT_BUSY_RETRY_S = 1.0
COST_CEILING_RETRY_S = 60.0
MIN_RETRY_S = 0.1


@dataclass(frozen=True, kw_only=True, slots=True)
class AdmissionPolicy:
    """Constants of admission; docs/DECISIONS.md has the parameter sweeps.

    The fractions apply to the first-token target of the request's class.
    """

    window_s: float = 5.0
    """Time constant of the exponential average of an account's usage."""
    admit_fraction: float = 1.0
    """Limit on the estimated time to the first token."""
    over_fair_fraction: float = 0.7
    """Limit for an account that is over its fair share."""
    unowned_fraction: float = 0.5
    """Limit for such an account at endpoints that other daemons own.

    This daemon's view of their load lags. With the higher limit, all
    daemons would use the same apparently free capacity before the next
    digests show it as taken.
    """


def _no_classes() -> frozenset[ClassName]:
    return frozenset()


class Admission:
    """Admits or refuses requests and counts the open ones by account."""

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
        is_own: bool = True,
        tokens: float = 1.0,
    ) -> Refused | None:
        """Admit a request and count it as open, or return a refusal.

        `first_token_s` is the estimated time to the first token at the
        chosen endpoint, `is_own` says whether this daemon owns that
        endpoint, and `tokens` is the work of the request. A refused
        request counts as demand of its account, but not as open.
        """
        if request.id in self._account_by_request:
            raise InvariantViolation(f'request {request.id} admitted twice')
        self.shares.note_offered(
            account.id,
            share=account.share,
            tokens=tokens,
            now=anyio.current_time(),
        )
        limit = self._find_limit_fraction(account.id, is_own)
        refused = self._find_refusal(account, request, first_token_s, limit)
        if refused is not None:
            return refused
        self.shares.note_admitted(account.id, tokens=tokens)
        self._open_by_account[account.id] += 1
        self._account_by_request[request.id] = account.id
        return None

    def release(self, request: RequestId) -> None:
        """Stop counting a request as open; once for each admitted one."""
        account = self._account_by_request.pop(request, None)
        if account is None:
            raise InvariantViolation(
                f'request {request} released but not admitted'
            )
        self._open_by_account[account] -= 1
        if not self._open_by_account[account]:
            del self._open_by_account[account]

    def open_requests(self, account: AccountId) -> int:
        """Return the number of open requests of an account here."""
        return self._open_by_account[account]

    def note_refused(self, account: Account, *, tokens: float = 1.0) -> None:
        """Count the demand of a request that the router has refused.

        Without it, an account that overloads the endpoints would look
        as if all of its demand were met.
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
        limit_fraction: float,
    ) -> Refused | None:
        work_class = request.work_class
        if work_class.name in self._over_ceiling():
            return Refused(
                reason=Reason.CEILING,
                message=f'class {work_class.name} is at its cost ceiling',
                retry_after_s=COST_CEILING_RETRY_S,
            )
        if self._open_by_account[account.id] >= account.max_open:
            return Refused(
                reason=Reason.ACCOUNT_BUSY,
                message=f'{account.max_open} requests are open already',
                retry_after_s=ACCOUNT_BUSY_RETRY_S,
            )
        limit_s = work_class.first_token_s * limit_fraction
        if first_token_s <= limit_s:
            return None
        wait_s = max(first_token_s - limit_s, MIN_RETRY_S)
        return Refused(
            reason=Reason.OVERLOADED,
            message=f'the first token would take {first_token_s:.1f} s',
            retry_after_s=round(wait_s * self._rng.uniform(1.0, 1.5), 3),
        )

    def _find_limit_fraction(self, account: AccountId, is_own: bool) -> float:
        if not self.shares.is_over(account):
            return self._policy.admit_fraction
        if is_own:
            return self._policy.over_fair_fraction
        return self._policy.unowned_fraction

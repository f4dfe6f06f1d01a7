"""Admission of requests, fair between client accounts."""

from collections import Counter

from mimosamux_daemon.domain.names import AccountId
from mimosamux_daemon.domain.outcomes import Reason, Refused
from mimosamux_daemon.domain.work import Account


class Admission:
    """Counts open requests of each account and refuses the excess."""

    def __init__(self) -> None:
        self._open_by_account: Counter[AccountId] = Counter()

    def acquire(self, account: Account) -> Refused | None:
        """Count one request in; a refusal counts nothing."""
        if self._open_by_account[account.id] >= account.max_open:
            return Refused(
                reason=Reason.ACCOUNT_BUSY,
                message=f'{account.max_open} requests are open already',
                retry_after_s=1.0,
            )
        self._open_by_account[account.id] += 1
        return None

    def release(self, account: AccountId) -> None:
        """Count one request out."""
        self._open_by_account[account] -= 1

"""Ledger of the allotment shares that a daemon has lent and borrowed."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from mimosamux_daemon.domain.names import AccountId

LOAN_S = 1.0
"""Time after its request for which a borrowed share may be used. A borrower
that dies reports nothing, so its lender waits for this time plus one window,
after which no use of the share can still count."""

LoanId = tuple[int, int]
"""Incarnation of the borrower, and the borrower's number for the loan."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _Lent:
    share: float
    expires_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class _Borrowed:
    account: AccountId
    share: float
    usable_until: float
    in_window_until: float
    """Time at which all use of the share has left the window."""


@dataclass(kw_only=True, slots=True)
class LoanBook:
    """The loans of one daemon, as shares of an allotment.

    An allotment shrinks and grows with the remaining cap. A share scales with
    it on both sides, so that lender and borrower together never have more than
    their two allotments.
    """

    window_s: float
    clock: Callable[[], float]
    _lent_by_account: dict[AccountId, dict[LoanId, _Lent]] = field(
        default_factory=dict
    )
    _borrowed_by_number: dict[int, _Borrowed] = field(default_factory=dict)
    _unneeded: list[int] = field(default_factory=list)

    def lent_share(self, account: AccountId) -> float:
        """Return the share of the own allotment that is lent to others."""
        loans = self._lent_by_account.get(account)
        if not loans:
            return 0.0
        now = self.clock()
        for id_ in [
            id_ for id_, each in loans.items() if now >= each.expires_at
        ]:
            del loans[id_]
        return sum(each.share for each in loans.values())

    def lend(self, account: AccountId, id_: LoanId, share: float) -> None:
        """Record a share of the own allotment as lent to another daemon."""
        expires_at = self.clock() + LOAN_S + self.window_s
        loans = self._lent_by_account.setdefault(account, {})
        loans[id_] = _Lent(share=share, expires_at=expires_at)

    def remove_lent(self, account: AccountId, id_: LoanId) -> None:
        """Remove a returned loan; an unknown one changes nothing."""
        self._lent_by_account.get(account, {}).pop(id_, None)

    def add_borrowed(
        self,
        number: int,
        account: AccountId,
        share: float,
        requested_at: float,
    ) -> None:
        """Record a share that another daemon has lent to this one."""
        usable_until = requested_at + LOAN_S
        self._borrowed_by_number[number] = _Borrowed(
            account=account,
            share=share,
            usable_until=usable_until,
            in_window_until=usable_until + self.window_s,
        )

    def borrowed_share(self, account: AccountId) -> float:
        """Return the sum of the borrowed shares that may be used now."""
        now = self.clock()
        return sum(
            each.share
            for each in self._borrowed_by_number.values()
            if each.account == account and now < each.usable_until
        )

    def mark_unneeded(
        self, needed_by_account: Mapping[AccountId, float]
    ) -> None:
        """Mark the borrowed shares that the own use does not need.

        `needed_by_account` is the number of borrowed allotments that the
        unacknowledged use of each account takes up.
        """
        now = self.clock()
        needed = dict(needed_by_account)
        for number, each in tuple(self._borrowed_by_number.items()):
            if now < each.usable_until:
                continue
            still_needed = needed.get(each.account, 0.0)
            if still_needed > 0 and now < each.in_window_until:
                needed[each.account] = still_needed - each.share
                continue
            del self._borrowed_by_number[number]
            self._unneeded.append(number)

    def borrowing_accounts(self) -> set[AccountId]:
        """Return the accounts for which shares are borrowed."""
        return {each.account for each in self._borrowed_by_number.values()}

    def pop_unneeded(self) -> list[int]:
        """Return the numbers of the loans to return, each once."""
        unneeded, self._unneeded = self._unneeded, []
        return unneeded

"""Which shares of a daemon's part of a cap are lent, and which borrowed."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from mimosamux_daemon.domain.names import AccountId

USABLE_S = 1.0
"""Time from asking in which a borrowed share may be used. Nothing is heard
of a daemon that dies with it, so its lender has to wait for this time and a
window on top before its uses surely count no more."""

LoanId = tuple[int, int]
"""Lifetime of the borrower, and its number for the loan."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _Lent:
    share: float
    until: float


@dataclass(frozen=True, kw_only=True, slots=True)
class _Borrowed:
    account: AccountId
    share: float
    usable_until: float
    counts_until: float
    """When all that was used with it has left the window."""


@dataclass(kw_only=True, slots=True)
class LoanBook:
    """The loans of one daemon, in shares of one daemon's part of a cap.

    A part shrinks and grows with what is left of the cap. A share shrinks
    with it on both sides, so that lender and borrower together never have
    more than their two parts.
    """

    window_s: float
    clock: Callable[[], float]
    _lent_by_account: dict[AccountId, dict[LoanId, _Lent]] = field(
        default_factory=dict
    )
    _borrowed_by_number: dict[int, _Borrowed] = field(default_factory=dict)
    _unneeded: list[int] = field(default_factory=list)

    def lent(self, account: AccountId) -> float:
        """Return the share of the own part that is with other daemons."""
        loans = self._lent_by_account.get(account)
        if not loans:
            return 0.0
        now = self.clock()
        for id_ in [id_ for id_, each in loans.items() if now >= each.until]:
            del loans[id_]
        return sum(each.share for each in loans.values())

    def lend(self, account: AccountId, id_: LoanId, share: float) -> None:
        """Leave a share of the own part to another daemon."""
        until = self.clock() + USABLE_S + self.window_s
        loans = self._lent_by_account.setdefault(account, {})
        loans[id_] = _Lent(share=share, until=until)

    def note_returned(self, account: AccountId, id_: LoanId) -> None:
        """Have a share again; an unknown loan changes nothing."""
        self._lent_by_account.get(account, {}).pop(id_, None)

    def note_borrowed(
        self, number: int, account: AccountId, share: float, asked_at: float
    ) -> None:
        """Count a share of another daemon as this one's."""
        usable_until = asked_at + USABLE_S
        self._borrowed_by_number[number] = _Borrowed(
            account=account,
            share=share,
            usable_until=usable_until,
            counts_until=usable_until + self.window_s,
        )

    def borrowed(self, account: AccountId) -> float:
        """Return the borrowed shares that may be used now."""
        now = self.clock()
        return sum(
            each.share
            for each in self._borrowed_by_number.values()
            if each.account == account and now < each.usable_until
        )

    def settle(self, needed_by_account: Mapping[AccountId, float]) -> None:
        """Mark the shares that own uses need no longer to be given back.

        `needed_by_account` says how much of borrowed parts the uses that
        are not confirmed yet take up.
        """
        now = self.clock()
        needed = dict(needed_by_account)
        for number, each in tuple(self._borrowed_by_number.items()):
            if now < each.usable_until:
                continue
            still_needed = needed.get(each.account, 0.0)
            if still_needed > 0 and now < each.counts_until:
                needed[each.account] = still_needed - each.share
                continue
            del self._borrowed_by_number[number]
            self._unneeded.append(number)

    def accounts(self) -> set[AccountId]:
        """Return the accounts of whose caps shares are borrowed."""
        return {each.account for each in self._borrowed_by_number.values()}

    def pop_unneeded(self) -> list[int]:
        """Return the loans to give back, each once."""
        unneeded, self._unneeded = self._unneeded, []
        return unneeded

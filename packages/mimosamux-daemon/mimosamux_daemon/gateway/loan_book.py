"""Which parts of caps are lent, and which are borrowed."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from mimosamux_daemon.domain.names import AccountId

USABLE_S = 1.0
"""Time from asking in which a borrowed part may be used. Nothing is heard
of a daemon that dies with it, so its lender has to wait for this time and a
window on top before its uses surely count no more."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _Lent:
    lifetime: int
    """Process of the borrower."""
    number: int
    until: float


@dataclass(kw_only=True, slots=True)
class _Borrowed:
    account: AccountId
    usable_until: float
    counts_until: float
    """When all that was used with it has left the window."""


@dataclass(kw_only=True, slots=True)
class LoanBook:
    """The loans of one daemon, by account."""

    window_s: float
    clock: Callable[[], float]
    _lent_by_account: dict[AccountId, _Lent] = field(default_factory=dict)
    _borrowed_by_number: dict[int, _Borrowed] = field(default_factory=dict)
    _unneeded: list[int] = field(default_factory=list)

    def is_lent(self, account: AccountId) -> bool:
        """Whether the own part of a cap is with another daemon."""
        lent = self._lent_by_account.get(account)
        if lent is not None and self.clock() >= lent.until:
            del self._lent_by_account[account]
            return False
        return lent is not None

    def lend(self, account: AccountId, lifetime: int, number: int) -> None:
        """Leave the own part to another daemon."""
        self._lent_by_account[account] = _Lent(
            lifetime=lifetime,
            number=number,
            until=self.clock() + USABLE_S + self.window_s,
        )

    def note_returned(
        self, account: AccountId, lifetime: int, number: int
    ) -> None:
        """Have the own part again; an unknown loan changes nothing."""
        lent = self._lent_by_account.get(account)
        if lent is not None and (lent.lifetime, lent.number) == (
            lifetime,
            number,
        ):
            del self._lent_by_account[account]

    def note_borrowed(
        self, number: int, account: AccountId, asked_at: float
    ) -> None:
        """Count the part of another daemon as this one's."""
        usable_until = asked_at + USABLE_S
        self._borrowed_by_number[number] = _Borrowed(
            account=account,
            usable_until=usable_until,
            counts_until=usable_until + self.window_s,
        )

    def usable(self, account: AccountId) -> int:
        """Return how many borrowed parts may be used now."""
        now = self.clock()
        return sum(
            each.account == account and now < each.usable_until
            for each in self._borrowed_by_number.values()
        )

    def settle(self, needed_by_account: Counter[AccountId]) -> None:
        """Mark the parts that own uses need no longer to be given back.

        `needed_by_account` says how many borrowed parts the uses that are
        not confirmed yet take up.
        """
        now = self.clock()
        needed = needed_by_account.copy()
        for number, each in tuple(self._borrowed_by_number.items()):
            if now < each.usable_until:
                continue
            if needed[each.account] > 0 and now < each.counts_until:
                needed[each.account] -= 1
                continue
            del self._borrowed_by_number[number]
            self._unneeded.append(number)

    def accounts(self) -> set[AccountId]:
        """Return the accounts of whose caps parts are borrowed."""
        return {each.account for each in self._borrowed_by_number.values()}

    def pop_unneeded(self) -> list[int]:
        """Return the loans to give back, each once."""
        unneeded, self._unneeded = self._unneeded, []
        return unneeded

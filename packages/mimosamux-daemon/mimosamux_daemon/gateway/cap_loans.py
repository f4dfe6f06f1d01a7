"""Parts of caps that daemons lend each other.

Each daemon may let through an equal part of what is left of a cap before its
peers confirm to know of it. With many daemons a part is smaller than one long
prompt, while most of them have nothing of the account under way. So one that
needs more borrows the parts of others: whoever lends one uses nothing until
it is given back, and all of them together still have each part once.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from mimosamux_wire import CapLoan, CapLoanReturned, CapLoanWanted

from mimosamux_daemon.control.members import MemberState
from mimosamux_daemon.domain.names import AccountId, DaemonId
from mimosamux_daemon.gateway.caps import UsageCaps
from mimosamux_daemon.gateway.peer_states import PeerStates
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports import Peers

log = get_log('cap_loans')

ASK_S = 0.1
"""Longest wait for a lender; it answers within a few ms, and the caller
waits meanwhile."""
SPARE_LENDERS = 1
"""Lenders asked beyond those needed: one may have uses of its own."""
MOST_LOANS = 6
"""Loans for one request at most: what needs more is near the cap, where the
parts are worth too little."""
RETURN_POLL_S = 0.2


@dataclass(kw_only=True, slots=True)
class CapLoans:
    """Borrows parts of caps, lends own ones, and gives borrowed ones back."""

    caps: UsageCaps
    states: PeerStates
    peers: Peers
    clock: Callable[[], float]
    rng: random.Random
    _number: int = 0
    _owed: dict[int, tuple[AccountId, DaemonId]] = field(default_factory=dict)
    """Whom each borrowed part is to be given back to."""

    def __post_init__(self) -> None:
        self.peers.handle(CapLoanWanted, self._lend)
        self.peers.handle(CapLoanReturned, self._take_back)

    async def borrow(self, account: AccountId, parts: int) -> bool:
        """Borrow some parts; whether any was granted."""
        lenders = self._find_lenders(min(parts, MOST_LOANS) + SPARE_LENDERS)
        granted: list[DaemonId] = []

        async def ask(lender: DaemonId) -> None:
            if await self._ask(lender, account):
                granted.append(lender)

        async with anyio.create_task_group() as tasks:
            for lender in lenders:
                tasks.start_soon(ask, lender)
        log.info(
            'cap_borrowed',
            account=account,
            wanted=parts,
            asked=len(lenders),
            granted=len(granted),
        )
        return bool(granted)

    async def run(self) -> None:
        """Give back what is not needed any more, until cancelled."""
        while True:
            await anyio.sleep(RETURN_POLL_S)
            await self.return_unneeded()

    async def return_unneeded(self) -> None:
        """Give back the parts that own uses need no longer."""
        self.caps.settle_loans()
        for number in self.caps.loans.pop_unneeded():
            account, lender = self._owed.pop(number)
            await self.peers.notify(
                lender,
                CapLoanReturned(
                    account=account,
                    lifetime=self.states.lifetime,
                    number=number,
                ),
            )

    def _find_lenders(self, count: int) -> list[DaemonId]:
        """Return daemons to ask, those of the own data centre first."""
        here = self.states.place.data_centre
        ready = [
            peer
            for peer in self.states.fresh()
            if peer.state is MemberState.READY
        ]
        self.rng.shuffle(ready)
        ready.sort(key=lambda peer: peer.place.data_centre != here)
        return [peer.place.id for peer in ready[:count]]

    async def _ask(self, lender: DaemonId, account: AccountId) -> bool:
        self._number += 1
        number = self._number
        asked_at = self.clock()
        answer = await self.peers.call(
            lender,
            CapLoanWanted(
                account=account, lifetime=self.states.lifetime, number=number
            ),
            timeout_s=ASK_S,
        )
        if not isinstance(answer, CapLoan) or not answer.is_granted:
            return False
        self._owed[number] = (account, lender)
        self.caps.loans.note_borrowed(number, account, asked_at)
        return True

    async def _lend(self, sender: DaemonId, message: CapLoanWanted) -> CapLoan:
        account = AccountId(message.account)
        is_granted = self.caps.lend(account, message.lifetime, message.number)
        return CapLoan(is_granted=is_granted)

    async def _take_back(
        self, sender: DaemonId, message: CapLoanReturned
    ) -> None:
        self.caps.loans.note_returned(
            AccountId(message.account), message.lifetime, message.number
        )

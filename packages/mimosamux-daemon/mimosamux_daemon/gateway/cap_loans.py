"""Shares of caps that daemons lend each other.

Each daemon may let through an equal part of what is left of a cap before its
peers confirm to know of it. With many daemons a part is smaller than one long
prompt, while most of them have nothing of the account under way. So one that
needs more borrows from others: whoever lends a share of its part does without
until it is given back, and all of them together still have each part once.
"""

import math
import random
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

import anyio
from mimosamux_wire import CapLoan, CapLoanReturned, CapLoanWanted

from mimosamux_daemon.domain.names import AccountId, DaemonId
from mimosamux_daemon.gateway.caps import UsageCaps
from mimosamux_daemon.gateway.peer_states import PeerStates
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports import Peers

log = get_log('cap_loans')

ASK_S = 0.1
"""Longest wait for a lender; it answers within a few ms, and the caller
waits meanwhile."""
USUAL_SHARE = 0.5
"""Share of a part that one daemon is asked for at most: most of them have
so much to spare."""
SPARE_LENDERS = 1
"""Lenders asked beyond those needed: one may have uses of its own."""
MOST_LOANS = 6
"""Loans for one request at most: what needs more is near the cap, where the
parts are worth too little."""
RETURN_POLL_S = 0.2


@dataclass(kw_only=True, slots=True)
class CapLoans:
    """Borrows shares of caps, lends own ones, gives borrowed ones back."""

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

    async def borrow(
        self, account: AccountId, parts: float, *, tried: set[DaemonId]
    ) -> bool:
        """Borrow as much as some parts of a cap; False if nobody is left.

        Who was asked is added to `tried`, and not asked again.
        """
        count = min(math.ceil(parts / USUAL_SHARE), MOST_LOANS)
        lenders = self._find_lenders(count + SPARE_LENDERS, tried)
        tried.update(lenders)
        granted: list[float] = []

        async def ask(lender: DaemonId) -> None:
            granted.append(await self._ask(lender, account, parts / count))

        async with anyio.create_task_group() as tasks:
            for lender in lenders:
                tasks.start_soon(ask, lender)
        log.info(
            'cap_borrowed',
            account=account,
            wanted=round(parts, 3),
            asked=len(lenders),
            granted=round(sum(granted), 3),
        )
        return bool(lenders)

    async def run(self) -> None:
        """Give back what is not needed any more, until cancelled."""
        while True:
            await anyio.sleep(RETURN_POLL_S)
            await self.return_unneeded()

    async def return_unneeded(self) -> None:
        """Give back the shares that own uses need no longer."""
        self.caps.settle_loans()
        for number in self.caps.loans.pop_unneeded():
            account, lender = self._owed.pop(number)
            await self.peers.notify(
                lender,
                CapLoanReturned(
                    account=account,
                    lifetime=self.states.incarnation,
                    number=number,
                ),
            )

    def _find_lenders(
        self, count: int, tried: Collection[DaemonId] = ()
    ) -> list[DaemonId]:
        """Return daemons to ask, those of the own data centre first."""
        here = self.states.place.data_centre
        ready = [
            peer for peer in self.states.ready() if peer.place.id not in tried
        ]
        self.rng.shuffle(ready)
        ready.sort(key=lambda peer: peer.place.data_centre != here)
        return [peer.place.id for peer in ready[:count]]

    async def _ask(
        self, lender: DaemonId, account: AccountId, share: float
    ) -> float:
        """Return the share of its part that a daemon has lent."""
        self._number += 1
        number = self._number
        asked_at = self.clock()
        answer = await self.peers.call(
            lender,
            CapLoanWanted(
                account=account,
                lifetime=self.states.incarnation,
                number=number,
                share=share,
            ),
            timeout_s=ASK_S,
        )
        if not isinstance(answer, CapLoan) or answer.share <= 0:
            return 0.0
        self._owed[number] = (account, lender)
        loans = self.caps.loans
        loans.note_borrowed(number, account, answer.share, asked_at)
        return answer.share

    async def _lend(self, sender: DaemonId, message: CapLoanWanted) -> CapLoan:
        account = AccountId(message.account)
        id_ = (message.lifetime, message.number)
        return CapLoan(share=self.caps.lend(account, id_, message.share))

    async def _take_back(
        self, sender: DaemonId, message: CapLoanReturned
    ) -> None:
        self.caps.loans.note_returned(
            AccountId(message.account), (message.lifetime, message.number)
        )

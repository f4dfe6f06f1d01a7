"""Borrows and lends shares of usage cap allotments between daemons.

Each daemon may admit an equal share of a remaining cap, its allotment, before
its peers acknowledge the use. With many daemons an allotment is smaller than
one long prompt, while most daemons have no unacknowledged use of the account.
A daemon that needs more therefore borrows: a lender does without the share
that it lends until it is returned, so all daemons together never have more
than their allotments.
"""

import math
import random
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

import anyio
from mimosamux_wire import CapLoan, CapLoanReturned, CapLoanWanted

from mimosamux_daemon.domain.names import AccountId, DaemonId
from mimosamux_daemon.gateway.exchange.peer_states import PeerStates
from mimosamux_daemon.gateway.limits.caps import UsageCaps
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports import Peers

log = get_log('cap_loans')

BORROW_TIMEOUT_S = 0.1
"""Timeout of a loan request. A lender answers within a few ms, and the
client's request waits meanwhile."""
MAX_SHARE_PER_LOAN = 0.5
"""Largest share of its allotment that one daemon is asked for: most daemons
can spare that much."""
EXTRA_LENDERS = 1
"""Lenders asked in addition to those needed, as one may need its allotment
itself."""
MAX_LOANS = 6
"""Maximum number of loans for one client request: a request that needs more is
close to the cap, where allotments are too small to help."""
RETURN_POLL_S = 0.2


@dataclass(kw_only=True, slots=True)
class CapLoans:
    """Requests, grants and returns loans of allotment shares."""

    caps: UsageCaps
    states: PeerStates
    peers: Peers
    clock: Callable[[], float]
    rng: random.Random
    _last_number: int = 0
    _lender_by_loan: dict[int, tuple[AccountId, DaemonId]] = field(
        default_factory=dict
    )
    """Account and lender of each borrowed share, by loan number."""
    _borrowed: anyio.Event = field(default_factory=anyio.Event)
    """Set, and replaced by a new one, when a share is borrowed."""

    def __post_init__(self) -> None:
        self.peers.handle(CapLoanWanted, self._handle_request)
        self.peers.handle(CapLoanReturned, self._handle_return)

    async def borrow(
        self, account: AccountId, shares: float, *, tried: set[DaemonId]
    ) -> bool:
        """Borrow `shares` allotments of a cap; False if no lender is left.

        Daemons that were asked are added to `tried`, and not asked again.
        """
        count = min(math.ceil(shares / MAX_SHARE_PER_LOAN), MAX_LOANS)
        lenders = self._find_lenders(count + EXTRA_LENDERS, tried)
        tried.update(lenders)
        granted: list[float] = []

        async def request(lender: DaemonId) -> None:
            granted.append(
                await self._request_loan(lender, account, shares / count)
            )

        async with anyio.create_task_group() as tasks:
            for lender in lenders:
                tasks.start_soon(request, lender)
        log.info(
            'cap_borrowed',
            account=account,
            wanted=round(shares, 3),
            asked=len(lenders),
            granted=round(sum(granted), 3),
        )
        return bool(lenders)

    async def run(self) -> None:
        """Return unneeded shares until cancelled."""
        while True:
            if not self._lender_by_loan:
                await self._borrowed.wait()
            await anyio.sleep(RETURN_POLL_S)
            await self.return_unneeded()

    async def return_unneeded(self) -> None:
        """Return the borrowed shares that the own use does not need."""
        self.caps.mark_unneeded_loans()
        for number in self.caps.loans.pop_unneeded():
            account, lender = self._lender_by_loan.pop(number)
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
        """Return lenders to ask, those of the own data centre first."""
        own_data_centre = self.states.place.data_centre
        ready = [
            peer for peer in self.states.ready() if peer.place.id not in tried
        ]
        self.rng.shuffle(ready)
        ready.sort(key=lambda peer: peer.place.data_centre != own_data_centre)
        return [peer.place.id for peer in ready[:count]]

    async def _request_loan(
        self, lender: DaemonId, account: AccountId, share: float
    ) -> float:
        """Request a loan and return the share of the lender's allotment."""
        self._last_number += 1
        number = self._last_number
        requested_at = self.clock()
        answer = await self.peers.call(
            lender,
            CapLoanWanted(
                account=account,
                lifetime=self.states.incarnation,
                number=number,
                share=share,
            ),
            timeout_s=BORROW_TIMEOUT_S,
        )
        if not isinstance(answer, CapLoan) or answer.share <= 0:
            return 0.0
        self._lender_by_loan[number] = (account, lender)
        self._borrowed.set()
        self._borrowed = anyio.Event()
        loans = self.caps.loans
        loans.add_borrowed(number, account, answer.share, requested_at)
        return answer.share

    async def _handle_request(
        self, sender: DaemonId, message: CapLoanWanted
    ) -> CapLoan:
        account = AccountId(message.account)
        id_ = (message.lifetime, message.number)
        return CapLoan(share=self.caps.lend(account, id_, message.share))

    async def _handle_return(
        self, sender: DaemonId, message: CapLoanReturned
    ) -> None:
        self.caps.loans.remove_lent(
            AccountId(message.account), (message.lifetime, message.number)
        )

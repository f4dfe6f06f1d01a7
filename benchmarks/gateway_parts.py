"""The parts of a busy daemon that write and read digests, and their load."""

import itertools
import random
from collections.abc import Callable

from mimosamux_daemon.domain.gateway import (
    ListedEndpoint,
    PromptInfo,
    PromptPart,
)
from mimosamux_daemon.domain.names import (
    AccountId,
    DataCentreName,
    EndpointId,
    ServiceName,
)
from mimosamux_daemon.domain.routes import AccountEntry, UsageCap
from mimosamux_daemon.gateway.balancing.endpoint_record import EndpointRecord
from mimosamux_daemon.gateway.balancing.prefix_cache_index import (
    PrefixCacheIndex,
)
from mimosamux_daemon.gateway.demand import Demand
from mimosamux_daemon.gateway.exchange.endpoint_usage_exchange import (
    EndpointUsageExchange,
)
from mimosamux_daemon.gateway.exchange.peer_states import (
    DigestPart,
    PeerStates,
)
from mimosamux_daemon.gateway.limits.caps import CapRules, UsageCaps
from mimosamux_daemon.gateway.limits.endpoint_limits import EndpointLimits
from mimosamux_daemon.gateway.request_counts import RequestCounts
from mimosamux_daemon.gateway.rollouts import RolloutLimits, Rollouts
from mimosamux_daemon.gateway.roster import Roster
from mimosamux_daemon.gateway.shared_time import SharedTime
from mimosamux_daemon.gateway.store_health import StoreHealth
from mimosamux_daemon.gateway.trial_tallies import TrialTallies

ENDPOINTS = 48
ACCOUNTS = 12
CAP = UsageCap(rate_per_s=1e6, burst=1e6)
REQUEST_TOKENS = 2368
WALL_OFFSET_S = 1.7e9
USAGE_WINDOW_S = 5.0
SERVICE = ServiceName('engines')
_part_ids = itertools.count()


class BusyParts:
    """All parts with fields in the digests, and requests that fill them."""

    def __init__(
        self,
        *,
        states: PeerStates,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._clock, self._rng = clock, rng
        time = SharedTime(
            clock=clock, wall_clock=lambda: clock() + WALL_OFFSET_S
        )
        time.note_store_time(clock())
        roster = Roster(
            clock=clock,
            time_of_day=time.now,
            health=StoreHealth(clock=clock),
        )
        for number in range(ENDPOINTS):
            record = _make_record(number, clock())
            roster.by_id[record.id] = record
        self._records = list(roster.by_id.values())
        self._open: list[EndpointRecord] = []
        self._counts = RequestCounts(window_s=USAGE_WINDOW_S, now=time.now)
        self._demand = Demand(clock=clock)
        self._index = PrefixCacheIndex(is_current=roster.is_current)
        self._caps = UsageCaps(
            states=states,
            rules=CapRules(window_s=8.0, overage=0.1, tolerance=20.0),
            clock=clock,
        )
        rollouts = Rollouts(
            limits=RolloutLimits(),
            serving=lambda _: [],
            is_isolated=states.is_alone,
            clock=clock,
        )
        self.all: list[DigestPart] = [
            EndpointUsageExchange(roster=roster, clock=clock),
            EndpointLimits(
                roster=roster, states=states, shared_time=time, clock=clock
            ),
            self._caps,
            time,
            self._counts,
            self._demand,
            self._index,
            TrialTallies(rollouts=rollouts, roster=roster),
        ]

    def send_requests(self, count: int) -> None:
        """End the requests sent before, and send as many new ones."""
        now = self._clock()
        for record in self._open:
            record.load.end(REQUEST_TOKENS)
            record.health.note(now, failed=False)
        self._open = self._rng.choices(self._records, k=count)
        for record in self._open:
            account = AccountId(f'account-{self._rng.randrange(ACCOUNTS)}')
            self._caps.acquire(AccountEntry(id=account, cap=CAP), 1.0)
            self._counts.increment(account)
            self._demand.note(SERVICE, 0.2)
            record.load.begin(REQUEST_TOKENS)
            parts = (
                PromptPart(id=f'part-{next(_part_ids)}', tokens=568),
                PromptPart(id='own', tokens=1800),
            )
            self._index.note_read(
                record.id, PromptInfo(parts=parts), record.incarnation
            )


def _make_record(number: int, now: float) -> EndpointRecord:
    listed = ListedEndpoint(
        id=EndpointId(f'i-{number:010x}'),
        service=SERVICE,
        address=f'10.1.0.{number}:80',
        data_centre=DataCentreName('c0'),
        slots=12,
        incarnation=1_700_000_000_000 + number,
    )
    return EndpointRecord(listed=listed, listed_at=now)

"""Keeps the fleet in step with the platform's lagging list of VMs."""

from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio
from mimosamux_wire import LeavingEndpoint, LeavingEndpoints, Message

from mimosamux_daemon.domain.configuration import Configuration
from mimosamux_daemon.domain.names import (
    DaemonId,
    DataCentreName,
    EndpointId,
    VMId,
)
from mimosamux_daemon.domain.store import Unavailable
from mimosamux_daemon.domain.vms import VM, Endpoint, VMRole, VMState
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.metrics import Metrics
from mimosamux_daemon.ports.models.cloud import Cloud
from mimosamux_daemon.ports.peer import Peers
from mimosamux_daemon.serving.fleet import STATE_NAMES, Fleet
from mimosamux_daemon.serving.prices import PriceBook

log = get_log('endpoints')

PUSH_TIMEOUT_S = 1.0
LIST_BYTES_PER_VM = 241
"""Size of one VM in a list over HTTP (`python -m benchmarks owner`)."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PollPolicy:
    """Intervals and limits of the polls, in seconds."""

    notices_s: float = 1.0
    """Interval of the one daemon of a data centre that polls for all."""
    backup_notices_s: float = 2.5
    """Interval of the others, for when that one has just died."""
    list_s: float = 2.0
    list_bytes_per_s: float = 8_000.0
    """Most that the lists may take; long lists are asked for less often,
    as every second of them at 375 endpoints would exceed the budget of a
    daemon for all control."""
    prices_s: float = 30.0
    timeout_s: float = 1.5
    """Longest wait for an answer of the platform."""
    gone_after_s: float = 10.0
    """Time for which a VM has to be missing from every list."""
    gone_after_lists: int = 3
    """Lists in a row that a VM has to be missing from."""
    leaving_s: float = 30.0
    """Time left to a VM that is listed as leaving without a notice."""
    remember_left_s: float = 600.0
    """Time for which a VM that left is not taken back from a list."""


@dataclass(kw_only=True, slots=True)
class Missing:
    """Since when, and from how many lists, a VM has been missing."""

    since: float
    lists: int = 0


def _no_peers() -> tuple[DaemonId, ...]:
    return ()


def _always() -> bool:
    return True


class EndpointKeeper:
    """Adds endpoints that come, marks those that leave, drops the gone.

    While the platform does not answer, everything stays as it is: an
    endpoint that serves is never dropped for a list that cannot be had.
    """

    def __init__(
        self,
        *,
        cloud: Cloud,
        fleet: Fleet,
        prices: PriceBook,
        peers: Peers | None = None,
        peer_ids: Callable[[], tuple[DaemonId, ...]] = _no_peers,
        is_poller: Callable[[], bool] = _always,
        data_centres: Callable[[], tuple[DataCentreName, ...]] | None = None,
        configuration: Callable[[], Configuration] = Configuration,
        policy: PollPolicy | None = None,
        metrics: Metrics | None = None,
    ) -> None:
        """Take the parts; only VMs in `data_centres` are kept, if given."""
        self._cloud = cloud
        self._metrics = metrics
        self._fleet = fleet
        self._prices = prices
        self._peers = peers
        self._peer_ids = peer_ids
        self._is_poller = is_poller
        self._list_length = 0
        self._data_centres = data_centres
        self._configuration = configuration
        self._policy = PollPolicy() if policy is None else policy
        self._missing_by_id: dict[EndpointId, Missing] = {}
        self._left_at_by_id: dict[EndpointId, float] = {}
        self._listed: set[EndpointId] = set()
        if peers is not None:
            peers.handle(LeavingEndpoints, self._take_leaving)

    async def run(self) -> None:
        """Poll until cancelled.

        Each list has its own task: a list of VMs that comes slowly must
        not hold up the notices, or leaving endpoints would get new work.
        """
        policy = self._policy
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_repeat, self.poll_notices, self._notices_s)
            tasks.start_soon(_repeat, self.poll_vms, self._list_s)
            tasks.start_soon(
                _repeat, self.poll_prices, lambda: policy.prices_s
            )

    def _notices_s(self) -> float:
        if self._is_poller():
            return self._policy.notices_s
        return self._policy.backup_notices_s

    def _list_s(self) -> float:
        size = self._list_length * LIST_BYTES_PER_VM
        return max(self._policy.list_s, size / self._policy.list_bytes_per_s)

    async def poll_vms(self) -> None:
        """Take over the list of VMs, if it can be had."""
        with anyio.move_on_after(self._policy.timeout_s):
            wanted = self._data_centres() if self._data_centres else ()
            vms = await self._cloud.list_vms(wanted)
            if isinstance(vms, Unavailable):
                log.info('vm_list_unavailable', reason=vms.reason)
                return
            self._list_length = len(vms)
            await self._take_vms(vms)
            self._count_endpoints()

    async def poll_notices(self) -> None:
        """Mark the endpoints that notices name, and tell the peers."""
        with anyio.move_on_after(self._policy.timeout_s):
            notices = await self._cloud.list_notices()
            if isinstance(notices, Unavailable):
                return
            await self.announce_leaving(
                {
                    endpoint_of(notice.vm): notice.seconds_left
                    for notice in notices
                }
            )

    async def poll_prices(self) -> None:
        """Take over the prices, if they can be had."""
        with anyio.move_on_after(self._policy.timeout_s):
            prices = await self._cloud.list_prices()
            if not isinstance(prices, Unavailable):
                self._prices.take(prices)

    async def announce_leaving(
        self, seconds_left_by_id: dict[EndpointId, float]
    ) -> None:
        """Mark endpoints as leaving, and tell the peers of new ones."""
        new = []
        for id_, seconds_left in seconds_left_by_id.items():
            if self._mark(id_, seconds_left):
                new.append(
                    LeavingEndpoint(
                        endpoint=id_,
                        seconds_left_ms=int(seconds_left * 1000),
                    )
                )
        if new and self._peers is not None:
            await self._push(self._peers, LeavingEndpoints(endpoints=new))

    async def _take_vms(self, vms: tuple[VM, ...]) -> None:
        wanted = None if self._data_centres is None else self._data_centres()
        kept = {
            endpoint_of(vm.id): vm
            for vm in vms
            if vm.role is VMRole.ENDPOINT
            and vm.address
            and (wanted is None or vm.data_centre in wanted)
        }
        leaving = {}
        for id_, vm in kept.items():
            if vm.state is VMState.LEAVING:
                leaving[id_] = self._policy.leaving_s
            elif vm.state is VMState.LIVE:
                self._add(id_, vm)
        self._drop_gone(kept)
        await self.announce_leaving(leaving)

    def _count_endpoints(self) -> None:
        if self._metrics is None:
            return
        now = anyio.current_time()
        counts = Counter(
            state.state_name(now) for state in self._fleet.by_id.values()
        )
        for name in STATE_NAMES:
            self._metrics.endpoints.set({'state': name}, counts[name])

    def _add(self, id_: EndpointId, vm: VM) -> None:
        self._listed.add(id_)
        if id_ in self._fleet.by_id or id_ in self._left_at_by_id:
            return
        self._fleet.add(self._as_endpoint(id_, vm))
        log.info('endpoint_added', endpoint=id_, address=vm.address)

    def _as_endpoint(self, id_: EndpointId, vm: VM) -> Endpoint:
        models = self._configuration().models
        spec = models.get(vm.model) if vm.model is not None else None
        return Endpoint(
            id=id_,
            vm=vm.id,
            address=vm.address,
            data_centre=vm.data_centre,
            machine_class=vm.machine_class,
            market=vm.market,
            model=vm.model,
            service=vm.service,
            checks_fencing=spec is not None and spec.checks_fencing,
        )

    def _drop_gone(self, kept: dict[EndpointId, VM]) -> None:
        """Drop endpoints that are missing for long enough.

        The list lags and may come from a replica that is behind: a VM
        that is missing once may well serve, and its streams would be cut.
        """
        now = anyio.current_time()
        for id_ in self._listed.copy():
            if id_ in kept:
                self._missing_by_id.pop(id_, None)
                continue
            missing = self._missing_by_id.setdefault(id_, Missing(since=now))
            missing.lists += 1
            if missing.lists >= self._policy.gone_after_lists and (
                now - missing.since >= self._policy.gone_after_s
            ):
                self._drop(id_, now)
        for id_, left_at in list(self._left_at_by_id.items()):
            if now - left_at >= self._policy.remember_left_s:
                del self._left_at_by_id[id_]

    def _drop(self, id_: EndpointId, now: float) -> None:
        self._listed.discard(id_)
        self._missing_by_id.pop(id_, None)
        self._left_at_by_id[id_] = now
        self._fleet.remove(id_)
        log.info('endpoint_gone', endpoint=id_)

    def _mark(self, id_: EndpointId, seconds_left: float) -> bool:
        """Mark one endpoint; True if this was news.

        One that is not known yet is remembered, because the lagging list
        may show it as live afterwards.
        """
        state = self._fleet.by_id.get(id_)
        is_news = state is not None and not state.is_leaving
        self._left_at_by_id[id_] = anyio.current_time()
        self._fleet.mark_leaving(id_, seconds_left=seconds_left)
        if is_news:
            log.info(
                'endpoint_leaving', endpoint=id_, seconds_left=seconds_left
            )
        return is_news

    async def _push(self, peers: Peers, message: LeavingEndpoints) -> None:
        async with anyio.create_task_group() as tasks:
            for peer in self._peer_ids():
                tasks.start_soon(_notify, peers, peer, message)

    async def _take_leaving(
        self, sender: DaemonId, message: LeavingEndpoints
    ) -> Message | None:
        for item in message.endpoints:
            id_ = EndpointId(item.endpoint)
            self._mark(id_, item.seconds_left_ms / 1000)
        return None


def endpoint_of(vm: VMId) -> EndpointId:
    """Return the id of the endpoint that runs on a VM."""
    return EndpointId(vm)


async def _repeat(
    action: Callable[[], Awaitable[None]], interval_s: Callable[[], float]
) -> None:
    while True:
        await action()
        await anyio.sleep(interval_s())


async def _notify(
    peers: Peers, peer: DaemonId, message: LeavingEndpoints
) -> None:
    with anyio.move_on_after(PUSH_TIMEOUT_S):
        await peers.notify(peer, message)

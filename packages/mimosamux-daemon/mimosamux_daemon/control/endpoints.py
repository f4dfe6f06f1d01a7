"""Synchronises the fleet with the platform's eventually consistent VM list."""

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

NOTIFY_TIMEOUT_S = 1.0
"""Time-out of a notification to one peer."""
LIST_BYTES_PER_VM = 241
"""Bytes per VM in a list over HTTP (`python -m benchmarks owner`)."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PollPolicy:
    """Intervals and limits of the polls."""

    notices_s: float = 1.0
    """Interval of notice polls of the one poller of a data centre."""
    backup_notices_s: float = 2.5
    """Interval of notice polls of the others, in case the poller has died."""
    list_s: float = 2.0
    """Minimum interval of VM list polls."""
    list_bytes_per_s: float = 8_000.0
    """Bandwidth limit for VM lists; long lists are polled less often. At
    375 endpoints, polling every second would exceed a daemon's budget for
    all control traffic."""
    prices_s: float = 30.0
    """Interval of price polls."""
    timeout_s: float = 1.5
    """Time-out of a poll."""
    gone_after_s: float = 10.0
    """Time for which a VM has to be missing from all lists to be dropped."""
    gone_after_lists: int = 3
    """Consecutive lists from which it has to be missing as well."""
    leaving_s: float = 30.0
    """Assumed time left of a VM listed as leaving without a notice."""
    left_retention_s: float = 600.0
    """Time for which a VM that has left is not added again from a list."""


@dataclass(kw_only=True, slots=True)
class MissingVM:
    """Consecutive lists without a VM: time of the first, and number."""

    since: float
    lists: int = 0


def _no_peers() -> tuple[DaemonId, ...]:
    return ()


def _always() -> bool:
    return True


class EndpointPoller:
    """Polls the platform to add, mark as leaving and drop endpoints.

    While the platform does not answer, the fleet stays unchanged: a
    serving endpoint is never dropped because a list is unavailable.
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
        """Set up; VMs outside `data_centres`, if given, are ignored."""
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
        self._missing_by_id: dict[EndpointId, MissingVM] = {}
        self._left_at_by_id: dict[EndpointId, float] = {}
        self._listed: set[EndpointId] = set()
        if peers is not None:
            peers.handle(LeavingEndpoints, self._handle_leaving)

    async def run(self) -> None:
        """Poll until cancelled.

        Each kind of poll has its own task: a slow VM list must not delay
        the notices, or leaving endpoints would receive new requests.
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
        """Apply the list of VMs, if it is available."""
        with anyio.move_on_after(self._policy.timeout_s):
            wanted = self._data_centres() if self._data_centres else ()
            vms = await self._cloud.list_vms(wanted)
            if isinstance(vms, Unavailable):
                log.info('vm_list_unavailable', reason=vms.reason)
                return
            self._list_length = len(vms)
            await self._apply_vms(vms)
            self._count_endpoints()

    async def poll_notices(self) -> None:
        """Mark endpoints with reclaim notices as leaving; notify the peers."""
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
        """Update the prices, if they are available."""
        with anyio.move_on_after(self._policy.timeout_s):
            prices = await self._cloud.list_prices()
            if not isinstance(prices, Unavailable):
                self._prices.update(prices)

    async def announce_leaving(
        self, seconds_left_by_id: dict[EndpointId, float]
    ) -> None:
        """Mark endpoints as leaving; notify the peers of new marks."""
        newly_marked = []
        for id_, seconds_left in seconds_left_by_id.items():
            if self._mark_leaving(id_, seconds_left):
                newly_marked.append(
                    LeavingEndpoint(
                        endpoint=id_,
                        seconds_left_ms=int(seconds_left * 1000),
                    )
                )
        if newly_marked and self._peers is not None:
            await self._notify_peers(
                self._peers, LeavingEndpoints(endpoints=newly_marked)
            )

    async def _apply_vms(self, vms: tuple[VM, ...]) -> None:
        wanted = None if self._data_centres is None else self._data_centres()
        relevant = {
            endpoint_of(vm.id): vm
            for vm in vms
            if vm.role is VMRole.ENDPOINT
            and vm.address
            and (wanted is None or vm.data_centre in wanted)
        }
        leaving = {}
        for id_, vm in relevant.items():
            if vm.state is VMState.LEAVING:
                leaving[id_] = self._policy.leaving_s
            elif vm.state is VMState.LIVE:
                self._add(id_, vm)
        self._drop_gone(relevant)
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

    def _drop_gone(self, relevant: dict[EndpointId, VM]) -> None:
        """Drop endpoints that have been missing for long enough.

        The list lags and may come from a stale replica: a VM that is
        missing from one list may still serve, and dropping it would cut
        its streams.
        """
        now = anyio.current_time()
        for id_ in self._listed.copy():
            if id_ in relevant:
                self._missing_by_id.pop(id_, None)
                continue
            missing = self._missing_by_id.setdefault(id_, MissingVM(since=now))
            missing.lists += 1
            if missing.lists >= self._policy.gone_after_lists and (
                now - missing.since >= self._policy.gone_after_s
            ):
                self._drop(id_, now)
        for id_, left_at in list(self._left_at_by_id.items()):
            if now - left_at >= self._policy.left_retention_s:
                del self._left_at_by_id[id_]

    def _drop(self, id_: EndpointId, now: float) -> None:
        self._listed.discard(id_)
        self._missing_by_id.pop(id_, None)
        self._left_at_by_id[id_] = now
        self._fleet.remove(id_)
        log.info('endpoint_gone', endpoint=id_)

    def _mark_leaving(self, id_: EndpointId, seconds_left: float) -> bool:
        """Mark an endpoint as leaving; return whether it was not yet.

        An unknown endpoint is recorded too, because a lagging list may
        show it as live later; its mark counts as not new.
        """
        state = self._fleet.by_id.get(id_)
        is_new = state is not None and not state.is_leaving
        self._left_at_by_id[id_] = anyio.current_time()
        self._fleet.mark_leaving(id_, seconds_left=seconds_left)
        if is_new:
            log.info(
                'endpoint_leaving', endpoint=id_, seconds_left=seconds_left
            )
        return is_new

    async def _notify_peers(
        self, peers: Peers, message: LeavingEndpoints
    ) -> None:
        async with anyio.create_task_group() as tasks:
            for peer in self._peer_ids():
                tasks.start_soon(_notify, peers, peer, message)

    async def _handle_leaving(
        self, sender: DaemonId, message: LeavingEndpoints
    ) -> Message | None:
        for leaving_endpoint in message.endpoints:
            id_ = EndpointId(leaving_endpoint.endpoint)
            self._mark_leaving(id_, leaving_endpoint.seconds_left_ms / 1000)
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
    with anyio.move_on_after(NOTIFY_TIMEOUT_S):
        await peers.notify(peer, message)

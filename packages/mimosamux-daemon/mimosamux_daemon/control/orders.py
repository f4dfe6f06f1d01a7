"""Orders to the cloud and the engines of one data centre, under a lease.

An order starts, loads or stops one VM. Its row is written to the table
before the call that carries it out (a write-ahead intention), and the
lease is checked directly before the call. If the answer to a call is lost,
the cloud's list of VMs shows the outcome. The list lags, so an order
counts as without effect only when the list was requested more than the
maximum lag after the order.
"""

import random
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field, replace

import anyio
import anyio.abc

from mimosamux_daemon.control.backoff import Backoff
from mimosamux_daemon.control.drains import EndpointDrainer
from mimosamux_daemon.control.leases import Lease
from mimosamux_daemon.control.order_rows import (
    OrderChange,
    OrderRows,
    OrderState,
    VMOrder,
)
from mimosamux_daemon.control.weight_queue import WeightQueue
from mimosamux_daemon.domain.configuration import Configuration, ModelSpec
from mimosamux_daemon.domain.engine import (
    EngineOrder,
    OrderDone,
    OrderRefused,
)
from mimosamux_daemon.domain.names import (
    DataCentreName,
    EndpointId,
    ModelName,
    VMId,
)
from mimosamux_daemon.domain.plan import Offer
from mimosamux_daemon.domain.store import Unavailable
from mimosamux_daemon.domain.vms import VM, Endpoint, VMRole, VMState
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports.models.cloud import Cloud, StartRefused, StartVM
from mimosamux_daemon.ports.models.engine import Engines

log = get_log('orders')


@dataclass(frozen=True, kw_only=True, slots=True)
class OrderPolicy:
    """Time-outs and limits of orders; times in seconds."""

    list_lag_bound_s: float = 30.0
    """Maximum lag of the cloud's list of VMs."""
    call_timeout_s: float = 5.0
    retry_s: float = 2.0
    gone_after_lists: int = 3
    """Number of consecutive lists without a VM after which it is gone."""


@dataclass(kw_only=True, slots=True)
class TrackedOrder:
    """An order and the observed state of its VM."""

    order: VMOrder
    last_sent_at: float
    """Latest time at which a start call may have been sent."""
    was_listed: bool = False
    missed_lists: int = 0
    """Consecutive lists without the VM."""
    is_busy: bool = False
    """Whether a task is starting, loading, draining or stopping the VM."""


@dataclass(frozen=True, kw_only=True, slots=True)
class WantedVM:
    """A VM to start, with the reason for the audit trail."""

    offer: Offer
    model: ModelName
    version: str
    why: str


@dataclass(kw_only=True)
class OrderDependencies:
    """Dependencies of `Orders` that outlive a lease."""

    cloud: Cloud
    engines: Engines
    drains: EndpointDrainer
    weights: WeightQueue
    backoff: Backoff
    configuration: Callable[[], Configuration]
    randomness: random.Random
    policy: OrderPolicy = field(default_factory=OrderPolicy)
    on_ready: Callable[[VMOrder], None] = lambda _: None
    on_refused: Callable[[], None] = lambda: None
    """Called after the cloud refused a start, to plan a replacement."""


class Orders:
    """Starts, loads and stops the VMs of one data centre."""

    def __init__(
        self,
        *,
        data_centre: DataCentreName,
        dependencies: OrderDependencies,
        rows: OrderRows,
        lease: Lease,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        self._data_centre = data_centre
        self._dependencies = dependencies
        self._rows = rows
        self._lease = lease
        self._tasks = tasks
        self._by_id: dict[str, TrackedOrder] = {}
        self._vms_by_id: dict[VMId, VM] = {}
        self._rows_loaded = False
        self._order_count = 0

    def active(self) -> Iterator[VMOrder]:
        """Return the orders that are not stopping."""
        return (
            tracked.order
            for tracked in self._by_id.values()
            if tracked.order.state is not OrderState.STOPPING
        )

    def stopping(self) -> frozenset[VMId]:
        """Return the VMs that are being drained or stopped."""
        return frozenset(
            tracked.order.vm
            for tracked in self._by_id.values()
            if tracked.order.state is OrderState.STOPPING
        )

    def is_live(self, order: VMOrder) -> bool:
        """Return whether the VM of an order is live and loaded."""
        vm = self._vms_by_id.get(order.vm)
        return (
            order.state is OrderState.READY
            and vm is not None
            and vm.state is VMState.LIVE
        )

    async def reconcile(
        self, vms: Sequence[VM], list_requested_at: float
    ) -> bool:
        """Reconcile the orders with the list of VMs.

        Return False if the rows cannot be read. The caller must not start
        or stop VMs then: an order of an earlier lease holder could be in
        flight.
        """
        if not self._rows_loaded and not await self._load_rows():
            return False
        self._vms_by_id = {vm.id: vm for vm in vms if self._is_managed(vm)}
        changes: list[OrderChange] = []
        self._match_listed_vms()
        self._adopt_orphans()
        for tracked in list(self._by_id.values()):
            change = self._detect_gone(tracked, list_requested_at)
            if change is not None:
                changes.append(change)
        if changes and await self._write_changes(changes):
            for change in changes:
                self._by_id.pop(change.order.id, None)
        self._start_tasks()
        return self._rows_loaded

    async def start(self, wanted: Sequence[WantedVM]) -> None:
        """Write the order rows, then start the VMs in the background."""
        orders = [self._new_order(item) for item in wanted]
        changes = [
            OrderChange(order=order, why=item.why)
            for order, item in zip(orders, wanted, strict=True)
        ]
        if not changes or not await self._write_changes(changes):
            return
        for order in orders:
            tracked = TrackedOrder(
                order=order, last_sent_at=anyio.current_time()
            )
            tracked.is_busy = True
            self._by_id[order.id] = tracked
            self._tasks.start_soon(self._start_vm, tracked)

    async def stop(self, orders: Sequence[VMOrder], why: str) -> None:
        """Write the order rows, then drain and stop in the background."""
        changes = [
            OrderChange(
                order=order.with_state(OrderState.STOPPING),
                before=str(order.state),
                why=why,
            )
            for order in orders
        ]
        if not changes or not await self._write_changes(changes):
            return
        for change in changes:
            self._by_id[change.order.id].order = change.order
        self._start_tasks()

    async def _load_rows(self) -> bool:
        orders = await self._rows.read_all()
        if isinstance(orders, Unavailable):
            return False
        now = anyio.current_time()
        found = {order.id: order for order in orders}
        for id_, order in found.items():
            tracked = self._by_id.get(id_)
            if tracked is None:
                # A call of an earlier lease holder may still be in flight,
                # so the order counts as sent at this moment.
                self._by_id[id_] = TrackedOrder(order=order, last_sent_at=now)
            elif not tracked.is_busy:
                tracked.order = order
        for id_ in [id_ for id_ in self._by_id if id_ not in found]:
            if not self._by_id[id_].is_busy:
                del self._by_id[id_]
        self._rows_loaded = True
        return True

    async def _write_changes(self, changes: Sequence[OrderChange]) -> bool:
        if not self._lease.is_valid():
            return False
        if await self._rows.write(changes):
            return True
        # Part of the changes may be stored all the same, or be stored
        # late. Acting on the orders in memory could then start a VM twice,
        # so the rows are read again.
        self._rows_loaded = False
        return False

    def _is_managed(self, vm: VM) -> bool:
        """Return whether this planner manages a VM.

        VMs of services without a model are excluded. The planner would
        otherwise adopt them, find them surplus to the plan, and drain and
        stop every service.
        """
        return (
            vm.data_centre == self._data_centre
            and vm.role is VMRole.ENDPOINT
            and vm.model is not None
        )

    def _match_listed_vms(self) -> None:
        by_order_id = {vm.order_id: vm for vm in self._vms_by_id.values()}
        for tracked in self._by_id.values():
            order = tracked.order
            vm = by_order_id.get(order.id)
            if not order.vm and vm is not None:
                tracked.order = _with_vm(order, vm)
            tracked.was_listed |= tracked.order.vm in self._vms_by_id

    def _adopt_orphans(self) -> None:
        """Create orders for VMs that have none.

        A start that takes effect after its order was deleted leaves a VM
        that costs money and serves nothing.
        """
        known = {tracked.order.vm for tracked in self._by_id.values()}
        for vm in self._vms_by_id.values():
            if vm.id in known or vm.state is VMState.LEAVING:
                continue
            order = VMOrder(
                id=f'adopted-{vm.id}',
                data_centre=vm.data_centre,
                machine_class=vm.machine_class,
                market=vm.market,
                model=vm.model or ModelName(''),
                version='',
                state=OrderState.STARTED,
                fencing=self._lease.fencing,
                vm=vm.id,
            )
            self._by_id[order.id] = TrackedOrder(
                order=order, last_sent_at=anyio.current_time(), was_listed=True
            )
            log.info('vm_adopted', vm=vm.id, order=vm.order_id)

    def _detect_gone(
        self, tracked: TrackedOrder, list_requested_at: float
    ) -> OrderChange | None:
        order = tracked.order
        if order.vm in self._vms_by_id:
            tracked.missed_lists = 0
            return None
        tracked.missed_lists += 1
        is_past_list_lag = (
            list_requested_at - tracked.last_sent_at
            > self._dependencies.policy.list_lag_bound_s
        )
        is_missing = (
            tracked.missed_lists >= self._dependencies.policy.gone_after_lists
        )
        if tracked.is_busy and order.state is OrderState.INTENDED:
            return None
        if not is_missing or not (tracked.was_listed or is_past_list_lag):
            return None
        why = 'was not started' if not order.vm else 'is gone'
        return OrderChange(
            order=order, before=str(order.state), why=why, is_deletion=True
        )

    def _start_tasks(self) -> None:
        """Start a task for each VM that has to be loaded or stopped."""
        for tracked in self._by_id.values():
            if tracked.is_busy:
                continue
            order = tracked.order
            vm = self._vms_by_id.get(order.vm)
            if order.state is OrderState.STOPPING and order.vm:
                tracked.is_busy = True
                self._tasks.start_soon(self._stop_vm, tracked)
            elif (
                order.state in (OrderState.STARTED, OrderState.LOADING)
                and vm is not None
                and vm.state is VMState.LIVE
                and order.model in self._dependencies.configuration().models
            ):
                tracked.is_busy = True
                self._tasks.start_soon(self._load_when_free, tracked, vm)

    def _new_order(self, wanted: WantedVM) -> VMOrder:
        self._order_count += 1
        unique = self._dependencies.randomness.randbytes(4).hex()
        name = f'{self._data_centre}-{self._lease.fencing}-{self._order_count}'
        return VMOrder(
            id=f'{name}-{unique}',
            data_centre=self._data_centre,
            machine_class=wanted.offer.machine_class,
            market=wanted.offer.market,
            model=wanted.model,
            version=wanted.version,
            state=OrderState.INTENDED,
            fencing=self._lease.fencing,
        )

    async def _start_vm(self, tracked: TrackedOrder) -> None:
        order = tracked.order
        outcome: VM | StartRefused | Unavailable
        outcome = Unavailable(reason='timeout', may_have_taken_effect=True)
        if not self._lease.is_valid():
            return
        with anyio.move_on_after(self._dependencies.policy.call_timeout_s):
            outcome = await self._dependencies.cloud.start_vm(
                StartVM(
                    order_id=order.id,
                    data_centre=order.data_centre,
                    machine_class=order.machine_class,
                    market=order.market,
                    model=order.model,
                    fencing=order.fencing,
                )
            )
        tracked.last_sent_at = anyio.current_time()
        tracked.is_busy = False
        log.info('vm_ordered', order=order.id, outcome=type(outcome).__name__)
        if isinstance(outcome, VM):
            self._dependencies.backoff.note_started(order.offer)
            tracked.order = _with_vm(order, outcome)
        elif isinstance(outcome, StartRefused):
            self._dependencies.backoff.note_refused(order.offer)
            await self._delete_order(tracked, 'start refused')
            self._dependencies.on_refused()
        elif not outcome.may_have_taken_effect:
            await self._delete_order(tracked, 'cloud did not answer')

    async def _delete_order(self, tracked: TrackedOrder, why: str) -> None:
        order = tracked.order
        change = OrderChange(
            order=order, before=str(order.state), why=why, is_deletion=True
        )
        if await self._write_changes([change]):
            self._by_id.pop(order.id, None)

    async def _load_when_free(self, tracked: TrackedOrder, vm: VM) -> None:
        models = self._dependencies.configuration().models
        try:
            spec = models.get(tracked.order.model)
            if spec is not None:
                async with self._dependencies.weights.reserve_load(spec):
                    await self._load_model(tracked, vm, spec)
        finally:
            tracked.is_busy = False

    async def _load_model(
        self, tracked: TrackedOrder, vm: VM, spec: ModelSpec
    ) -> None:
        if tracked.order.state not in (OrderState.STARTED, OrderState.LOADING):
            return
        order = replace(
            tracked.order, state=OrderState.LOADING, version=spec.version
        )
        change = OrderChange(
            order=order, before=str(tracked.order.state), why='VM is live'
        )
        if not await self._write_changes([change]):
            return
        tracked.order = order
        engine_order = EngineOrder(
            id=f'{order.id}-load',
            endpoint=EndpointId(vm.id),
            action='load',
            argument=f'{spec.name}@{spec.version}',
            fencing=self._lease.fencing,
        )
        if not self._lease.is_valid():
            return
        outcome = await self._dependencies.engines.order(
            _as_endpoint(vm, spec), engine_order
        )
        if isinstance(outcome, OrderRefused):
            # The engine has seen an order with a higher fencing token, so
            # another daemon holds the lease.
            self._lease.end()
            log.info('order_refused', order=order.id, reason=outcome.reason)
        if isinstance(outcome, OrderDone):
            await self._record_ready(tracked)

    async def _record_ready(self, tracked: TrackedOrder) -> None:
        if tracked.order.state is not OrderState.LOADING:
            return
        order = tracked.order.with_state(OrderState.READY)
        if await self._write_changes([OrderChange(order=order)]):
            tracked.order = order
            self._dependencies.on_ready(order)

    async def _stop_vm(self, tracked: TrackedOrder) -> None:
        try:
            await self._dependencies.drains.drain(EndpointId(tracked.order.vm))
            while self._lease.is_valid():
                outcome: None | Unavailable
                outcome = Unavailable(
                    reason='timeout', may_have_taken_effect=True
                )
                with anyio.move_on_after(
                    self._dependencies.policy.call_timeout_s
                ):
                    outcome = await self._dependencies.cloud.stop_vm(
                        tracked.order.vm
                    )
                if outcome is None:
                    break
                await anyio.sleep(self._dependencies.policy.retry_s)
            # The lagging list still shows the VM; staying busy for the
            # maximum lag avoids a redundant stop call at each list.
            await anyio.sleep(self._dependencies.policy.list_lag_bound_s)
        finally:
            tracked.is_busy = False


def _with_vm(order: VMOrder, vm: VM) -> VMOrder:
    state = order.state
    if state is OrderState.INTENDED:
        state = OrderState.STARTED
    return order.with_state(state, vm=vm.id)


def _as_endpoint(vm: VM, spec: ModelSpec) -> Endpoint:
    return Endpoint(
        id=EndpointId(vm.id),
        vm=vm.id,
        address=vm.address,
        data_centre=vm.data_centre,
        machine_class=vm.machine_class,
        market=vm.market,
        model=vm.model,
        model_version=spec.version,
        checks_fencing=spec.checks_fencing,
    )

"""Applies items of the operators' table: configuration and roll-out orders.

A restored table shows an earlier order of a service until the operator has
written the newest one again. Taken for new, it would undo the newest one.
"""

from collections.abc import Iterable, Mapping
from functools import singledispatchmethod

from mimosamux_daemon.domain.names import ServiceName
from mimosamux_daemon.domain.rollouts import RolloutOrder
from mimosamux_daemon.domain.routes import ConfigurationDocument
from mimosamux_daemon.domain.store_eras import StoreEra
from mimosamux_daemon.gateway.configuration import ConfirmedConfiguration
from mimosamux_daemon.gateway.rollouts import Rollouts
from mimosamux_daemon.gateway.store_health import RENEWAL_S
from mimosamux_daemon.ports.feeds import Unreadable

OperatorItem = ConfigurationDocument | RolloutOrder


class OperatorItems:
    """Consumer of the feed of the operators' table."""

    def __init__(
        self,
        *,
        configuration: ConfirmedConfiguration,
        configuration_key: str,
        rollouts: Rollouts,
        table_era: StoreEra,
    ) -> None:
        self._configuration = configuration
        self._configuration_key = configuration_key
        self._rollouts = rollouts
        self._table_era = table_era
        self._held_orders: dict[ServiceName, RolloutOrder] = {}
        """Orders that a table which was just restored shows."""

    def replace(self, items: Mapping[str, OperatorItem | Unreadable]) -> None:
        """Apply the content of the whole table."""
        self.apply(items.items())

    def apply(
        self, changes: Iterable[tuple[str, OperatorItem | Unreadable | None]]
    ) -> None:
        """Apply changes in order.

        An item that is unreadable or deleted has no effect: what is in
        force stays in force.
        """
        for key, item in changes:
            self._apply_item(item, key)

    def confirm(self, at: float) -> None:
        """Note that all changes up to a moment have been applied."""
        self._apply_held_orders()
        self._configuration.confirm(self._configuration.current.version, at)

    @singledispatchmethod
    def _apply_item(self, item: object, key: str) -> None:
        """Ignore items of other types: unreadable or deleted ones."""

    @_apply_item.register
    def _(self, item: ConfigurationDocument, key: str) -> None:
        if key == self._configuration_key:
            self._configuration.update(item, source='platform')

    @_apply_item.register
    def _(self, item: RolloutOrder, key: str) -> None:
        known = self._rollouts.orders_by_service.get(item.service)
        is_held = (
            self._table_era.age_s < RENEWAL_S
            and known is not None
            and item.replaces(known)
        )
        if is_held:
            self._held_orders[item.service] = item
        else:
            self._held_orders.pop(item.service, None)
            self._rollouts.apply_order(item)

    def _apply_held_orders(self) -> None:
        if not self._held_orders or self._table_era.age_s < RENEWAL_S:
            return
        for order in self._held_orders.values():
            self._rollouts.apply_order(order)
        self._held_orders.clear()

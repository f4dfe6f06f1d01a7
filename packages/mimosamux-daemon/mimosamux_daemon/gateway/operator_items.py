"""Applies items of the operators' table: configuration and roll-out orders."""

from collections.abc import Iterable, Mapping
from functools import singledispatchmethod

from mimosamux_daemon.domain.rollouts import RolloutOrder
from mimosamux_daemon.domain.routes import ConfigurationDocument
from mimosamux_daemon.gateway.configuration import ConfirmedConfiguration
from mimosamux_daemon.gateway.rollouts import Rollouts
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
    ) -> None:
        self._configuration = configuration
        self._configuration_key = configuration_key
        self._rollouts = rollouts

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
        self._rollouts.apply_order(item)

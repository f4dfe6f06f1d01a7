"""Daemons that reach each other in memory, for tests of control."""

from collections import defaultdict
from typing import Any

import anyio
from mimosamux_daemon.domain.names import DaemonId, DataCentreName
from thrift.protocol.TCompactProtocol import (
    TCompactProtocolAcceleratedFactory,
)
from thrift.TSerialization import deserialize, serialize

FACTORY = TCompactProtocolAcceleratedFactory(fallback=False)


class Network:
    """Carries messages as bytes and records who sent how many."""

    def __init__(self) -> None:
        self.by_id: dict[DaemonId, FakePeers] = {}
        self.cut: set[DaemonId] = set()
        self.bytes_by_sender: dict[DaemonId, int] = defaultdict(int)
        self.sent: list[tuple[DaemonId, DaemonId, Any]] = []

    def join(self, name: str) -> 'FakePeers':
        daemon = DaemonId(name)
        self.by_id[daemon] = FakePeers(network=self, daemon=daemon)
        return self.by_id[daemon]


class FakePeers:
    """The `Peers` port of one daemon on a `Network`."""

    def __init__(self, *, network: Network, daemon: DaemonId) -> None:
        self.network = network
        self.daemon = daemon
        self.handler_by_kind: dict[type, Any] = {}

    def handle(self, kind: type, handler: Any) -> None:
        self.handler_by_kind[kind] = handler

    async def notify(self, daemon: DaemonId, message: Any) -> None:
        network = self.network
        data = serialize(message, FACTORY)
        network.bytes_by_sender[self.daemon] += len(data)
        network.sent.append((self.daemon, daemon, message))
        target = network.by_id.get(daemon)
        if target is None or {self.daemon, daemon} & network.cut:
            return
        handler = target.handler_by_kind.get(type(message))
        if handler is not None:
            await handler(
                self.daemon, deserialize(type(message)(), data, FACTORY)
            )

    async def call(self, daemon: DaemonId, message: Any, **_: Any) -> Any:
        raise NotImplementedError


class FakeMembers:
    """Members of data centres, set by the test."""

    def __init__(self, by_data_centre: dict[str, list[str]]) -> None:
        self.by_data_centre = by_data_centre
        self.changed = anyio.Event()

    def members(self, data_centre: DataCentreName) -> tuple[DaemonId, ...]:
        names = self.by_data_centre.get(data_centre, [])
        return tuple(DaemonId(name) for name in names)

    def set(self, data_centre: str, names: list[str]) -> None:
        self.by_data_centre[data_centre] = names
        changed, self.changed = self.changed, anyio.Event()
        changed.set()

"""Engines that only report, as a test tells them to."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import anyio
from mimosamux_daemon.domain.engine import ConnectFailed
from mimosamux_daemon.domain.names import EndpointId
from mimosamux_daemon.domain.vms import Endpoint


class ReportingEngines:
    """The part of the `Engines` port that streams reports."""

    def __init__(self) -> None:
        self.open_by_id: dict[EndpointId, list[Any]] = {}
        self.opened: list[EndpointId] = []
        self.dead: set[EndpointId] = set()
        self.first_by_id: dict[EndpointId, list[Any]] = {}

    @asynccontextmanager
    async def watch(self, endpoint: Endpoint) -> AsyncIterator[Any]:
        self.opened.append(endpoint.id)
        if endpoint.id in self.dead:
            yield ConnectFailed(reason='refused')
            return
        send, receive = anyio.create_memory_object_stream[Any](100)
        for report in self.first_by_id.get(endpoint.id, ()):
            send.send_nowait(report)
        streams = self.open_by_id.setdefault(endpoint.id, [])
        streams.append(send)
        try:
            yield _Stream(receive)
        finally:
            streams.remove(send)
            send.close()
            receive.close()

    def watchers(self, name: str) -> int:
        return len(self.open_by_id.get(EndpointId(name), ()))

    def report(self, report: Any) -> None:
        for stream in self.open_by_id.get(report.endpoint, ()):
            stream.send_nowait(report)

    def break_streams(self, name: str) -> None:
        for stream in list(self.open_by_id.get(EndpointId(name), ())):
            stream.send_nowait(None)


class _Stream:
    def __init__(self, receive: Any) -> None:
        self._receive = receive

    async def receive(self) -> Any:
        return await self._receive.receive()

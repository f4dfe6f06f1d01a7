"""Port to the model engines."""

from contextlib import AbstractAsyncContextManager
from typing import Protocol

from mimosamux_daemon.domain.engine import (
    ConnectFailed,
    EngineCall,
    EngineEvent,
    EngineOrder,
    EngineRefused,
    EngineReport,
    KvExport,
    KvImported,
    KvUnavailable,
    OrderDone,
    OrderRefused,
    OrderUnanswered,
    StreamBroken,
)
from mimosamux_daemon.domain.names import RequestId
from mimosamux_daemon.domain.vms import Endpoint


class EngineStream(Protocol):
    """An open stream of one attempt."""

    async def receive(self) -> EngineEvent:
        """Return the next event; none follow `StreamEnd` or `StreamBroken`.

        Token frames that are ready together may be merged into one.
        """


class ReportStream(Protocol):
    """An open stream of load reports and cache events."""

    async def receive(self) -> EngineReport | None:
        """Return the next report, or None at the end of the stream."""


class Engines(Protocol):
    """Calls to model engines, which are addressed by their endpoints."""

    def generate(
        self, endpoint: Endpoint, call: EngineCall
    ) -> AbstractAsyncContextManager[
        EngineStream | ConnectFailed | EngineRefused | StreamBroken
    ]:
        """Open the stream of one attempt; leaving the block closes it."""

    def watch(
        self, endpoint: Endpoint
    ) -> AbstractAsyncContextManager[ReportStream | ConnectFailed]:
        """Open the stream of reports; it starts with a cache snapshot."""

    async def cancel(
        self, endpoint: Endpoint, request: RequestId, attempt: int
    ) -> None:
        """Ask the engine to abort an attempt; best effort."""

    async def export_kv(
        self, endpoint: Endpoint, request: RequestId, attempt: int
    ) -> KvExport | KvUnavailable:
        """Stop an attempt between two tokens and export its KV cache."""

    async def import_kv(
        self, endpoint: Endpoint, source: Endpoint, export: KvExport
    ) -> KvImported | KvUnavailable:
        """Have `endpoint` fetch an exported KV cache from `source`."""

    async def order(
        self, endpoint: Endpoint, order: EngineOrder
    ) -> OrderDone | OrderRefused | OrderUnanswered:
        """Send an order to load, unload or change role."""

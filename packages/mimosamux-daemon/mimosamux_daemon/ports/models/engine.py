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
        """Return the next event; after an end or a break none follow.

        Frames that are ready together may come joined into one.
        """


class ReportStream(Protocol):
    """An open stream of load reports and cache events."""

    async def receive(self) -> EngineReport | None:
        """Return the next report, None when the stream has ended."""


class Engines(Protocol):
    """Every model engine, addressed by its endpoint."""

    def generate(
        self, endpoint: Endpoint, call: EngineCall
    ) -> AbstractAsyncContextManager[
        EngineStream | ConnectFailed | EngineRefused | StreamBroken
    ]:
        """Open the stream of one attempt; leaving it hangs up."""

    def watch(
        self, endpoint: Endpoint
    ) -> AbstractAsyncContextManager[ReportStream | ConnectFailed]:
        """Open the stream of reports, which starts with a snapshot."""

    async def cancel(
        self, endpoint: Endpoint, request: RequestId, attempt: int
    ) -> None:
        """Ask the engine to drop an attempt; failing is harmless."""

    async def export_kv(
        self, endpoint: Endpoint, request: RequestId, attempt: int
    ) -> KvExport | KvUnavailable:
        """Stop an attempt at a token and export its KV cache."""

    async def import_kv(
        self, endpoint: Endpoint, source: Endpoint, export: KvExport
    ) -> KvImported | KvUnavailable:
        """Have `endpoint` fetch exported KV cache from `source`."""

    async def order(
        self, endpoint: Endpoint, order: EngineOrder
    ) -> OrderDone | OrderRefused | OrderUnanswered:
        """Give an order to load, unload or change role."""

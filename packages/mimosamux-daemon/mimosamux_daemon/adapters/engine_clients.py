"""HTTP clients of model engines."""

import ssl
from collections import OrderedDict
from dataclasses import dataclass, field

import httpx

CONNECT_TIMEOUT_S = 1.0
KEEPALIVE_S = 30.0
MAX_ENGINES = 1000
"""Engines above which the client that was used longest ago is closed."""


@dataclass(kw_only=True, slots=True)
class EngineClients:
    """One client for each engine.

    A pool of connections looks at all of them for each request; with one
    pool for 250 streams that would take milliseconds a request.
    """

    by_address: OrderedDict[str, httpx.AsyncClient] = field(
        default_factory=OrderedDict
    )
    context: ssl.SSLContext = field(default_factory=ssl.create_default_context)
    """Shared, because each client would load all certificates anew."""

    async def get(self, address: str) -> httpx.AsyncClient:
        """Return the client of the engine at an address."""
        client = self.by_address.get(address)
        if client is None:
            client = self._open()
            self.by_address[address] = client
            await self._close_unused()
        self.by_address.move_to_end(address)
        return client

    async def aclose(self) -> None:
        """Close every connection."""
        for client in self.by_address.values():
            await client.aclose()
        self.by_address.clear()

    def _open(self) -> httpx.AsyncClient:
        # Silence of an engine is watched by the serving, which knows each
        # class's patience; a read timeout here would cut off the calls
        # that wait in a long queue.
        return httpx.AsyncClient(
            verify=self.context,
            trust_env=False,
            timeout=httpx.Timeout(
                None, connect=CONNECT_TIMEOUT_S, write=CONNECT_TIMEOUT_S
            ),
            limits=httpx.Limits(
                max_connections=None,
                max_keepalive_connections=None,
                keepalive_expiry=KEEPALIVE_S,
            ),
            # Compressed events would not be readable as they come.
            headers={'Accept-Encoding': 'identity'},
        )

    async def _close_unused(self) -> None:
        """Close the client used longest ago: its engine is long gone."""
        if len(self.by_address) > MAX_ENGINES:
            _, client = self.by_address.popitem(last=False)
            await client.aclose()

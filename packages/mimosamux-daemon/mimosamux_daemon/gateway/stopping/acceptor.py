"""Accepts the connections of one listener until it is told to stop."""

from dataclasses import dataclass, field

import anyio
import anyio.abc

from mimosamux_daemon.ports.network import ConnectionHandler, Listener


@dataclass(kw_only=True, slots=True)
class Acceptor:
    """A listener whose connections outlive the accepting of new ones."""

    listener: Listener
    handler: ConnectionHandler
    tasks: anyio.abc.TaskGroup
    _scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    _ended: anyio.Event = field(default_factory=anyio.Event)

    @property
    def opening(self) -> int:
        """Number of accepted connections that the server does not know yet."""
        return self.listener.opening

    async def run(self) -> None:
        """Accept until `stop`; the connections run in `tasks`."""
        with self._scope:
            await self.listener.serve(self.handler, self.tasks)
        self._ended.set()

    async def stop(self) -> None:
        """Accept what waits and close the listener; then return."""
        self._scope.cancel()
        await self._ended.wait()

"""Connections to many addresses that are kept and used again."""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from mimosamux_daemon.adapters.http1_channel import (
    Channel,
    ChannelBroken,
    describe,
)
from mimosamux_daemon.adapters.reset_watch import ResetWatch
from mimosamux_daemon.callers import ParseTurns
from mimosamux_daemon.ports.network import Network

SWEEP_S = 1.0
"""Time between two looks for idle connections that are to be closed."""
MAX_IDLE = 64
"""Idle connections kept for one address."""


@dataclass(kw_only=True, slots=True)
class Channels:
    """Idle connections by address; one that is in use belongs to its user."""

    network: Network
    connect_timeout_s: float
    resets: ResetWatch = field(default_factory=ResetWatch)
    note_received: Callable[[str], None] = lambda _: None
    """Called with the address from which bytes arrived."""
    note_tunnel_broken: Callable[[str, str], None] = lambda *_: None
    """Called with the tunnel and the address of a connection that broke."""
    may_send_through: Callable[[str], bool] = lambda _: True
    """Whether requests may go through the tunnel of a peer."""
    opened: int = 0
    """Connections opened so far."""
    _turns: ParseTurns = field(default_factory=ParseTurns)
    """Turns of the loop for answers in many small chunks."""
    _idle_by_address: dict[str, list[Channel]] = field(default_factory=dict)
    _forgotten: list[Channel] = field(default_factory=list)
    _has_forgotten: anyio.Event = field(default_factory=anyio.Event)

    async def take(self, address: str) -> Channel | ChannelBroken:
        """Return an idle connection, or a new one."""
        idle = self._idle_by_address.get(address, [])
        while idle:
            channel = idle.pop()
            if self._is_good(channel):
                channel.recycle()
                return channel
            await channel.close()
        return await self.open(address)

    async def open(self, address: str) -> Channel | ChannelBroken:
        """Return a new connection."""
        try:
            with anyio.fail_after(self.connect_timeout_s):
                connection = await self.network.connect(address)
        except (OSError, TimeoutError) as error:
            return ChannelBroken(
                reason=describe(error),
                is_refused=isinstance(error, ConnectionRefusedError),
                is_timeout=isinstance(error, TimeoutError),
            )
        self.opened += 1
        connection.limit_unread()
        return Channel(
            turns=self._turns,
            address=address,
            connection=connection,
            via=connection.via,
            note_reset=self.resets.note,
            note_received=self.note_received,
            note_tunnel_broken=self.note_tunnel_broken,
        )

    def _is_good(self, channel: Channel) -> bool:
        return (
            channel.is_fresh()
            and channel.was_used_since(self.resets.last_at)
            and channel.is_reusable()
            and self._is_way_open(channel)
        )

    def _is_way_open(self, channel: Channel) -> bool:
        return not channel.via or self.may_send_through(channel.via)

    async def give_back(self, channel: Channel) -> None:
        """Keep a connection for later if it is still good."""
        idle = self._idle_by_address.setdefault(channel.address, [])
        if (
            len(idle) < MAX_IDLE
            and channel.is_reusable()
            and self._is_way_open(channel)
        ):
            idle.append(channel)
        else:
            await channel.close()

    async def give_back_probe(self, channel: Channel) -> None:
        """Keep a connection that only probed its address if none is idle."""
        if self._idle_by_address.get(channel.address):
            await channel.close()
        else:
            await self.give_back(channel)

    def forget(self, address: str) -> None:
        """Use none of the idle connections to an address any more.

        They led to a process that is gone. A request sent on one of them
        may count as run and never be answered.
        """
        self._forgotten += self._idle_by_address.pop(address, [])

    def discard_tunnels(self, tunnel: str) -> None:
        """Have the idle connections through a peer's tunnel closed at once.

        A peer that stops waits for them: it cannot tell which are in use.
        """
        for idle in self._idle_by_address.values():
            self._forgotten += [each for each in idle if each.via == tunnel]
            idle[:] = [each for each in idle if each.via != tunnel]
        self._has_forgotten.set()

    async def drop(self, address: str) -> None:
        """Close the idle connections to an address."""
        for channel in self._idle_by_address.pop(address, []):
            await channel.close()

    async def sweep(self) -> None:
        """Close idle connections that became old, until cancelled.

        Kept beyond its limit, a connection is closed by the other side,
        and holds a place there that others may need until then.
        """
        while True:
            with anyio.move_on_after(SWEEP_S):
                await self._has_forgotten.wait()
            await self._close_forgotten()
            for address, idle in tuple(self._idle_by_address.items()):
                kept = [channel for channel in idle if channel.is_fresh()]
                old = [channel for channel in idle if channel not in kept]
                idle[:] = kept
                if not kept:
                    self._idle_by_address.pop(address, None)
                for channel in old:
                    await channel.close()

    async def close(self) -> None:
        """Close every idle connection."""
        await self._close_forgotten()
        for address in tuple(self._idle_by_address):
            await self.drop(address)

    async def _close_forgotten(self) -> None:
        forgotten, self._forgotten = self._forgotten, []
        self._has_forgotten = anyio.Event()
        for channel in forgotten:
            await channel.close()

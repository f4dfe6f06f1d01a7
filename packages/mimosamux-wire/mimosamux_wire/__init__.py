"""Messages between mimosamux daemons."""

from mimosamux_wire.messages import Acknowledged, Message

__all__ = ['Acknowledged', 'Message']

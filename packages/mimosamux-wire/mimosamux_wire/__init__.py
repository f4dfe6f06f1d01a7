"""Messages between mimosamux daemons."""

from mimosamux_wire.fleet_messages import (
    EndpointDigest,
    FleetDigest,
    FullDigestWanted,
    LeavingEndpoint,
    LeavingEndpoints,
)
from mimosamux_wire.messages import Acknowledged, Message

__all__ = [
    'Acknowledged',
    'EndpointDigest',
    'FleetDigest',
    'FullDigestWanted',
    'LeavingEndpoint',
    'LeavingEndpoints',
    'Message',
]

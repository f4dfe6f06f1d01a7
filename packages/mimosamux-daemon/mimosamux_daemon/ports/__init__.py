"""Protocol classes of everything outside the daemon's own logic."""

from mimosamux_daemon.ports.cloud import Cloud, StartRefused, StartVM
from mimosamux_daemon.ports.engine import Engines, EngineStream, ReportStream
from mimosamux_daemon.ports.object_store import ObjectStore
from mimosamux_daemon.ports.peer import (
    Handler,
    PeerLinks,
    Peers,
    PeerUnavailable,
)
from mimosamux_daemon.ports.service import (
    ServiceAnswer,
    Services,
    ServiceUnanswered,
)
from mimosamux_daemon.ports.table import Table
from mimosamux_daemon.ports.weight_store import WeightLimits, WeightStore

__all__ = [
    'Cloud',
    'EngineStream',
    'Engines',
    'Handler',
    'ObjectStore',
    'PeerLinks',
    'PeerUnavailable',
    'Peers',
    'ReportStream',
    'ServiceAnswer',
    'ServiceUnanswered',
    'Services',
    'StartRefused',
    'StartVM',
    'Table',
    'WeightLimits',
    'WeightStore',
]

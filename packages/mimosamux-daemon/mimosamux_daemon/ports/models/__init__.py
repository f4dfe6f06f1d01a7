"""Ports that only the daemon for model classes uses.

A separate package, so that a gateway does not import them at start-up.
"""

from mimosamux_daemon.ports.models.cloud import Cloud, StartRefused, StartVM
from mimosamux_daemon.ports.models.engine import (
    Engines,
    EngineStream,
    ReportStream,
)
from mimosamux_daemon.ports.models.object_store import ObjectStore
from mimosamux_daemon.ports.models.service import (
    ServiceAnswer,
    Services,
    ServiceUnanswered,
)
from mimosamux_daemon.ports.models.weight_store import (
    WeightLimits,
    WeightStore,
)

__all__ = [
    'Cloud',
    'EngineStream',
    'Engines',
    'ObjectStore',
    'ReportStream',
    'ServiceAnswer',
    'ServiceUnanswered',
    'Services',
    'StartRefused',
    'StartVM',
    'WeightLimits',
    'WeightStore',
]

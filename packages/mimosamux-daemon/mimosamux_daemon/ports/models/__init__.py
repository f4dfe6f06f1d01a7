"""Protocol classes of what only the daemon of model classes meets.

Apart from the others, so that a gateway does not load them at each start.
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

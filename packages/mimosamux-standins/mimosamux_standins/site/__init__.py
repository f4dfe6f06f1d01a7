"""A small stand-in for the users' platform: store, cloud and replicas.

They speak the platform's wire, on any network, so that tests play them in
memory on a paused clock and `make platform` on loopback.
"""

from mimosamux_standins.site.caller import CallerAnswer, StandInCaller
from mimosamux_standins.site.cloud import StandInCloud
from mimosamux_standins.site.documents import SiteDocument
from mimosamux_standins.site.replica import (
    Fault,
    Framing,
    MoveFault,
    ReplicaSpeed,
    StandInReplica,
)
from mimosamux_standins.site.store import StandInStore

__all__ = [
    'CallerAnswer',
    'Fault',
    'Framing',
    'MoveFault',
    'ReplicaSpeed',
    'SiteDocument',
    'StandInCaller',
    'StandInCloud',
    'StandInReplica',
    'StandInStore',
]

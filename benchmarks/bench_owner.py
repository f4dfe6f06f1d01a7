"""Processor time of an owner of endpoints: reports and digests."""

import random
import time
from collections.abc import Callable
from typing import Any

import anyio
import orjson
from mimosamux_daemon.adapters.http_cloud import VMsReply
from mimosamux_daemon.adapters.http_engine_models import ReportModel
from mimosamux_daemon.control.digests import DigestWriter, apply_digest
from mimosamux_daemon.domain.names import (
    DataCentreName,
    EndpointId,
    ModelName,
    VMId,
)
from mimosamux_daemon.domain.vms import VM, Market, VMRole, VMState
from mimosamux_daemon.serving.fleet import Fleet
from mimosamux_wire import Envelope, EnvelopeType, FleetDigest, decode, encode

from benchmarks.fleet_model import make_endpoint
from benchmarks.report import Table

REQUESTS_PER_S = 20
BLOCKS = 32
ROUNDS = 40
SHAPES = ((3, 2), (9, 6), (11, 12), (11, 35))
"""Daemons of a data centre, and endpoints that each of them owns."""


def run() -> list[Table]:
    """Return what an owner spends a second, by size of the data centre."""
    rows = [anyio.run(_measure, *shape) for shape in SHAPES]
    return [
        _show_list(),
        Table(
            title='An owner of endpoints, ms of a core a second',
            columns=(
                'daemons x endpoints each',
                'read reports',
                'write a digest',
                'send to all',
                'take from all',
                'together',
            ),
            rows=tuple(rows),
            note='a load report a second from each endpoint, 20 cache events'
            ' of 64 blocks; processor time; the limit for control is 22',
        ),
    ]


def _show_list() -> Table:
    """Return the size of a VM in a list, as the platform sends it."""
    vm = VM(
        id=VMId('vm-1234567'),
        data_centre=DataCentreName('stockholm-1'),
        machine_class='standard',
        market=Market.RECLAIMABLE,
        role=VMRole.ENDPOINT,
        state=VMState.LIVE,
        address='10.12.13.14:8000',
        order_id='0123456789abcdef0123456789abcdef',
        model=ModelName('itinerary'),
    )
    reply = VMsReply(vms=(vm,) * 375)
    size = len(reply.model_dump_json())
    return Table(
        title='List of the VMs of a data centre',
        columns=('VMs', 'bytes', 'bytes a VM'),
        rows=((375, size, size / 375),),
    )


async def _measure(
    daemons: int, owned: int
) -> tuple[str, float, float, float, float, float]:
    rng = random.Random(1)
    fleet = Fleet()
    for number in range(daemons * owned):
        fleet.add(make_endpoint(number))
    ids = list(fleet.by_id)[:owned]
    writer = DigestWriter(fleet=fleet)
    peers = daemons - 1
    spent = [0.0, 0.0, 0.0, 0.0]
    for second in range(ROUNDS):
        lines = [_make_load(second, rng) for _ in ids]
        events = [_make_cache(second, rng) for _ in range(REQUESTS_PER_S)]
        spent[0] += _time(_read, fleet, writer, ids, lines, events)
        begun = time.process_time()
        digest = writer.write(peers=peers)
        spent[1] += time.process_time() - begun
        spent[2] += _time(_send, digest, peers)
        data = encode(digest, EnvelopeType.ONEWAY, 1)
        spent[3] += _time(_take, fleet, data, peers)
    each = [1000 * seconds / ROUNDS for seconds in spent]
    return (f'{daemons} x {owned}', *each, sum(each))  # type: ignore[return-value]


def _time(action: Callable[..., None], *args: Any) -> float:
    begun = time.process_time()
    action(*args)
    return time.process_time() - begun


def _read(
    fleet: Fleet,
    writer: DigestWriter,
    ids: list[EndpointId],
    lines: list[bytes],
    events: list[bytes],
) -> None:
    for id_, line in zip(ids, lines, strict=True):
        report = ReportModel.model_validate_json(line).as_report(id_)
        if report is not None:
            fleet.apply_report(report)  # type: ignore[arg-type]
            writer.note(report)
    for number, line in enumerate(events):
        id_ = ids[number % len(ids)]
        event = ReportModel.model_validate_json(line).as_report(id_)
        if event is not None:
            writer.note(event)


def _send(digest: FleetDigest, peers: int) -> None:
    for _ in range(peers):
        encode(digest, EnvelopeType.ONEWAY, 1)


def _take(fleet: Fleet, data: bytes, peers: int) -> None:
    for _ in range(peers):
        envelope = decode(data)
        if isinstance(envelope, Envelope):
            apply_digest(fleet, envelope.message)  # type: ignore[arg-type]


def _make_load(sequence: int, rng: random.Random) -> bytes:
    return orjson.dumps(
        {
            'load': {
                'sequence': sequence,
                'age_s': 0.5,
                'queued_prefill_tokens': rng.randrange(5_000),
                'running': rng.randrange(16),
                'waiting': rng.randrange(4),
                'slots': 16,
                'prefill_tokens_per_s': rng.uniform(9_000, 11_000),
                'decode_interval_s': rng.uniform(0.028, 0.034),
            }
        }
    )


def _make_cache(sequence: int, rng: random.Random) -> bytes:
    return orjson.dumps(
        {
            'cache': {
                'sequence': sequence,
                'stored': [rng.getrandbits(64) for _ in range(BLOCKS)],
                'evicted': [rng.getrandbits(64) for _ in range(BLOCKS)],
            }
        }
    )

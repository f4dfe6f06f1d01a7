"""What daemons before endpoints tell each other costs, by their number."""

import time
from collections.abc import Callable
from functools import partial

from mimosamux_daemon.gateway.peer_states import (
    INTERVAL_PER_PEER_S,
    INTERVAL_S,
)
from mimosamux_wire import (
    CapUse,
    DigestHeard,
    EndpointUse,
    EnvelopeType,
    ServiceDemand,
    StateDigest,
    WindowUse,
    decode,
    encode,
)

from benchmarks.report import Table

SITES = ((9, 15, 5), (79, 49, 16), (340, 12_000, 200))
"""Daemons, endpoints, client accounts."""
LARGEST_USE = 1 << 30
ENDPOINTS_IN_USE = 40
"""Endpoints at which one daemon has requests under way or just ended."""
ROUNDS = 200


def build_digest(daemons: int, endpoints: int, accounts: int) -> StateDigest:
    """Return a digest as a busy daemon of a site sends it."""
    return StateDigest(
        address='10.1.0.16:8367',
        data_centre='north-a',
        region='north',
        entry_address='10.1.0.16:8360',
        lifetime=1 << 61,
        sequence=10_000,
        endpoints=[
            EndpointUse(
                endpoint=f'i-{number:010x}',
                open_requests=4,
                unread_tokens=9_000,
                ended=12,
                failed=1,
            )
            for number in range(min(endpoints, ENDPOINTS_IN_USE))
        ],
        caps=[
            CapUse(account=f'acct{number}', used=LARGEST_USE, recent=900_000)
            for number in range(accounts)
        ],
        windows=[
            WindowUse(window=353_445_120, account=f'acct{n}', requests=90)
            for n in range(accounts)
        ],
        demands=[ServiceDemand(service='engines', busy_ms=9_000_000)],
        heard=[
            DigestHeard(lifetime=1 << 61, sequence=10_000)
            for _ in range(daemons - 1)
        ],
    )


def run() -> list[Table]:
    """Return bytes and processor time of digests at three sizes."""
    rows = []
    for daemons, endpoints, accounts in SITES:
        digest = build_digest(daemons, endpoints, accounts)
        data = encode(digest, EnvelopeType.ONEWAY, 0)
        encode_us = _time_us(partial(encode, digest, EnvelopeType.ONEWAY, 0))
        decode_us = _time_us(partial(decode, data))
        interval_s = max(INTERVAL_S, INTERVAL_PER_PEER_S * (daemons - 1))
        per_s = (daemons - 1) / interval_s
        rows.append(
            (
                daemons,
                len(data),
                round(encode_us),
                round(decode_us),
                round(interval_s, 2),
                round(per_s * len(data) / 1000, 1),
                round((encode_us / interval_s + decode_us * per_s) / 1000, 1),
            )
        )
    return [
        Table(
            title='states that daemons tell each other',
            columns=(
                'daemons',
                'bytes',
                'encode us',
                'decode us',
                'interval s',
                'KB/s each way',
                'codec ms/s',
            ),
            rows=tuple(rows),
        )
    ]


def _time_us(work: Callable[[], object]) -> float:
    begun = time.perf_counter()
    for _ in range(ROUNDS):
        work()
    return (time.perf_counter() - begun) / ROUNDS * 1e6

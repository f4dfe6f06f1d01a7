"""Digests with the state of endpoints that daemons exchange each second.

A digest carries what changed since the sender's previous digest: load
reports, prefix-cache keys, requests sent and the usage by client accounts.
A full digest carries the complete state of the sender's endpoints.
"""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import anyio
from mimosamux_wire import AccountUse, EndpointDigest, FleetDigest

from mimosamux_daemon.control.cache_changes import (
    KEY_BYTES,
    CacheChanges,
    find_sampling_mask,
    pack_keys,
    sample_keys,
    unpack_keys,
)
from mimosamux_daemon.domain.engine import EngineReport, LoadReport
from mimosamux_daemon.domain.names import EndpointId
from mimosamux_daemon.serving.fleet import (
    EndpointState,
    Fleet,
    UnreportedWork,
    hash_endpoint_id,
)
from mimosamux_daemon.serving.load import SentWork

DIGEST_INTERVAL_S = 1.0
SPEED_TOLERANCE = 0.1
"""Relative change of a speed up to which digests leave it out."""
BUDGET_BYTES_PER_S = 20_000
"""Bytes of digests per second that a daemon sends and receives, in total."""
MIN_CACHE_KEYS = 16
"""Cache keys that a digest may hold even if they exceed the budget."""
FULL_CACHE_KEYS = 1_600
"""Maximum cache keys in a full digest, which a new peer receives."""
REPORT_BYTES = 20
"""Size of an endpoint's load and request counts in a digest."""
ACCOUNT_BYTES = 17
"""Size of an account's usage in a digest."""
CACHE_ITEM_BYTES = 4
"""Overhead of an endpoint's two lists of cache keys, without the keys."""


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineCapacity:
    """Slots and speeds of an engine: load report fields that rarely change."""

    slots: int
    prefill_tokens_per_s: int
    decode_interval_us: int

    def differs_from(self, known: 'EngineCapacity | None') -> bool:
        """Whether peers that last received `known` need an update."""
        if known is None or known.slots != self.slots:
            return True
        return not (
            math.isclose(
                known.prefill_tokens_per_s,
                self.prefill_tokens_per_s,
                rel_tol=SPEED_TOLERANCE,
            )
            and math.isclose(
                known.decode_interval_us,
                self.decode_interval_us,
                rel_tol=SPEED_TOLERANCE,
            )
        )


def capacity_of(state: EndpointState) -> EngineCapacity:
    """Return the capacity as digests carry it, in whole units."""
    load = state.load
    return EngineCapacity(
        slots=load.slots,
        prefill_tokens_per_s=int(load.prefill_tokens_per_s),
        decode_interval_us=int(load.decode_interval_s * 1e6),
    )


class DigestWriter:
    """Collects changes of the owned endpoints and writes them as digests.

    The digests keep within `BUDGET_BYTES_PER_S` by sampling cache keys.
    """

    def __init__(self, *, fleet: Fleet) -> None:
        self._fleet = fleet
        self._sequence = 0
        self._written_at: float | None = None
        self._reported_ids: dict[EndpointId, None] = {}
        self._cache_changes_by_id: dict[EndpointId, CacheChanges] = {}
        self._sent_capacity_by_id: dict[EndpointId, EngineCapacity] = {}
        self._sent_doubt_by_id: dict[EndpointId, bool] = {}

    def note(self, report: EngineReport) -> None:
        """Add a report of an endpoint that this daemon owns."""
        if isinstance(report, LoadReport):
            self._reported_ids[report.endpoint] = None
            return
        cache_changes = self._cache_changes_by_id.setdefault(
            report.endpoint, CacheChanges()
        )
        cache_changes.note(report)

    def forget(self, endpoint: EndpointId) -> None:
        """Drop the changes of an endpoint that this daemon ceased to own."""
        self._reported_ids.pop(endpoint, None)
        self._cache_changes_by_id.pop(endpoint, None)
        self._sent_capacity_by_id.pop(endpoint, None)
        self._sent_doubt_by_id.pop(endpoint, None)

    def write(
        self, *, peers: int, accounts: Sequence[AccountUse] = ()
    ) -> FleetDigest:
        """Return a digest of the changes since the last one.

        `peers` is the number of peers that it goes to; they share the
        budget.
        """
        now = anyio.current_time()
        recent = self._fleet.take_unreported()
        ids = {**self._reported_ids, **dict.fromkeys(recent)}
        items = {
            id_: self._write_load(id_, recent.get(id_), now)
            for id_ in ids
            if id_ in self._fleet.by_id
        }
        budget = BUDGET_BYTES_PER_S * DIGEST_INTERVAL_S / 2 / max(peers, 1)
        bytes_left = budget - len(items) * REPORT_BYTES
        bytes_left -= len(accounts) * ACCOUNT_BYTES
        self._write_cache(items, int(bytes_left))
        self._sequence += 1
        previous_at = now if self._written_at is None else self._written_at
        self._written_at = now
        self._reported_ids.clear()
        return FleetDigest(
            sequence=self._sequence,
            interval_ms=int((now - previous_at) * 1000),
            endpoints=list(items.values()),
            accounts=list(accounts),
        )

    def write_full(
        self, owned: Iterable[EndpointId], changes: FleetDigest
    ) -> FleetDigest:
        """Return a full digest of the owned endpoints.

        It replaces `changes`, the digest of changes with the same sequence
        number, and includes its entries.
        """
        now = anyio.current_time()
        item_by_key = {item.endpoint: item for item in changes.endpoints}
        known = [id_ for id_ in owned if id_ in self._fleet.by_id]
        keys_each = FULL_CACHE_KEYS // max(len(known), 1)
        for id_ in known:
            state = self._fleet.by_id[id_]
            item = EndpointDigest(endpoint=hash_endpoint_id(id_))
            if state.report is not None:
                _write_report(item, state, now)
                _write_capacity(item, capacity_of(state))
            keys = self._fleet.cache.keys(id_)
            item.stored = pack_keys(sample_keys(keys, keys_each))
            item.doubtful = self._fleet.cache.has_event_gap(id_)
            _copy_request_counts(item, item_by_key.get(item.endpoint))
            item_by_key[item.endpoint] = item
        return FleetDigest(
            sequence=changes.sequence,
            interval_ms=changes.interval_ms,
            full=True,
            endpoints=list(item_by_key.values()),
            accounts=changes.accounts,
        )

    def _write_load(
        self, id_: EndpointId, recent: UnreportedWork | None, now: float
    ) -> EndpointDigest:
        state = self._fleet.by_id[id_]
        item = EndpointDigest(endpoint=hash_endpoint_id(id_))
        if id_ in self._reported_ids:
            _write_report(item, state, now)
            capacity = capacity_of(state)
            if capacity.differs_from(self._sent_capacity_by_id.get(id_)):
                self._sent_capacity_by_id[id_] = capacity
                _write_capacity(item, capacity)
        if recent is not None:
            item.sent_requests = recent.requests or None
            item.sent_tokens = int(recent.tokens) or None
            item.ended_requests = recent.ended or None
        return item

    def _write_cache(
        self, items: dict[EndpointId, EndpointDigest], bytes_left: int
    ) -> None:
        bytes_left -= CACHE_ITEM_BYTES * len(self._cache_changes_by_id)
        keys = [
            key
            for cache_changes in self._cache_changes_by_id.values()
            for key in (*cache_changes.stored, *cache_changes.evicted)
        ]
        limit = max(bytes_left // KEY_BYTES, MIN_CACHE_KEYS)
        mask = find_sampling_mask(keys, limit)
        for id_, cache_changes in self._cache_changes_by_id.items():
            if id_ not in self._fleet.by_id:
                continue
            stored = pack_keys(
                key for key in cache_changes.stored if not key & mask
            )
            evicted = pack_keys(
                key for key in cache_changes.evicted if not key & mask
            )
            doubtful = self._fleet.cache.has_event_gap(id_)
            changed = self._sent_doubt_by_id.get(id_, False) != doubtful
            if stored is None and evicted is None and not changed:
                continue
            empty_item = EndpointDigest(endpoint=hash_endpoint_id(id_))
            item = items.setdefault(id_, empty_item)
            item.stored = stored
            item.evicted = evicted
            if changed:
                item.doubtful = self._sent_doubt_by_id[id_] = doubtful
        self._cache_changes_by_id.clear()


def apply_digest(fleet: Fleet, digest: FleetDigest) -> None:
    """Apply a peer's digest to the endpoints that this daemon knows."""
    now = anyio.current_time()
    sent_at = now - digest.interval_ms / 2000
    for item in digest.endpoints:
        state = fleet.by_key.get(item.endpoint)
        if state is None:
            continue
        if item.age_ms is not None:
            _apply_report(state, item, now)
        if item.sent_requests or item.ended_requests:
            state.load.note_peer(
                SentWork(
                    at=sent_at,
                    tokens=float(item.sent_tokens or 0),
                    requests=item.sent_requests or 0,
                    ended=item.ended_requests or 0,
                )
            )
        id_ = state.endpoint.id
        if item.stored:
            fleet.cache.add(id_, unpack_keys(item.stored))
        if item.evicted:
            fleet.cache.discard(id_, unpack_keys(item.evicted))
        if item.doubtful is not None:
            fleet.cache.set_event_gap(id_, has_gap=item.doubtful)


def _apply_report(
    state: EndpointState, item: EndpointDigest, now: float
) -> None:
    load = state.load
    interval_us = item.decode_interval_us
    report = LoadReport(
        endpoint=state.endpoint.id,
        sequence=0,
        age_s=(item.age_ms or 0) / 1000,
        queued_prefill_tokens=item.queued_prefill_tokens or 0,
        running=item.running or 0,
        waiting=item.waiting or 0,
        slots=item.slots or load.slots,
        prefill_tokens_per_s=float(
            item.prefill_tokens_per_s or load.prefill_tokens_per_s
        ),
        decode_interval_s=(
            interval_us / 1e6 if interval_us else load.decode_interval_s
        ),
    )
    load.apply_report(report, now=now)


def _write_report(
    item: EndpointDigest, state: EndpointState, now: float
) -> None:
    report = state.load.report
    if report is None:
        return
    item.age_ms = int((now - state.load.reported_at) * 1000)
    item.queued_prefill_tokens = report.queued_prefill_tokens or None
    item.running = report.running or None
    item.waiting = report.waiting or None


def _write_capacity(item: EndpointDigest, capacity: EngineCapacity) -> None:
    item.slots = capacity.slots
    item.prefill_tokens_per_s = capacity.prefill_tokens_per_s
    item.decode_interval_us = capacity.decode_interval_us


def _copy_request_counts(
    item: EndpointDigest, changes: EndpointDigest | None
) -> None:
    if changes is None:
        return
    item.sent_requests = changes.sent_requests
    item.sent_tokens = changes.sent_tokens
    item.ended_requests = changes.ended_requests

"""Digests: what a daemon tells its peers about endpoints each second."""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import anyio
from mimosamux_wire import AccountUse, EndpointDigest, FleetDigest

from mimosamux_daemon.control.cache_news import (
    KEY_BYTES,
    CacheNews,
    find_mask,
    pack_keys,
    sample_keys,
    unpack_keys,
)
from mimosamux_daemon.domain.engine import EngineReport, LoadReport
from mimosamux_daemon.domain.names import EndpointId
from mimosamux_daemon.serving.fleet import (
    EndpointState,
    Fleet,
    RecentWork,
    key_of,
)
from mimosamux_daemon.serving.load import Sent

DIGEST_INTERVAL_S = 1.0
SPEED_TOLERANCE = 0.1
"""Change of a speed, as a share, that peers are not told of."""
BUDGET_BYTES_PER_S = 20_000
"""Bytes of digests a second that a daemon sends and receives in all."""
LEAST_CACHE_KEYS = 16
FULL_CACHE_KEYS = 1_600
"""Keys in a full digest, which goes to a peer that is new."""
REPORT_BYTES = 20
"""Size of an endpoint's load and sends in a digest, as measured."""
ACCOUNT_BYTES = 17
"""Size of an account's use in a digest, as measured."""
CACHE_ITEM_BYTES = 4
"""What the two lists of keys add to an endpoint, without the keys."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Speeds:
    """Fields of a report that rarely change."""

    slots: int
    prefill_tokens_per_s: int
    decode_interval_us: int

    def has_moved(self, known: 'Speeds | None') -> bool:
        """Whether peers who know `known` have to be told."""
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


def speeds_of(state: EndpointState) -> Speeds:
    """Return the speeds that a peer has to know."""
    load = state.load
    return Speeds(
        slots=load.slots,
        prefill_tokens_per_s=int(load.prefill_tokens_per_s),
        decode_interval_us=int(load.decode_interval_s * 1e6),
    )


class DigestWriter:
    """Collects news and writes them as digests within a budget."""

    def __init__(self, *, fleet: Fleet) -> None:
        self._fleet = fleet
        self._sequence = 0
        self._written_at: float | None = None
        self._reported: dict[EndpointId, None] = {}
        self._cache_by_id: dict[EndpointId, CacheNews] = {}
        self._speeds_by_id: dict[EndpointId, Speeds] = {}
        self._doubt_by_id: dict[EndpointId, bool] = {}

    def note(self, report: EngineReport) -> None:
        """Count a report of an endpoint that this daemon owns."""
        if isinstance(report, LoadReport):
            self._reported[report.endpoint] = None
            return
        news = self._cache_by_id.setdefault(report.endpoint, CacheNews())
        news.note(report)

    def forget(self, endpoint: EndpointId) -> None:
        """Drop what was noted of an endpoint no longer owned."""
        self._reported.pop(endpoint, None)
        self._cache_by_id.pop(endpoint, None)
        self._speeds_by_id.pop(endpoint, None)
        self._doubt_by_id.pop(endpoint, None)

    def write(
        self, *, peers: int, accounts: Sequence[AccountUse] = ()
    ) -> FleetDigest:
        """Return the news since the last digest, for `peers` peers."""
        now = anyio.current_time()
        recent = self._fleet.take_recent()
        ids = {**self._reported, **dict.fromkeys(recent)}
        items = {
            id_: self._write_load(id_, recent.get(id_), now)
            for id_ in ids
            if id_ in self._fleet.by_id
        }
        allowed = BUDGET_BYTES_PER_S * DIGEST_INTERVAL_S / 2 / max(peers, 1)
        left = allowed - len(items) * REPORT_BYTES
        left -= len(accounts) * ACCOUNT_BYTES
        self._write_cache(items, int(left))
        self._sequence += 1
        since = now if self._written_at is None else self._written_at
        self._written_at = now
        self._reported.clear()
        return FleetDigest(
            sequence=self._sequence,
            interval_ms=int((now - since) * 1000),
            endpoints=list(items.values()),
            accounts=list(accounts),
        )

    def write_full(
        self, owned: Iterable[EndpointId], news: FleetDigest
    ) -> FleetDigest:
        """Return all about the owned endpoints, in place of `news`."""
        now = anyio.current_time()
        sent = {item.endpoint: item for item in news.endpoints}
        known = [id_ for id_ in owned if id_ in self._fleet.by_id]
        share = FULL_CACHE_KEYS // max(len(known), 1)
        for id_ in known:
            state = self._fleet.by_id[id_]
            item = EndpointDigest(endpoint=key_of(id_))
            if state.report is not None:
                _write_report(item, state, now)
                _write_speeds(item, speeds_of(state))
            keys = self._fleet.cache.keys(id_)
            item.stored = pack_keys(sample_keys(keys, share))
            item.doubtful = self._fleet.cache.has_doubt(id_)
            _copy_sends(item, sent.get(item.endpoint))
            sent[item.endpoint] = item
        return FleetDigest(
            sequence=news.sequence,
            interval_ms=news.interval_ms,
            full=True,
            endpoints=list(sent.values()),
            accounts=news.accounts,
        )

    def _write_load(
        self, id_: EndpointId, recent: RecentWork | None, now: float
    ) -> EndpointDigest:
        state = self._fleet.by_id[id_]
        item = EndpointDigest(endpoint=key_of(id_))
        if id_ in self._reported:
            _write_report(item, state, now)
            speeds = speeds_of(state)
            if speeds.has_moved(self._speeds_by_id.get(id_)):
                self._speeds_by_id[id_] = speeds
                _write_speeds(item, speeds)
        if recent is not None:
            item.sent_requests = recent.requests or None
            item.sent_tokens = int(recent.tokens) or None
            item.ended_requests = recent.ended or None
        return item

    def _write_cache(
        self, items: dict[EndpointId, EndpointDigest], left: int
    ) -> None:
        left -= CACHE_ITEM_BYTES * len(self._cache_by_id)
        keys = [
            key
            for news in self._cache_by_id.values()
            for key in (*news.stored, *news.evicted)
        ]
        limit = max(left // KEY_BYTES, LEAST_CACHE_KEYS)
        mask = find_mask(keys, limit)
        for id_, news in self._cache_by_id.items():
            if id_ not in self._fleet.by_id:
                continue
            stored = pack_keys(key for key in news.stored if not key & mask)
            evicted = pack_keys(key for key in news.evicted if not key & mask)
            doubtful = self._fleet.cache.has_doubt(id_)
            changed = self._doubt_by_id.get(id_, False) != doubtful
            if stored is None and evicted is None and not changed:
                continue
            new = EndpointDigest(endpoint=key_of(id_))
            item = items.setdefault(id_, new)
            item.stored = stored
            item.evicted = evicted
            if changed:
                item.doubtful = self._doubt_by_id[id_] = doubtful
        self._cache_by_id.clear()


def apply_digest(fleet: Fleet, digest: FleetDigest) -> None:
    """Take over what a peer tells of endpoints that are known here."""
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
                Sent(
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
            fleet.cache.set_doubt(id_, doubtful=item.doubtful)


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
    load.take_report(report, now=now)


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


def _write_speeds(item: EndpointDigest, speeds: Speeds) -> None:
    item.slots = speeds.slots
    item.prefill_tokens_per_s = speeds.prefill_tokens_per_s
    item.decode_interval_us = speeds.decode_interval_us


def _copy_sends(item: EndpointDigest, news: EndpointDigest | None) -> None:
    if news is None:
        return
    item.sent_requests = news.sent_requests
    item.sent_tokens = news.sent_tokens
    item.ended_requests = news.ended_requests

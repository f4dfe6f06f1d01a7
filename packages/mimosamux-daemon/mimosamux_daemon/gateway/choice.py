"""Which endpoint a request is sent to."""

import random
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass

import xxhash

from mimosamux_daemon.domain.gateway import PromptUse
from mimosamux_daemon.domain.names import (
    DataCentreName,
    EndpointId,
    ServiceName,
)
from mimosamux_daemon.domain.routes import Route, ServiceEntry
from mimosamux_daemon.gateway.endpoint_record import EndpointRecord
from mimosamux_daemon.gateway.engine_speed import EngineSpeed
from mimosamux_daemon.gateway.health import EXCESS
from mimosamux_daemon.gateway.prompt_parts import PromptParts
from mimosamux_daemon.gateway.rollouts import Rollouts
from mimosamux_daemon.gateway.roster import Roster

HOME_SHARE = 0.4
"""Share of the latency target up to which a request goes to the endpoint
that keeps its prompt's shared parts, however idle others are."""
FAR_REQUESTS = 0.5
"""Requests under way that the way to another data centre counts for."""
OWN_READ_S = 0.1
"""Time of reading its own prompt that counts as part of a request's wait."""
OUTPUT_SHARE = 0.5
"""Part of the longest answer that is taken for the likely one, where the
caller gives no estimate."""
OUTPUT_TOKEN_S = 0.0001
"""Time that one token of an answer adds to the work of an engine which
makes many at once."""
SPREAD_CHOICES = 2
"""Endpoints drawn at random, of which the usual order takes one."""
LEAST_FETCHED = 256
"""Tokens from which on they are copied from another engine's cache. A copy
takes 2 ms to begin, in which an engine computes about as many."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Choice:
    """An endpoint, and what the request brings it."""

    record: EndpointRecord
    unread_tokens: float = 0.0
    """Prompt tokens that it likely has to read."""
    first_event_s: float = 0.0
    """Likely time until the answer begins."""
    alone_s: float = 0.0
    """Part of it that the request's own prompt takes beyond the usual, so
    that waiting cannot be its cause."""
    ahead_tokens: float = 0.0
    """Tokens of other prompts that wait there to be read."""
    fetch_from: EndpointRecord | None = None
    """Endpoint from whose cache it had better copy shared parts."""


class Chooser:
    """Chooses endpoints of model engines and of plain services."""

    def __init__(
        self,
        *,
        parts: PromptParts,
        roster: Roster,
        rollouts: Rollouts,
        data_centre: DataCentreName,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.parts = parts
        self._roster = roster
        self._rollouts = rollouts
        self._data_centre = data_centre
        self._clock = clock
        self._rng = rng
        self._speed_by_service: dict[ServiceName, EngineSpeed] = {}

    def speed_of(self, service: ServiceName) -> EngineSpeed:
        """Return what is known of the engines of a service."""
        return self._speed_by_service.setdefault(service, EngineSpeed())

    def choose(
        self,
        service: ServiceEntry,
        route: Route,
        prompt: PromptUse | None,
        *,
        request_id: str = '',
        trial_weight: float = 1.0,
        excluding: Collection[EndpointId] = (),
        is_spread: bool = False,
    ) -> Choice | None:
        """Return the endpoint for one send, None if none takes work.

        What was at an endpoint that crashed `is_spread`: sent on together by
        their common prompts, neighbours would meet the cause again.
        """
        now = self._clock()
        records = self.find_open(
            service.name,
            request_id=request_id,
            trial_weight=trial_weight,
            excluding=excluding,
        )
        records = _leave_out_doubtful(records, now)
        if not records:
            return None
        if service.engine is not None and prompt is not None:
            if is_spread:
                records = self._rng.sample(
                    records, min(SPREAD_CHOICES, len(records))
                )
            return self._choose_engine(records, service, route, prompt, now)
        return Choice(record=self._choose_plain(records, now))

    def find_open(
        self,
        service: ServiceName,
        *,
        request_id: str,
        excluding: Collection[EndpointId],
        trial_weight: float = 1.0,
    ) -> list[EndpointRecord]:
        """Return the endpoints that a request may be sent to.

        What was sent before goes to versions that are known to be good: a
        bad one must not fail the same request twice.
        """
        records = [
            record
            for record in self._roster.open_to(service)
            if record.id not in excluding
        ]
        return self._rollouts.narrow(
            service,
            records,
            request_id=request_id,
            may_be_trial=not excluding,
            weight=trial_weight,
        )

    def busy_s(self, service: ServiceName, prompt: PromptUse) -> float:
        """Return how long a request keeps one engine busy."""
        out = prompt.likely_tokens_out
        if out is None:
            out = int(prompt.most_tokens_out * OUTPUT_SHARE)
        read_s = self.speed_of(service).read_s(prompt.own_tokens)
        return read_s + out * OUTPUT_TOKEN_S

    def _choose_engine(
        self,
        records: Sequence[EndpointRecord],
        service: ServiceEntry,
        route: Route,
        prompt: PromptUse,
        now: float,
    ) -> Choice:
        holder = self._find_holder(service, prompt)
        choices = [
            self._estimate(record, service, prompt, holder, now)
            for record in records
        ]
        key = prompt.shared_key
        choices.sort(key=lambda choice: _rank(choice.record.id, key))
        least = min(choice.first_event_s for choice in choices)
        limit = max(HOME_SHARE * route.target_s, least)
        return next(
            choice for choice in choices if choice.first_event_s <= limit
        )

    def _find_holder(
        self, service: ServiceEntry, prompt: PromptUse
    ) -> EndpointRecord | None:
        """Return an endpoint that holds most of a prompt's shared parts.

        It may be leaving: until it is gone its cache can be copied, which
        saves computing all of it again elsewhere. From one that cannot be
        reached nothing comes, and the request would wait for it in vain.
        """
        now = self._clock()
        most, holder = LEAST_FETCHED - 1, None
        for record in self._roster.of_service(service.name):
            is_over = record.leaves_at is not None and record.leaves_at < now
            if is_over or record.is_avoided(now):
                continue
            tokens = self.parts.cached_tokens(record.id, prompt)
            if tokens > most:
                most, holder = tokens, record
        return holder

    def _estimate(
        self,
        record: EndpointRecord,
        service: ServiceEntry,
        prompt: PromptUse,
        holder: EndpointRecord | None,
        now: float,
    ) -> Choice:
        speed = self.speed_of(service.name)
        use = record.load.total(now)
        cached = self.parts.cached_tokens(record.id, prompt)
        source = None
        if holder is not None and holder is not record:
            held = self.parts.cached_tokens(holder.id, prompt)
            if held - cached >= LEAST_FETCHED:
                source, cached = holder, held
        unread = max(prompt.tokens_in - cached, 1.0)
        first_s = speed.first_s + speed.read_s(use.unread_tokens + unread)
        if use.requests >= record.listed.slots:
            # Without a free slot it waits for a whole answer to end.
            first_s += 1.0 + use.requests / record.listed.slots
        return Choice(
            record=record,
            unread_tokens=unread,
            first_event_s=first_s,
            alone_s=max(0.0, speed.read_s(unread) - OWN_READ_S),
            ahead_tokens=use.unread_tokens,
            fetch_from=source,
        )

    def _choose_plain(
        self, records: Sequence[EndpointRecord], now: float
    ) -> EndpointRecord:
        def cost(record: EndpointRecord) -> float:
            use = record.load.total(now)
            is_far = record.listed.data_centre != self._data_centre
            far = FAR_REQUESTS if is_far else 0.0
            return (use.requests + far) / record.listed.slots

        shuffled = self._rng.sample(list(records), len(records))
        return min(shuffled, key=cost)


def _leave_out_doubtful(
    records: list[EndpointRecord], now: float
) -> list[EndpointRecord]:
    """Return the endpoints that answer well; all, if none does."""
    reached = [each for each in records if not each.is_passed_over(now)]
    reached = reached or records
    share_by_id = {
        record.id: record.health.failed_share(now) for record in reached
    }
    known = [share for share in share_by_id.values() if share is not None]
    if not known:
        return reached
    limit = min(known) + EXCESS
    well = [
        record for record in reached if (share_by_id[record.id] or 0.0) < limit
    ]
    return well or reached


def _rank(endpoint: EndpointId, key: str) -> int:
    """Return the place of an endpoint for a key, the same at each daemon."""
    return xxhash.xxh3_64_intdigest(f'{endpoint} {key}'.encode())

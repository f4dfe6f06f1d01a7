"""Tracks which requests are suspected of crashing endpoints.

Requests are identified by their content key and by the keys of the parts that
their prompts share with others. When an endpoint crashes, every
content that was running there becomes a suspect, the cause and bystanders
alike. A bystander later runs to completion elsewhere, which clears it; the
cause never does. A content that was present at several crashes without a
complete run since is quarantined: its requests are refused. The quarantine
grows exponentially with each further crash. When it ends, one probe request
is sent.

A part of a prompt is held unless one content was present at all its crashes:
where one request crashes endpoints each time it is repeated, its parts were
there each time as well, and other requests that share them are sound. Where it
takes several contents to account for the crashes, the part that they share is
the simpler cause, however often each of them was repeated.
"""

import re
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, replace

from mimosamux_daemon.domain.names import ContentKey, EndpointId
from mimosamux_daemon.gateway.crashes.content_keys import PART_PREFIX

QUARANTINE_CRASHES = 3
"""Crashes from which on a content is quarantined. Two would not do: where
several endpoints end one after the other, bystanders are often present at two
crashes."""
FIRST_QUARANTINE_S = 30.0
QUARANTINE_FACTOR = 8.0
"""Factor by which each further crash extends the quarantine."""
MAX_QUARANTINE_S = 86_400.0
MAX_PART_QUARANTINE_S = 1800.0
"""A part is shared by many requests, which wait for its probe."""
MAX_EXPONENT = 8
"""Largest exponent of `QUARANTINE_FACTOR`."""
COMPLETION_VALID_S = 5.0
"""Time after a complete run for which a content cannot become a suspect. A
popular content is often running at several endpoints that crash at once."""
MAX_REMEMBERED_CONTENTS = 1024
"""Contents whose last complete run is remembered, and contents whose cleared
crashes are."""
MAX_CLEARED_CRASHES = 64
"""Cleared crashes of one content beyond which the older ones are dropped."""
MAX_WITHDRAWN = 1024
"""Withdrawn crashes that are remembered, since late reports of them may still
arrive."""
MIN_SUSPICION_S = 600.0
"""Shortest time after its last crash for which a content is suspected."""
MAX_SUSPECTS = 4096
SWEEP_INTERVAL_S = 10.0
"""Time between two removals of expired suspects."""
NUMBER_PATTERN = re.compile(r'[0-9]{1,18}')
"""Number of an incarnation, which fits into 64 bits."""
EVICTION_DIVISOR = 4
"""One suspect in this many is evicted when there are too many. Evicting them
one by one would sort all suspects again for each content of a crash."""


@dataclass(frozen=True, kw_only=True, slots=True, order=True)
class EndpointIncarnation:
    """One process of an endpoint.

    A restarted endpoint keeps its id and gets a new incarnation number.
    """

    id: EndpointId
    incarnation: int = 0

    def __str__(self) -> str:
        return f'{self.id}/{self.incarnation}'


def parse_incarnation(text: str) -> EndpointIncarnation | None:
    """Parse the `str` form of an incarnation, None if it is malformed."""
    id_, _, number = text.rpartition('/')
    if not id_ or not NUMBER_PATTERN.fullmatch(number):
        return None
    return EndpointIncarnation(id=EndpointId(id_), incarnation=int(number))


@dataclass(frozen=True, kw_only=True, slots=True)
class Suspect:
    """A content and the endpoint incarnations that crashed running it."""

    content: ContentKey
    crashed: frozenset[EndpointIncarnation]
    last_crash_at: float
    """Time of the last crash in seconds, on the monotonic clock."""

    @property
    def is_part(self) -> bool:
        """Whether it is a part of prompts, and not a whole content."""
        return self.content.startswith(PART_PREFIX)

    @property
    def quarantine_s(self) -> float:
        """Return the length of the quarantine after the last crash."""
        further_crashes = len(self.crashed) - QUARANTINE_CRASHES
        if further_crashes < 0:
            return 0.0
        # An unbounded exponent would overflow the power.
        exponent = min(further_crashes, MAX_EXPONENT)
        longest_s = MAX_PART_QUARANTINE_S if self.is_part else MAX_QUARANTINE_S
        return min(FIRST_QUARANTINE_S * QUARANTINE_FACTOR**exponent, longest_s)

    def merge(self, other: 'Suspect') -> 'Suspect':
        """Return the union of both records of the same content."""
        return Suspect(
            content=self.content,
            crashed=self.crashed | other.crashed,
            last_crash_at=max(self.last_crash_at, other.last_crash_at),
        )


class CrashSuspects:
    """Keeps the suspected contents by key, bounded in number."""

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self.by_content: dict[ContentKey, Suspect] = {}
        self._completed_at: dict[ContentKey, float] = {}
        """Time of the last complete run, the oldest first."""
        self._cleared: dict[ContentKey, frozenset[EndpointIncarnation]] = {}
        """Crashes that a content was cleared of; late reports of them are
        ignored."""
        self._withdrawn: dict[EndpointIncarnation, None] = {}
        """Incarnations whose crash was withdrawn, the oldest first."""
        self._explanation_by_part: dict[ContentKey, ContentKey | None] = {}
        """Results of `find_explanation` since the last change of a suspect:
        each request with a suspected part asks."""
        self._clock = clock
        self._last_sweep_at = clock()

    def add(self, suspect: Suspect) -> bool:
        """Merge crashes of a content; False if none of them is new."""
        cleared = self._cleared.get(suspect.content, frozenset())
        crashed = suspect.crashed - self._withdrawn.keys() - cleared
        if not crashed:
            return False
        suspect = replace(suspect, crashed=crashed)
        stored = self.by_content.get(suspect.content)
        if stored is not None and self.is_expired(stored):
            stored = None
        merged = suspect if stored is None else stored.merge(suspect)
        if stored is not None and merged.crashed == stored.crashed:
            return False
        if self.is_expired(merged) or self.has_completed(suspect.content):
            return False
        self.by_content[suspect.content] = merged
        self._explanation_by_part.clear()
        self._evict()
        return True

    def note_completion(self, content: ContentKey) -> bool:
        """Record a complete run; True if that clears a suspect."""
        self._completed_at.pop(content, None)
        self._completed_at[content] = self._clock()
        if len(self._completed_at) > MAX_REMEMBERED_CONTENTS:
            del self._completed_at[next(iter(self._completed_at))]
        return self.clear(content)

    def has_completed(self, content: ContentKey) -> bool:
        """Whether a content had a complete run within `COMPLETION_VALID_S`."""
        completed_at = self._completed_at.get(content)
        return (
            completed_at is not None
            and self._clock() - completed_at < COMPLETION_VALID_S
        )

    def clear(self, content: ContentKey) -> bool:
        """Remove a suspect; False if the content was not suspected."""
        suspect = self.by_content.pop(content, None)
        if suspect is None:
            return False
        self._explanation_by_part.clear()
        before = self._cleared.pop(content, frozenset())
        if len(before) > MAX_CLEARED_CRASHES:
            before = frozenset()
        self._cleared[content] = before | suspect.crashed
        if len(self._cleared) > MAX_REMEMBERED_CONTENTS:
            del self._cleared[next(iter(self._cleared))]
        return True

    def withdraw(
        self, incarnation: EndpointIncarnation
    ) -> tuple[ContentKey, ...] | None:
        """Withdraw a false crash; return the contents it was counted for.

        None if the crash was withdrawn before.
        """
        if incarnation in self._withdrawn:
            return None
        self._withdrawn[incarnation] = None
        if len(self._withdrawn) > MAX_WITHDRAWN:
            del self._withdrawn[next(iter(self._withdrawn))]
        changed = []
        self._explanation_by_part.clear()
        for content, suspect in tuple(self.by_content.items()):
            if incarnation not in suspect.crashed:
                continue
            changed.append(content)
            crashed = suspect.crashed - {incarnation}
            if crashed:
                self.by_content[content] = replace(suspect, crashed=crashed)
            else:
                del self.by_content[content]
        return tuple(changed)

    def is_withdrawn(self, incarnation: EndpointIncarnation) -> bool:
        """Whether the crash of an endpoint was withdrawn."""
        return incarnation in self._withdrawn

    def crashes(self, content: ContentKey) -> int:
        """Return how many endpoints crashed while running a content."""
        suspect = self._find(content)
        return 0 if suspect is None else len(suspect.crashed)

    def quarantine_left_s(self, content: ContentKey) -> float:
        """Return the remaining quarantine of a content in seconds."""
        ends_at = self._find_quarantine_end(content)
        return 0.0 if ends_at is None else max(0.0, ends_at - self._clock())

    def is_probe_due(self, content: ContentKey) -> bool:
        """Whether the quarantine is over and a probe request is due."""
        ends_at = self._find_quarantine_end(content)
        return ends_at is not None and ends_at <= self._clock()

    def _find_quarantine_end(self, content: ContentKey) -> float | None:
        """Return when a quarantine ends or ended, None if there is none."""
        suspect = self._find(content)
        if suspect is None or not suspect.quarantine_s:
            return None
        if self.find_explanation(suspect) is not None:
            return None
        return suspect.last_crash_at + suspect.quarantine_s

    def may_retry(self, content: ContentKey) -> bool:
        """Whether a content that just failed may go to another endpoint.

        The endpoint where it failed may have crashed without a report yet, so
        one more crash is assumed.
        """
        return self.crashes(content) + 1 < QUARANTINE_CRASHES

    def quarantined(self) -> Iterator[Suspect]:
        """Yield the suspects that are in quarantine."""
        for content, suspect in self.by_content.items():
            if self.quarantine_left_s(content) > 0:
                yield suspect

    def find_explanation(self, suspect: Suspect) -> ContentKey | None:
        """Return a content that was present at all crashes of a part."""
        if not suspect.is_part:
            return None
        key = suspect.content
        if key not in self._explanation_by_part:
            self._explanation_by_part[key] = self._explain(suspect)
        return self._explanation_by_part[key]

    def _explain(self, suspect: Suspect) -> ContentKey | None:
        for other in self.by_content.values():
            if other.crashed >= suspect.crashed and not other.is_part:
                return other.content
        return None

    def explained(self) -> Iterator[tuple[Suspect, ContentKey]]:
        """Yield the parts that would be quarantined but for a content."""
        for suspect in self.by_content.values():
            if not suspect.quarantine_s or self.is_expired(suspect):
                continue
            explanation = self.find_explanation(suspect)
            if explanation is not None:
                yield suspect, explanation

    def most_crashes(self, *, of_parts: bool) -> int:
        """Return the most crashes that any suspect has."""
        return max(
            (
                len(suspect.crashed)
                for suspect in self.by_content.values()
                if suspect.is_part is of_parts
            ),
            default=0,
        )

    def _find(self, content: ContentKey) -> Suspect | None:
        suspect = self.by_content.get(content)
        if suspect is None or self.is_expired(suspect):
            return None
        return suspect

    def is_expired(self, suspect: Suspect) -> bool:
        """Whether the last crash is too old for suspicion."""
        lifetime_s = max(MIN_SUSPICION_S, 2 * suspect.quarantine_s)
        return suspect.last_crash_at + lifetime_s <= self._clock()

    def _evict(self) -> None:
        now = self._clock()
        is_full = len(self.by_content) > MAX_SUSPECTS
        if is_full or now - self._last_sweep_at >= SWEEP_INTERVAL_S:
            self._last_sweep_at = now
            for content, suspect in tuple(self.by_content.items()):
                if self.is_expired(suspect):
                    del self.by_content[content]
        if len(self.by_content) > MAX_SUSPECTS:
            ranked = sorted(self.by_content.values(), key=_eviction_key)
            for suspect in ranked[: MAX_SUSPECTS // EVICTION_DIVISOR]:
                del self.by_content[suspect.content]


def _eviction_key(suspect: Suspect) -> tuple[int, float]:
    """Return the sort key for eviction; the lowest is evicted first."""
    return len(suspect.crashed), suspect.last_crash_at


def join_ids(incarnations: Iterable[EndpointIncarnation]) -> str:
    """Return the distinct endpoint ids, sorted and joined by commas."""
    return ','.join(sorted({incarnation.id for incarnation in incarnations}))

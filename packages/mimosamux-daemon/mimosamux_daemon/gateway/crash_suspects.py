"""Which requests are suspected of crashing the endpoints that run them.

Whatever ran at an endpoint when it crashed is suspected, the cause and its
neighbours alike. What tells them apart comes afterwards: neighbours run whole
elsewhere and are cleared, and the cause never does. A content under which
several endpoints crashed, and that has not run whole meanwhile, is held back.
After a while that grows with each further crash it is tried once.
"""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, replace

from mimosamux_daemon.domain.names import ContentKey, EndpointId

HELD_FROM = 3
"""Crashes from which on a content is held back. Neighbours of two crashes
are common where several endpoints end one after the other."""
FIRST_HOLD_S = 30.0
HOLD_FACTOR = 8.0
"""Each further crash holds it back for so many times as long."""
LONGEST_HOLD_S = 86_400.0
MOST_STEPS = 8
RECENT_S = 5.0
"""Time for which a whole run speaks for a content. What many callers ask
for is often at several endpoints that crash at once."""
MOST_RECENT = 1024
MOST_CLEARED = 64
"""Crashes that are remembered of one content that was cleared."""
MOST_ALIVE = 1024
"""Endpoints that are remembered to live on: news of their crash may still be
under way."""
KEEP_S = 600.0
"""Time after its last crash for which a content is suspected at least."""
MOST_SUSPECTS = 4096
SWEEP_S = 10.0
"""Time between two looks for suspects that are past."""
EVICTED_SHARE = 4
"""One in so many goes when there are too many: looked for one by one, each
of the many that come with a crash would cost a look at all."""


@dataclass(frozen=True, kw_only=True, slots=True, order=True)
class EndpointStart:
    """One process of an endpoint, which may start again under its id."""

    id: EndpointId
    incarnation: int = 0

    def __str__(self) -> str:
        return f'{self.id}/{self.incarnation}'


def parse_start(text: str) -> EndpointStart | None:
    """Return what `str` of a start gave, None if it is none."""
    id_, _, number = text.rpartition('/')
    if not id_ or not number.isascii() or not number.isdigit():
        return None
    return EndpointStart(id=EndpointId(id_), incarnation=int(number))


@dataclass(frozen=True, kw_only=True, slots=True)
class Suspect:
    """A content, and the crashes at which it was there."""

    content: ContentKey
    crashed: frozenset[EndpointStart]
    last_at: float
    """Time of the last crash, on the steady clock."""

    @property
    def hold_s(self) -> float:
        """Return for how long it is held back after its last crash."""
        beyond = len(self.crashed) - HELD_FROM
        if beyond < 0:
            return 0.0
        # Bounded before the power is taken, which overflows.
        steps = min(beyond, MOST_STEPS)
        return min(FIRST_HOLD_S * HOLD_FACTOR**steps, LONGEST_HOLD_S)

    def merge(self, other: 'Suspect') -> 'Suspect':
        """Return what both know together."""
        return Suspect(
            content=self.content,
            crashed=self.crashed | other.crashed,
            last_at=max(self.last_at, other.last_at),
        )


class CrashSuspects:
    """Suspected contents by key; only those take any memory."""

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self.by_content: dict[ContentKey, Suspect] = {}
        self._whole_at: dict[ContentKey, float] = {}
        """Last whole runs, the oldest first."""
        self._cleared: dict[ContentKey, frozenset[EndpointStart]] = {}
        """Crashes that a content was cleared of, against their late news."""
        self._alive: dict[EndpointStart, None] = {}
        self._clock = clock
        self._swept_at = clock()

    def add(self, suspect: Suspect) -> bool:
        """Take what is known of a content; False if nothing is new."""
        cleared = self._cleared.get(suspect.content, frozenset())
        crashed = suspect.crashed - self._alive.keys() - cleared
        if not crashed:
            return False
        suspect = replace(suspect, crashed=crashed)
        known = self._find(suspect.content)
        merged = suspect if known is None else known.merge(suspect)
        if known is not None and merged.crashed == known.crashed:
            return False
        if self.is_past(merged) or self.has_run_whole(suspect.content):
            return False
        self.by_content[suspect.content] = merged
        self._keep_within_bounds()
        return True

    def note_whole(self, content: ContentKey) -> bool:
        """Note a run from start to end; True if that clears a suspect."""
        self._whole_at.pop(content, None)
        self._whole_at[content] = self._clock()
        if len(self._whole_at) > MOST_RECENT:
            del self._whole_at[next(iter(self._whole_at))]
        return self.clear(content)

    def has_run_whole(self, content: ContentKey) -> bool:
        """Whether a content has run whole a short time ago."""
        whole_at = self._whole_at.get(content)
        return whole_at is not None and self._clock() - whole_at < RECENT_S

    def clear(self, content: ContentKey) -> bool:
        """Suspect a content no longer; False if it was not suspected."""
        suspect = self.by_content.pop(content, None)
        if suspect is None:
            return False
        before = self._cleared.pop(content, frozenset())
        if len(before) > MOST_CLEARED:
            before = frozenset()
        self._cleared[content] = before | suspect.crashed
        if len(self._cleared) > MOST_RECENT:
            del self._cleared[next(iter(self._cleared))]
        return True

    def withdraw(self, start: EndpointStart) -> tuple[ContentKey, ...] | None:
        """Take back a crash that was none; return what it was held against.

        None if it was taken back before.
        """
        if start in self._alive:
            return None
        self._alive[start] = None
        if len(self._alive) > MOST_ALIVE:
            del self._alive[next(iter(self._alive))]
        changed = []
        for content, suspect in tuple(self.by_content.items()):
            if start not in suspect.crashed:
                continue
            changed.append(content)
            crashed = suspect.crashed - {start}
            if crashed:
                self.by_content[content] = replace(suspect, crashed=crashed)
            else:
                del self.by_content[content]
        return tuple(changed)

    def crashes(self, content: ContentKey) -> int:
        """Return how many endpoints are known to have crashed under it."""
        suspect = self._find(content)
        return 0 if suspect is None else len(suspect.crashed)

    def held_s(self, content: ContentKey) -> float:
        """Return for how long a content is held back still."""
        suspect = self._find(content)
        if suspect is None:
            return 0.0
        return max(0.0, suspect.last_at + suspect.hold_s - self._clock())

    def is_on_trial(self, content: ContentKey) -> bool:
        """Whether a content was held back, and is to be tried now."""
        is_held = self.crashes(content) >= HELD_FROM
        return is_held and self.held_s(content) == 0

    def may_go_on(self, content: ContentKey) -> bool:
        """Whether it may go on at a further endpoint if its present fails.

        That endpoint may have crashed just now, which is known only later.
        """
        return self.crashes(content) + 1 < HELD_FROM

    def held(self) -> Iterator[Suspect]:
        """Return what is held back at the moment."""
        now = self._clock()
        for suspect in self.by_content.values():
            if suspect.last_at + suspect.hold_s > now:
                yield suspect

    def _find(self, content: ContentKey) -> Suspect | None:
        suspect = self.by_content.get(content)
        return None if suspect is None or self.is_past(suspect) else suspect

    def is_past(self, suspect: Suspect) -> bool:
        """Whether its last crash is so long ago that it counts no more."""
        kept_s = max(KEEP_S, 2 * suspect.hold_s)
        return suspect.last_at + kept_s <= self._clock()

    def _keep_within_bounds(self) -> None:
        now = self._clock()
        is_full = len(self.by_content) > MOST_SUSPECTS
        if is_full or now - self._swept_at >= SWEEP_S:
            self._swept_at = now
            for content, suspect in tuple(self.by_content.items()):
                if self.is_past(suspect):
                    del self.by_content[content]
        if len(self.by_content) > MOST_SUSPECTS:
            ranked = sorted(self.by_content.values(), key=_worth_keeping)
            for suspect in ranked[: MOST_SUSPECTS // EVICTED_SHARE]:
                del self.by_content[suspect.content]


def _worth_keeping(suspect: Suspect) -> tuple[int, float]:
    return len(suspect.crashed), suspect.last_at


def join_ids(starts: Iterable[EndpointStart]) -> str:
    """Return the ids of endpoints as a log line or a message has them."""
    return ','.join(sorted({start.id for start in starts}))

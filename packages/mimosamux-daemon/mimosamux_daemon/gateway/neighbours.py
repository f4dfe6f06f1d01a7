"""What one daemon sent to another directly, and has from it.

Batches hold what is new to the receiver. One that is lost must not make
anybody believe that the receiver knows what was in it: the receiver takes
only an unbroken row of batches as complete, says up to where it has it, and
gets everything anew when it has fallen behind.
"""

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from mimosamux_wire import StateBatch

BEHIND = 12
"""Batches that a receiver may be behind before it is sent all anew: more
than a relay sends while a member that tells every 2 s says nothing."""
KEPT = 32
"""Batches whose content is remembered for their receiver's answer."""
KEPT_DIGESTS = 4
"""Digests of one daemon that are passed on if it told several at once;
parts of prompts are told only once each."""

Sequences = Mapping[int, int]
"""Newest digest by the lifetime of the process that wrote it."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Encoded:
    """A digest as it is passed on."""

    sequence: int
    data: bytes


@dataclass(kw_only=True, slots=True)
class News:
    """The newest digests of one process, in their order."""

    lifetime: int
    entries: deque[Encoded] = field(
        default_factory=lambda: deque(maxlen=KEPT_DIGESTS)
    )

    @property
    def newest(self) -> int:
        """Return the sequence of the newest one."""
        return self.entries[-1].sequence if self.entries else 0


@dataclass(frozen=True, kw_only=True, slots=True)
class _Batch:
    number: int
    sequences: Sequences


@dataclass(kw_only=True, slots=True)
class Neighbour:
    """The exchange with one daemon."""

    number: int
    """Newest batch sent to it. Begins above all that an earlier exchange
    with it may have used: an answer to one of those would pass for one to a
    batch that is lost."""
    heard_at: float | None = None
    """When it last sent a batch itself."""
    asked_at: float | None = None
    """Since when it is told as a relay and has not answered."""
    hangs_on_until: float = 0.0
    """Up to when it takes this daemon for its relay."""
    left_until: float = 0.0
    """Up to when it is not taken for a relay, as it did not answer."""
    lifetime: int = 0
    taken: int = 0
    """Its newest batch up to which nothing is missing here."""
    _answered: int = 0
    """Newest batch of it that it was told to have been taken."""
    confirmed: int = 0
    """Newest batch up to which it has all, 0: it never said so."""
    _anew_at: int = 0
    """Batch behind which its silence counts."""
    _sent: dict[int, int] = field(default_factory=dict)
    """Newest digest of each process that was sent to it."""
    _batches: deque[_Batch] = field(default_factory=lambda: deque(maxlen=KEPT))
    _confirmed: Sequences = field(default_factory=dict)

    def take(self, batch: StateBatch, *, own_lifetime: int) -> None:
        """Note what a batch of it says of the exchange itself."""
        if batch.lifetime != self.lifetime:
            self._begin_anew(batch.lifetime)
        if batch.after <= self.taken:
            self.taken = max(self.taken, batch.number)
        if batch.taken_lifetime == own_lifetime:
            self._confirm(batch.taken)

    def fill(self, batch: StateBatch, offered: Iterable[News]) -> bool:
        """Add to a batch what of some news its receiver does not have.

        False if there is nothing to send: no news, and no answer that its
        receiver waits for.
        """
        if self.number - max(self.confirmed, self._anew_at) > BEHIND:
            self._sent.clear()
            self._anew_at = self.number
        is_anew = not self._sent
        told: dict[int, int] = {}
        is_complete = True
        for news in offered:
            sent = self._sent.get(news.lifetime, 0)
            if news.newest <= sent:
                is_complete = False
                continue
            entries = [each for each in news.entries if each.sequence > sent]
            if is_anew:
                entries = entries[-1:]
            batch.digests.extend(each.data for each in entries)
            told[news.lifetime] = news.newest
        owes_answer = batch.is_member and self.taken > self._answered
        if not batch.digests and not owes_answer:
            return False
        # A complete batch vouches for nothing that it does not hold.
        self._sent = told if is_complete else self._sent | told
        batch.after = 0 if is_complete else self.number
        self.number += 1
        batch.number = self.number
        batch.taken_lifetime, batch.taken = self.lifetime, self.taken
        self._answered = self.taken
        self._batches.append(
            _Batch(number=self.number, sequences=dict(self._sent))
        )
        return True

    def has(self, lifetime: int) -> int:
        """Return the newest digest of a process that it surely has taken."""
        return self._confirmed.get(lifetime, 0)

    def _confirm(self, number: int) -> None:
        if number < self.confirmed:
            return
        self.confirmed = number
        while self._batches and self._batches[0].number <= number:
            self._confirmed = self._batches.popleft().sequences

    def _begin_anew(self, lifetime: int) -> None:
        """Begin with a process that knows nothing of the one before."""
        self.lifetime = lifetime
        self.taken = self.confirmed = self._answered = 0
        self._anew_at = self.number
        self._sent.clear()
        self._batches.clear()
        self._confirmed = {}

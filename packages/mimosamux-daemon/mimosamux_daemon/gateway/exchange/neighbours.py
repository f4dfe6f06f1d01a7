"""Reliable exchange of gossip digests between two directly connected daemons.

A batch holds the digests that are new to its receiver. Batches may be lost,
and the sender must not conclude that the receiver has what a lost batch held.
The receiver therefore acknowledges only the end of an unbroken sequence of
batches, and gets every digest again once too many batches are unacknowledged.
"""

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from mimosamux_wire import StateBatch

MAX_UNACKED_BATCHES = 12
"""Unacknowledged batches after which all digests are sent again. More than
a relay sends between two messages of a member that sends every 2 s."""
KEPT_BATCHES = 32
"""Batches whose content is kept until the receiver acknowledges them."""
KEPT_DIGESTS = 4
"""Digests kept per process, for one that wrote several in quick succession:
each part of a prompt is in a single digest, so older ones are needed too."""

Sequences = Mapping[int, int]
"""Sequence number of the newest digest, by the incarnation of its process."""


@dataclass(frozen=True, kw_only=True, slots=True)
class EncodedDigest:
    """A digest in wire format, as relays forward it."""

    sequence: int
    data: bytes


@dataclass(kw_only=True, slots=True)
class RecentDigests:
    """The newest digests of one process, oldest first."""

    incarnation: int
    entries: deque[EncodedDigest] = field(
        default_factory=lambda: deque(maxlen=KEPT_DIGESTS)
    )

    @property
    def newest_sequence(self) -> int:
        """Return the sequence number of the newest digest, 0: none."""
        return self.entries[-1].sequence if self.entries else 0


@dataclass(frozen=True, kw_only=True, slots=True)
class _Batch:
    """A sent batch, and the digests that its receiver has after it."""

    number: int
    sequences: Sequences


@dataclass(kw_only=True, slots=True)
class Neighbour:
    """State of the exchange with one directly connected daemon."""

    sent_batch: int
    """Number of the newest batch sent. Starts above every number that an
    earlier exchange with this daemon may have used: otherwise a late
    acknowledgement could count for a lost batch of this exchange."""
    heard_at: float | None = None
    """When its last batch arrived, None: never."""
    awaiting_since: float | None = None
    """Since when it is used as a relay without an answer, None: it is not
    used as a relay, or it answers."""
    member_until: float = 0.0
    """Until when it counts as using this daemon as its relay."""
    skipped_until: float = 0.0
    """Until when it is not tried as a relay, since it did not answer."""
    incarnation: int = 0
    received_batch: int = 0
    """Newest batch received from it without a gap before it."""
    _reported_batch: int = 0
    """Newest value of `received_batch` that was acknowledged to it."""
    acked_batch: int = 0
    """Newest batch that it acknowledged, 0: none yet."""
    _resent_at: int = 0
    """Batch number from which unacknowledged batches are counted."""
    _sent_sequences: dict[int, int] = field(default_factory=dict)
    """Newest digest sent to it, by incarnation."""
    _unacked_batches: deque[_Batch] = field(
        default_factory=lambda: deque(maxlen=KEPT_BATCHES)
    )
    _acked_sequences: Sequences = field(default_factory=dict)

    def take(self, batch: StateBatch, *, own_incarnation: int) -> None:
        """Update numbers and acknowledgements from a received batch."""
        if batch.lifetime != self.incarnation:
            self._reset(batch.lifetime)
        if batch.after <= self.received_batch:
            self.received_batch = max(self.received_batch, batch.number)
        if batch.taken_lifetime == own_incarnation:
            self._note_ack(batch.taken)

    def fill(
        self, batch: StateBatch, offered: Iterable[RecentDigests]
    ) -> bool:
        """Add those of the offered digests that the receiver does not have.

        Return False if the batch need not be sent: it holds no digest, and
        the receiver waits for no acknowledgement.
        """
        if (
            self.sent_batch - max(self.acked_batch, self._resent_at)
            > MAX_UNACKED_BATCHES
        ):
            self._sent_sequences.clear()
            self._resent_at = self.sent_batch
        is_resend = not self._sent_sequences
        added: dict[int, int] = {}
        is_complete = True
        for digests in offered:
            sent = self._sent_sequences.get(digests.incarnation, 0)
            if digests.newest_sequence <= sent:
                is_complete = False
                continue
            entries = [
                each for each in digests.entries if each.sequence > sent
            ]
            if is_resend:
                entries = entries[-1:]
            for each in entries:
                batch.digests.append(each.data)
                batch.digest_lifetimes.append(digests.incarnation)
                batch.digest_sequences.append(each.sequence)
            added[digests.incarnation] = digests.newest_sequence
        owes_ack = (
            batch.is_member and self.received_batch > self._reported_batch
        )
        if not batch.digests and not owes_ack:
            return False
        # A complete batch depends on no earlier one, so acknowledging it
        # proves only the receipt of the digests that it holds.
        self._sent_sequences = (
            added if is_complete else self._sent_sequences | added
        )
        batch.after = 0 if is_complete else self.sent_batch
        self.sent_batch += 1
        batch.number = self.sent_batch
        batch.taken_lifetime, batch.taken = (
            self.incarnation,
            self.received_batch,
        )
        self._reported_batch = self.received_batch
        self._unacked_batches.append(
            _Batch(
                number=self.sent_batch, sequences=dict(self._sent_sequences)
            )
        )
        return True

    def acked_sequence(self, incarnation: int) -> int:
        """Return the newest digest of a process that it acknowledged."""
        return self._acked_sequences.get(incarnation, 0)

    def _note_ack(self, number: int) -> None:
        if number < self.acked_batch:
            return
        self.acked_batch = number
        while (
            self._unacked_batches and self._unacked_batches[0].number <= number
        ):
            self._acked_sequences = self._unacked_batches.popleft().sequences

    def _reset(self, incarnation: int) -> None:
        """Start over with a new process, which has no earlier digest."""
        self.incarnation = incarnation
        self.received_batch = self.acked_batch = self._reported_batch = 0
        self._resent_at = self.sent_batch
        self._sent_sequences.clear()
        self._unacked_batches.clear()
        self._acked_sequences = {}

"""Which daemon reads a table of the platform for the others.

If every daemon follows a table itself, each change of a row is read by all of
them, and each asks once a second whether there is none. With 24 daemons the
calls to the platform in 68 s went from 2,263 to 671 (one quiet day each).
"""

from collections.abc import Callable
from dataclasses import dataclass

import xxhash
from mimosamux_wire import StateDigest, TableNews, TableRow

from mimosamux_daemon.control.members import MemberState
from mimosamux_daemon.domain.names import DaemonId
from mimosamux_daemon.gateway.peer_states import PeerState, PeerStates
from mimosamux_daemon.gateway.shared_time import SharedTime
from mimosamux_daemon.gateway.store_health import StoreHealth
from mimosamux_daemon.ports.feeds import FeedRow

NEWER_MS = 300
"""News of a table are passed on if they are so much newer than the last, or
hold a change: two daemons that read at once are heard of once."""


@dataclass(frozen=True, kw_only=True, slots=True)
class TableView:
    """How far a daemon knows a table."""

    version: int
    """Version of the store up to which it was read."""
    changed: int
    """Version of the table's newest change."""
    behind: int
    """Version of the change before those that come with this view."""
    as_of: float
    """Up to when that is all, on the steady clock of this machine."""
    rows: tuple[FeedRow, ...] = ()


@dataclass(kw_only=True, slots=True)
class TableSharing:
    """Chooses the reader of one table, and passes on what is read."""

    table: str
    passes_rows: bool
    """Whether rows are passed on; large ones are read by each daemon."""
    states: PeerStates
    shared_time: SharedTime
    health: StoreHealth
    clock: Callable[[], float]
    _passed_ms: int = 0
    _passed_change: int = 0

    def is_reader(self) -> bool:
        """Whether this daemon follows the table itself.

        In a small site all do: a change then depends on no other daemon,
        and the calls cost a hundredth of what callers' answers are worth.
        """
        if self.states.is_flat or self.states.state is not MemberState.READY:
            return True
        own = self._rank(self.states.place.id)
        return self.health.is_answering and not any(
            self._rank(peer.place.id) < own
            for peer in self.states.ready()
            if peer.reads_tables
        )

    def tell(self, view: TableView) -> None:
        """Tell the others what was read here."""
        as_of_ms = self.shared_time.to_store_ms(view.as_of)
        if self.states.is_flat or as_of_ms is None:
            return
        rows = view.rows if self.passes_rows else ()
        news = TableNews(
            table=self.table,
            version=view.version,
            changed=view.changed,
            behind=view.behind,
            rows=[
                TableRow(
                    key=row.key,
                    value=row.value or b'',
                    version=row.version,
                    is_deleted=row.is_deleted,
                )
                for row in rows
            ],
            as_of_ms=as_of_ms,
            may_have_lapsed=self.health.has_seen_outage(),
        )
        if self._is_newer(news):
            self.states.queue(news)

    def receive(self, news: TableNews) -> TableView | None:
        """Return what another daemon has read, None if its age is unknown."""
        as_of = self.shared_time.from_store_ms(news.as_of_ms)
        if as_of is None or news.table != self.table:
            return None
        if self._is_newer(news) and self.states.acts_as_relay:
            self.states.queue(news)
        if news.may_have_lapsed:
            self.health.note_told_of_outage()
        return TableView(
            version=news.version,
            changed=news.changed,
            behind=news.behind,
            as_of=min(as_of, self.clock()),
            rows=tuple(
                FeedRow(
                    key=row.key,
                    value=row.value,
                    version=row.version,
                    is_deleted=row.is_deleted,
                )
                for row in news.rows
            ),
        )

    def write(self, digest: StateDigest) -> None:
        """Tell whether the platform answers here."""
        digest.reads_tables = self.health.is_answering

    def take(self, peer: PeerState, digest: StateDigest) -> None:
        """Nothing to do: it is part of the peer's state."""

    def _is_newer(self, news: TableNews) -> bool:
        is_newer = (
            news.as_of_ms >= self._passed_ms + NEWER_MS
            or news.changed > self._passed_change
        )
        if is_newer:
            self._passed_ms = max(self._passed_ms, news.as_of_ms)
            self._passed_change = max(self._passed_change, news.changed)
        return is_newer

    def _rank(self, id_: DaemonId) -> int:
        return xxhash.xxh3_64_intdigest(f'{self.table} {id_}'.encode())

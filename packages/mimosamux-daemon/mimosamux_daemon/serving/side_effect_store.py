"""State transitions of call rows in the table, one transaction each.

The answer to a write can be lost after the write took effect, and a
write can take effect long after its sender has timed out. Each
transition is therefore a compare-and-set on the row's version, and the
row's token identifies the writer: a transition that is sent twice or
arrives late takes effect at most once.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace

import anyio

from mimosamux_daemon.domain.store import (
    Check,
    Committed,
    Conflict,
    Row,
    Unavailable,
    Write,
)
from mimosamux_daemon.ports.models.object_store import ObjectStore
from mimosamux_daemon.ports.table import Table
from mimosamux_daemon.serving.side_effect_rows import (
    BodyLocation,
    CallRow,
    CallState,
    StoredAnswer,
    encode_row,
    object_key,
    parse_row,
)

RETRY_PAUSE_S = 0.1
"""Pause before a write without an answer is sent again."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Claim:
    """A row that names this daemon process as the holder of its call."""

    key: str
    row: CallRow
    version: int
    sent_at: float
    """Time (`anyio.current_time`) before the write that confirmed it."""


@dataclass(frozen=True, kw_only=True, slots=True)
class FoundRow:
    """A row of another claim; `row` is None if it cannot be parsed."""

    key: str
    row: CallRow | None
    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class NotClaimed:
    """The store was unavailable until this daemon gave up the claim."""

    reason: str
    replaceable_version: int | None = None
    """Row version that a delayed write of the claim may still replace;
    None if no write can take effect late."""


@dataclass(frozen=True, kw_only=True, slots=True)
class AbandonedIntent:
    """A call that its holder will not send: its row becomes not run."""

    key: str
    row: CallRow
    replaceable_version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class FinalState:
    """The final state of a call, to be written to its row by the holder."""

    claim: Claim
    row: CallRow
    body: bytes = b''


@dataclass(frozen=True, kw_only=True, slots=True)
class CallStore:
    """Reads and writes the rows of non-repeatable calls."""

    table: Table
    objects: ObjectStore
    wall_clock: Callable[[], float]

    async def find(self, key: str) -> FoundRow | None | Unavailable:
        """Return the row of a call, None if there is none."""
        row = await self.table.read(key)
        if isinstance(row, Row):
            return _as_found(row)
        return row

    async def claim(
        self, key: str, row: CallRow, *, give_up_at: float
    ) -> Claim | FoundRow | NotClaimed:
        """Write the intent if the key is free.

        If the answer is lost, the intent is written again under the same
        token, which shows whether the first write took effect.
        """
        version = 0
        replaceable_version: int | None = None
        while True:
            sent_at = anyio.current_time()
            outcome = await self._write(key, row, version)
            if isinstance(outcome, Committed):
                return _as_claim(key, row, outcome.versions[key], sent_at)
            if isinstance(outcome, Conflict):
                found = _find_in(outcome)
                if found is not None and not _can_reclaim(found, row):
                    return _claim_or_found(found, row, sent_at)
                version = found.version if found else 0
                continue
            if outcome.may_have_taken_effect:
                replaceable_version = version
            has_timed_out = anyio.current_time() >= give_up_at
            if replaceable_version is None or has_timed_out:
                return NotClaimed(
                    reason=outcome.reason,
                    replaceable_version=replaceable_version,
                )
            await anyio.sleep(RETRY_PAUSE_S)

    async def confirm(
        self, claim: Claim, *, give_up_at: float
    ) -> Claim | FoundRow | NotClaimed:
        """Mark a claim as dispatching if this daemon still holds it.

        While a daemon is paused, another may consider it dead and report
        the outcome of the call as unknown. Without this check the paused
        daemon would send the call after that report.
        """
        row = replace(claim.row, state=CallState.DISPATCHING)
        version = claim.version
        while True:
            sent_at = anyio.current_time()
            outcome = await self._write(claim.key, row, version)
            if isinstance(outcome, Committed):
                return _as_claim(
                    claim.key, row, outcome.versions[claim.key], sent_at
                )
            if isinstance(outcome, Conflict):
                found = _find_in(outcome)
                if found is None:
                    return FoundRow(key=claim.key, row=None, version=0)
                return _claim_or_found(found, row, sent_at)
            if anyio.current_time() >= give_up_at:
                return NotClaimed(
                    reason=outcome.reason, replaceable_version=version
                )
            await anyio.sleep(RETRY_PAUSE_S)

    async def write_final_state(
        self, final: FinalState
    ) -> CallRow | Unavailable:
        """Write the final state of a call; return the row that then holds.

        That row differs from the one written if another daemon has
        declared the call unknown.
        """
        if has_object(final.row.answer):
            key = object_key(final.claim.key, final.row.token)
            put = await self.objects.put(key, final.body)
            if isinstance(put, Unavailable):
                return put
        key = final.claim.key
        outcome = await self._write(key, final.row, final.claim.version)
        if isinstance(outcome, Unavailable):
            return outcome
        if isinstance(outcome, Committed):
            return final.row
        found = _find_in(outcome)
        if found is None or found.row is None:
            return final.row
        if found.row.token != final.row.token:
            return final.row
        return found.row

    async def mark_not_run(self, intent: AbandonedIntent) -> bool:
        """Mark an abandoned intent as not run; return False to retry.

        If the intent has not taken effect, the mark uses up the version
        that the intent would replace, so a delayed write of the intent
        conflicts.
        """
        mark = intent.row.settle(
            CallState.NOT_RUN, settled_at=self.wall_clock()
        )
        found = await self.find(intent.key)
        if isinstance(found, Unavailable):
            return False
        version = found.version if found else 0
        is_own = (
            found is not None
            and found.row is not None
            and found.row.token == intent.row.token
            and not found.row.is_settled
        )
        may_still_land = version == intent.replaceable_version and (
            found is None or is_not_run(found)
        )
        if not is_own and not may_still_land:
            return True
        outcome = await self._write(intent.key, mark, version)
        return isinstance(outcome, Committed)

    async def declare_unknown(
        self, found: FoundRow, row: CallRow
    ) -> FoundRow | Unavailable:
        """Settle an orphaned call as unknown."""
        unknown = row.settle(CallState.UNKNOWN, settled_at=self.wall_clock())
        outcome = await self._write(found.key, unknown, found.version)
        if isinstance(outcome, Committed):
            version = outcome.versions[found.key]
            return FoundRow(key=found.key, row=unknown, version=version)
        if isinstance(outcome, Conflict):
            now = _find_in(outcome)
            return now or FoundRow(key=found.key, row=None, version=0)
        return outcome

    async def load_body(
        self, key: str, row: CallRow
    ) -> bytes | None | Unavailable:
        """Return the body of a stored answer, None if its object is gone."""
        if row.answer is None or not has_object(row.answer):
            return row.answer.body if row.answer else b''
        return await self.objects.get(object_key(key, row.token))

    async def _write(
        self, key: str, row: CallRow, version: int
    ) -> Committed | Conflict | Unavailable:
        return await self.table.commit(
            [Check(key=key, version=version)],
            [Write(key=key, value=encode_row(row))],
        )


def has_object(answer: StoredAnswer | None) -> bool:
    """Whether the body of an answer is stored as an object."""
    return answer is not None and answer.body_place is BodyLocation.OBJECT


def _as_claim(key: str, row: CallRow, version: int, sent_at: float) -> Claim:
    return Claim(key=key, row=row, version=version, sent_at=sent_at)


def _as_found(row: Row) -> FoundRow:
    return FoundRow(key=row.key, row=parse_row(row.value), version=row.version)


def _find_in(conflict: Conflict) -> FoundRow | None:
    return _as_found(conflict.found) if conflict.found else None


def is_not_run(found: FoundRow) -> bool:
    """Whether the holder gave up the call before sending it."""
    return found.row is not None and found.row.state is CallState.NOT_RUN


def _can_reclaim(found: FoundRow, row: CallRow) -> bool:
    return (
        is_not_run(found)
        and found.row is not None
        and found.row.digest == row.digest
        and found.row.token != row.token
    )


def _claim_or_found(
    found: FoundRow, row: CallRow, sent_at: float
) -> Claim | FoundRow:
    """Return a claim if the found row equals the one written."""
    if found.row == row:
        return _as_claim(found.key, row, found.version, sent_at)
    return found

"""Steps of a call's row in the table, each one transaction.

An answer of the store can be lost after the write took effect, and a
write can arrive long after its answer was given up on. So each step
names the version that it replaces, and the row's token tells whose it
is: a step that is sent twice, or late, can take effect only once.
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
    BodyPlace,
    CallRow,
    CallState,
    KeptAnswer,
    encode_row,
    object_key,
    parse_row,
)

RETRY_PAUSE_S = 0.1
"""Pause before a step that may have landed is sent again."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Claim:
    """The row says that this daemon holds the call."""

    key: str
    row: CallRow
    version: int
    sent_at: float
    """The row said so at this time of `anyio.current_time` or later."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Found:
    """The row as somebody else left it; None: it cannot be read."""

    key: str
    row: CallRow | None
    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class NotClaimed:
    """The store did not answer, and this daemon gave the call up."""

    reason: str
    may_replace: int | None = None
    """Version that a write on its way may still replace, if one may."""


@dataclass(frozen=True, kw_only=True, slots=True)
class AbandonedIntent:
    """An intent to be marked as not run; its holder will not send it."""

    key: str
    row: CallRow
    may_replace: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Ending:
    """The end of a call that its holder writes into the row."""

    claim: Claim
    row: CallRow
    body: bytes = b''


@dataclass(frozen=True, kw_only=True, slots=True)
class CallStore:
    """The rows of calls that may not be repeated."""

    table: Table
    objects: ObjectStore
    wall_clock: Callable[[], float]

    async def find(self, key: str) -> Found | None | Unavailable:
        """Return the row of a call, None where there is none."""
        row = await self.table.read(key)
        if isinstance(row, Row):
            return _as_found(row)
        return row

    async def claim(
        self, key: str, row: CallRow, *, give_up_at: float
    ) -> Claim | Found | NotClaimed:
        """Write the intent if the key is free.

        While a lost answer leaves it open whether the intent landed, it
        is written again under the same token, which settles that.
        """
        version = 0
        may_replace: int | None = None
        while True:
            sent_at = anyio.current_time()
            outcome = await self._write(key, row, version)
            if isinstance(outcome, Committed):
                return _as_claim(key, row, outcome.versions[key], sent_at)
            if isinstance(outcome, Conflict):
                found = _find_in(outcome)
                if found is not None and not _is_free(found, row):
                    return _claim_or_found(found, row, sent_at)
                version = found.version if found else 0
                continue
            if outcome.may_have_landed:
                may_replace = version
            is_late = anyio.current_time() >= give_up_at
            if may_replace is None or is_late:
                return NotClaimed(
                    reason=outcome.reason, may_replace=may_replace
                )
            await anyio.sleep(RETRY_PAUSE_S)

    async def confirm(
        self, claim: Claim, *, give_up_at: float
    ) -> Claim | Found | NotClaimed:
        """Check and mark, after a pause, that the call is still ours.

        While a daemon is paused, another may take it for dead and tell
        a caller that the outcome is unknown. Without this step the call
        would be sent after that was said.
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
                    return Found(key=claim.key, row=None, version=0)
                return _claim_or_found(found, row, sent_at)
            if anyio.current_time() >= give_up_at:
                return NotClaimed(reason=outcome.reason, may_replace=version)
            await anyio.sleep(RETRY_PAUSE_S)

    async def write_ending(self, ending: Ending) -> CallRow | Unavailable:
        """Write the end of a call; the row that stands is returned.

        It is another one if somebody has declared the call unknown.
        """
        if has_object(ending.row.answer):
            key = object_key(ending.claim.key, ending.row.token)
            put = await self.objects.put(key, ending.body)
            if isinstance(put, Unavailable):
                return put
        key = ending.claim.key
        outcome = await self._write(key, ending.row, ending.claim.version)
        if isinstance(outcome, Unavailable):
            return outcome
        if isinstance(outcome, Committed):
            return ending.row
        found = _find_in(outcome)
        if found is None or found.row is None:
            return ending.row
        if found.row.token != ending.row.token:
            return ending.row
        return found.row

    async def mark_not_run(self, intent: AbandonedIntent) -> bool:
        """Mark an intent that its holder gave up; False: try again.

        Where the intent has not landed, the mark takes the place that
        it would take, so that it can never land later.
        """
        mark = intent.row.settle(
            CallState.NOT_RUN, settled_at=self.wall_clock()
        )
        found = await self.find(intent.key)
        if isinstance(found, Unavailable):
            return False
        version = found.version if found else 0
        is_ours = (
            found is not None
            and found.row is not None
            and found.row.token == intent.row.token
            and not found.row.is_settled
        )
        may_still_land = version == intent.may_replace and (
            found is None or is_not_run(found)
        )
        if not is_ours and not may_still_land:
            return True
        outcome = await self._write(intent.key, mark, version)
        return isinstance(outcome, Committed)

    async def declare_unknown(
        self, found: Found, row: CallRow
    ) -> Found | Unavailable:
        """Settle the call of a holder that is gone."""
        unknown = row.settle(CallState.UNKNOWN, settled_at=self.wall_clock())
        outcome = await self._write(found.key, unknown, found.version)
        if isinstance(outcome, Committed):
            version = outcome.versions[found.key]
            return Found(key=found.key, row=unknown, version=version)
        if isinstance(outcome, Conflict):
            now = _find_in(outcome)
            return now or Found(key=found.key, row=None, version=0)
        return outcome

    async def load_body(
        self, key: str, row: CallRow
    ) -> bytes | None | Unavailable:
        """Return the body of a kept answer."""
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


def has_object(answer: KeptAnswer | None) -> bool:
    """Whether the body of an answer is kept as an object."""
    return answer is not None and answer.body_place is BodyPlace.OBJECT


def _as_claim(key: str, row: CallRow, version: int, sent_at: float) -> Claim:
    return Claim(key=key, row=row, version=version, sent_at=sent_at)


def _as_found(row: Row) -> Found:
    return Found(key=row.key, row=parse_row(row.value), version=row.version)


def _find_in(conflict: Conflict) -> Found | None:
    return _as_found(conflict.found) if conflict.found else None


def is_not_run(found: Found) -> bool:
    """Whether the row says that its holder gave the call up."""
    return found.row is not None and found.row.state is CallState.NOT_RUN


def _is_free(found: Found, row: CallRow) -> bool:
    return (
        is_not_run(found)
        and found.row is not None
        and found.row.digest == row.digest
        and found.row.token != row.token
    )


def _claim_or_found(
    found: Found, row: CallRow, sent_at: float
) -> Claim | Found:
    """Return a claim if the row found is the one that was written."""
    if found.row == row:
        return _as_claim(found.key, row, found.version, sent_at)
    return found

"""The row that a call leaves in the table if it may not be repeated.

There is one row for each account and idempotency key. Its state goes
one way: intent, possibly dispatching, and then one of three ends.
"""

import hashlib
from dataclasses import dataclass, replace
from enum import StrEnum

import pydantic

from mimosamux_daemon.domain.names import AccountId, DaemonId, RequestId
from mimosamux_daemon.domain.work import ServiceCall
from mimosamux_daemon.ports.models.service import ServiceAnswer

SIDE_EFFECT_PREFIX = 'side-effects/'
KEY_DIGEST_LENGTH = 40
"""Hexadecimal digits of a caller's key that go into the row's key."""
MAX_KEY_LENGTH = 255
"""Characters of an idempotency key."""
ROW_ANSWER_LIMIT = 16 * 1024
"""Bytes of an answer's body that are kept in the row itself."""
OBJECT_ANSWER_LIMIT = 8 * 1024 * 1024
"""Bytes of a body that are kept as an object; a larger one is not."""


class CallState(StrEnum):
    """How far a call has come."""

    INTENT = 'intent'
    """Its holder is about to send it."""
    DISPATCHING = 'dispatching'
    """Its holder looked again after a pause and is about to send it."""
    ANSWERED = 'answered'
    UNKNOWN = 'unknown'
    """Nobody can tell whether it ran; no answer changes this."""
    NOT_RUN = 'not_run'
    """Its holder gave it up before sending; the key is free again."""


class BodyPlace(StrEnum):
    """Where the body of an answer is kept."""

    ROW = 'row'
    OBJECT = 'object'
    NOWHERE = 'nowhere'


@dataclass(frozen=True, kw_only=True, slots=True)
class KeptAnswer:
    """Answer of a service, kept for callers who ask again."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes = b''
    body_place: BodyPlace = BodyPlace.ROW


@dataclass(frozen=True, kw_only=True, slots=True)
class CallRow:
    """What the row of a call says."""

    state: CallState
    token: str
    """Unique for each attempt to claim the key: tells whose row it is."""
    digest: str
    """Digest of service, method, path and body."""
    daemon: DaemonId
    incarnation: int
    request: RequestId
    time_left_s: float
    """Time that the holder had left for the call when it claimed it."""
    settled_at: float = 0.0
    """Wall time of the end in seconds since 1970; the cleaner reads it."""
    answer: KeptAnswer | None = None

    @property
    def is_settled(self) -> bool:
        """Whether no holder has anything left to do for the call."""
        return self.state not in (CallState.INTENT, CallState.DISPATCHING)

    def settle(
        self,
        state: CallState,
        *,
        settled_at: float,
        answer: KeptAnswer | None = None,
    ) -> 'CallRow':
        """Return the row with its end."""
        return replace(self, state=state, settled_at=settled_at, answer=answer)


class _RowModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(
        ser_json_bytes='base64', val_json_bytes='base64'
    )

    row: CallRow


def encode_row(row: CallRow) -> bytes:
    """Return the value that is written into the table."""
    return _RowModel(row=row).model_dump_json().encode()


def parse_row(value: bytes) -> CallRow | None:
    """Return what a row says, None if this daemon cannot read it."""
    try:
        return _RowModel.model_validate_json(value).row
    except pydantic.ValidationError:
        return None


def row_key(account: AccountId, idempotency_key: str) -> str:
    """Return the key of the row for an account and a caller's key."""
    digest = hashlib.sha256(idempotency_key.encode()).hexdigest()
    return f'{SIDE_EFFECT_PREFIX}{account}/{digest[:KEY_DIGEST_LENGTH]}'


def object_key(key: str, token: str) -> str:
    """Return the key of the object that holds a large body."""
    return f'{key}/{token}'


def digest_call(call: ServiceCall) -> str:
    """Return a digest of everything that makes a call the same call."""
    digest = hashlib.sha256()
    for part in (call.service, call.method, call.path):
        digest.update(part.encode() + b'\0')
    digest.update(call.body)
    return digest.hexdigest()


def keep_answer(answer: ServiceAnswer) -> KeptAnswer:
    """Return the part of an answer that goes into the row."""
    size = len(answer.body)
    place = BodyPlace.NOWHERE
    if size <= ROW_ANSWER_LIMIT:
        place = BodyPlace.ROW
    elif size <= OBJECT_ANSWER_LIMIT:
        place = BodyPlace.OBJECT
    return KeptAnswer(
        status=answer.status,
        headers=answer.headers,
        body=answer.body if place is BodyPlace.ROW else b'',
        body_place=place,
    )

"""Table rows of non-repeatable calls.

There is one row per account and idempotency key. Its state advances
from intent, optionally through dispatching, to one of three settled
states: answered, unknown or not run. The holder of a call is the daemon
process whose intent the row records.
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
"""Hexadecimal digits of the idempotency key's digest in a row key."""
MAX_KEY_LENGTH = 255
"""Most characters of an idempotency key."""
ROW_ANSWER_LIMIT = 16 * 1024
"""Largest body in bytes that is stored in the row itself."""
OBJECT_ANSWER_LIMIT = 8 * 1024 * 1024
"""Largest body in bytes that is stored as an object; larger ones are
not stored."""


class CallState(StrEnum):
    """State of a call."""

    INTENT = 'intent'
    """The holder is about to send it."""
    DISPATCHING = 'dispatching'
    """The holder confirmed a stale claim and is about to send it."""
    ANSWERED = 'answered'
    UNKNOWN = 'unknown'
    """Whether it ran is not known; this state is final."""
    NOT_RUN = 'not_run'
    """The holder gave up before sending it; the key is free again."""


class BodyLocation(StrEnum):
    """Where the body of an answer is stored."""

    ROW = 'row'
    OBJECT = 'object'
    NOT_STORED = 'nowhere'


@dataclass(frozen=True, kw_only=True, slots=True)
class StoredAnswer:
    """Answer of a service, stored for duplicate calls."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes = b''
    body_place: BodyLocation = BodyLocation.ROW


@dataclass(frozen=True, kw_only=True, slots=True)
class CallRow:
    """Contents of a call's row."""

    state: CallState
    token: str
    """Unique for each attempt to claim the key; identifies the writer."""
    digest: str
    """Digest of service, method, path and body."""
    daemon: DaemonId
    incarnation: int
    request: RequestId
    time_left_s: float
    """Seconds to the deadline of the call when its holder claimed it."""
    settled_at: float = 0.0
    """Unix time in seconds at which the call settled; the cleaner deletes
    rows by it."""
    answer: StoredAnswer | None = None

    @property
    def is_settled(self) -> bool:
        """Whether the call has reached a final state."""
        return self.state not in (CallState.INTENT, CallState.DISPATCHING)

    def settle(
        self,
        state: CallState,
        *,
        settled_at: float,
        answer: StoredAnswer | None = None,
    ) -> 'CallRow':
        """Return the row in a settled state."""
        return replace(self, state=state, settled_at=settled_at, answer=answer)


class _RowModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(
        ser_json_bytes='base64', val_json_bytes='base64'
    )

    row: CallRow


def encode_row(row: CallRow) -> bytes:
    """Return the table value of a row."""
    return _RowModel(row=row).model_dump_json().encode()


def parse_row(value: bytes) -> CallRow | None:
    """Return the row of a table value, None if it cannot be parsed."""
    try:
        return _RowModel.model_validate_json(value).row
    except pydantic.ValidationError:
        return None


def row_key(account: AccountId, idempotency_key: str) -> str:
    """Return the row key for an account and an idempotency key."""
    digest = hashlib.sha256(idempotency_key.encode()).hexdigest()
    return f'{SIDE_EFFECT_PREFIX}{account}/{digest[:KEY_DIGEST_LENGTH]}'


def object_key(key: str, token: str) -> str:
    """Return the object key of a body too large for the row."""
    return f'{key}/{token}'


def digest_call(call: ServiceCall) -> str:
    """Return the digest that two calls must share to be duplicates."""
    digest = hashlib.sha256()
    for part in (call.service, call.method, call.path):
        digest.update(part.encode() + b'\0')
    digest.update(call.body)
    return digest.hexdigest()


def to_stored_answer(answer: ServiceAnswer) -> StoredAnswer:
    """Return an answer in its stored form, without a large body."""
    size = len(answer.body)
    place = BodyLocation.NOT_STORED
    if size <= ROW_ANSWER_LIMIT:
        place = BodyLocation.ROW
    elif size <= OBJECT_ANSWER_LIMIT:
        place = BodyLocation.OBJECT
    return StoredAnswer(
        status=answer.status,
        headers=answer.headers,
        body=answer.body if place is BodyLocation.ROW else b'',
        body_place=place,
    )

"""Messages with which a stopping daemon hands requests over to a peer."""

from dataclasses import dataclass, field
from typing import Any, ClassVar

from thrift.Thrift import TType

from mimosamux_wire.messages import Message


@dataclass(kw_only=True, slots=True)
class HandOver(Message):
    """An accepted model request with the tokens answered so far.

    `parameters` is JSON; `idempotency_key` is empty if the request has
    none. The answer to this message is a `HandOverReply`.
    """

    request: str = ''
    account: str = ''
    work_class: str = ''
    model: str = ''
    prompt: str = ''
    max_tokens: int = 0
    parameters: bytes = b''
    idempotency_key: str = ''
    tokens: list[str] = field(default_factory=list)
    attempt: int = 0
    deadline_left_s: float = 0.0
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.STRING, 'request', 'UTF8', ''),
        (2, TType.STRING, 'account', 'UTF8', ''),
        (3, TType.STRING, 'work_class', 'UTF8', ''),
        (4, TType.STRING, 'model', 'UTF8', ''),
        (5, TType.STRING, 'prompt', 'UTF8', ''),
        (6, TType.I32, 'max_tokens', None, 0),
        (7, TType.STRING, 'parameters', 'BINARY', b''),
        (8, TType.STRING, 'idempotency_key', 'UTF8', ''),
        (9, TType.LIST, 'tokens', (TType.STRING, 'UTF8', False), []),
        (10, TType.I32, 'attempt', None, 0),
        (11, TType.DOUBLE, 'deadline_left_s', None, 0.0),
    )


@dataclass(kw_only=True, slots=True)
class HandOverReply(Message):
    """Answer to `HandOver`: whether the peer continues the request.

    If `recorded` is true, the peer's journal holds the request, and the
    sender of the hand-over may delete its own journal entry.
    """

    taken: bool = False
    recorded: bool = False
    reason: str = ''
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.BOOL, 'taken', None, False),
        (2, TType.BOOL, 'recorded', None, False),
        (3, TType.STRING, 'reason', 'UTF8', ''),
    )


@dataclass(kw_only=True, slots=True)
class HandOverWithdrawn(Message):
    """Withdraws a hand-over that got no answer.

    The sender continues the request itself. A peer that accepted it
    nevertheless drops it, unless a caller is reading its answer there.
    """

    request: str = ''
    attempt: int = 0
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.STRING, 'request', 'UTF8', ''),
        (2, TType.I32, 'attempt', None, 0),
    )

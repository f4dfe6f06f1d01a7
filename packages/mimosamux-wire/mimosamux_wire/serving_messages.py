"""Messages with which a daemon hands accepted requests to a peer."""

from dataclasses import dataclass, field
from typing import Any, ClassVar

from thrift.Thrift import TType

from mimosamux_wire.messages import Message


@dataclass(kw_only=True, slots=True)
class HandOver(Message):
    """An accepted model request and its answer so far.

    `parameters` is JSON; `idempotency_key` is empty for none. The answer
    to this message is a `HandOverReply`.
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
    """Whether the peer goes on with the request.

    `recorded` tells that its journal has the request, so that the daemon
    which handed it over may drop its own entry.
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
    """The sender goes on with a request itself; its offer got no answer.

    A peer that took it all the same stops, unless a caller reads there.
    """

    request: str = ''
    attempt: int = 0
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.STRING, 'request', 'UTF8', ''),
        (2, TType.I32, 'attempt', None, 0),
    )

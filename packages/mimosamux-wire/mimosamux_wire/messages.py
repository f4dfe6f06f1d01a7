"""Base of the thrift structs that daemons send to each other.

Each message is a data class whose `thrift_spec` the thrift library reads;
`mimosamux.thrift` states the same structs for other languages.
"""

from dataclasses import dataclass
from typing import Any, ClassVar

from thrift.protocol.TBase import TBase
from thrift.Thrift import TType

MESSAGES_BY_NAME: dict[str, type['Message']] = {}
"""Every known kind of message by the name that frames carry."""


class Message(TBase):  # type: ignore[misc]
    """A struct that can be sent; every field has a default.

    An older daemon leaves out fields that it does not know, and skips
    those of a newer one, so two versions can run beside each other.
    """

    __slots__ = ()
    thrift_spec: ClassVar[tuple[Any, ...]] = ()

    def __init_subclass__(cls) -> None:
        """Make the kind known by its name."""
        # `dataclass(slots=True)` makes the class a second time; the
        # later one is the one that callers hold.
        MESSAGES_BY_NAME[cls.__name__] = cls


@dataclass(kw_only=True, slots=True, eq=True)
class Acknowledged(Message):
    """Answer of a peer that has taken a message."""

    thrift_spec: ClassVar[tuple[Any, ...]] = ()


@dataclass(kw_only=True, slots=True, eq=True)
class Rejected(Message):
    """Answer of a peer that does not know the message or cannot serve it.

    Its fields are those of thrift's `TApplicationException`.
    """

    problem: str = ''
    code: int = 0
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.STRING, 'problem', 'UTF8', ''),
        (2, TType.I32, 'code', None, 0),
    )

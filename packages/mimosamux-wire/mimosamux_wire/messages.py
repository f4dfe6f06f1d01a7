"""Base class of the thrift structs that daemons send to each other.

Each message is a dataclass. The thrift library encodes and decodes it by its
`thrift_spec`; `mimosamux.thrift` defines the same structs for other languages.
"""

from dataclasses import dataclass
from typing import Any, ClassVar

from thrift.protocol.TBase import TBase
from thrift.Thrift import TType

MESSAGES_BY_NAME: dict[str, type['Message']] = {}
"""All message classes, by the message name on the link."""


class Message(TBase):  # type: ignore[misc]
    """A struct that can be sent; every field has a default.

    An older daemon does not send the fields that it does not know, and
    skips them when a newer one sends them. Daemons of two versions can
    therefore exchange messages.
    """

    __slots__ = ()
    thrift_spec: ClassVar[tuple[Any, ...]] = ()

    def __init_subclass__(cls) -> None:
        """Register the message class under its name."""
        # `dataclass(slots=True)` creates the class a second time. The
        # second class replaces the first here, as callers use only that.
        MESSAGES_BY_NAME[cls.__name__] = cls


@dataclass(kw_only=True, slots=True, eq=True)
class Acknowledged(Message):
    """Answer of a peer that has accepted a message."""

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

"""Base of the thrift structs that daemons send to each other.

Each message is a data class whose `thrift_spec` the thrift library reads;
`mimosamux.thrift` states the same structs for other languages.
"""

from dataclasses import dataclass
from typing import Any, ClassVar

from thrift.protocol.TBase import TBase


class Message(TBase):  # type: ignore[misc]
    """A struct that can be sent; every field has a default.

    An older daemon leaves out fields that it does not know, and skips
    those of a newer one, so two versions can run beside each other.
    """

    __slots__ = ()
    thrift_spec: ClassVar[tuple[Any, ...]] = ()


@dataclass(kw_only=True, slots=True, eq=True)
class Acknowledged(Message):
    """Answer of a peer that has taken a message."""

    thrift_spec: ClassVar[tuple[Any, ...]] = ()

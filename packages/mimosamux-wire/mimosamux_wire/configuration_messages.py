"""Messages that spread the configuration."""

from dataclasses import dataclass, field
from typing import Any, ClassVar

from thrift.Thrift import TType

from mimosamux_wire.messages import Message


@dataclass(kw_only=True, slots=True)
class CommittedVersion(Message):
    """One version of the configuration, as its row in the table holds it."""

    version: int = 0
    row: bytes = b''
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.I64, 'version', None, 0),
        (2, TType.STRING, 'row', 'BINARY', b''),
    )


@dataclass(kw_only=True, slots=True)
class ConfigurationPush(Message):
    """Versions that were committed just now, oldest first."""

    origin: str = ''
    """Data centre in which they were accepted or first learnt of."""
    versions: list[CommittedVersion] = field(default_factory=list)
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.STRING, 'origin', 'UTF8', ''),
        (
            2,
            TType.LIST,
            'versions',
            (
                TType.STRUCT,
                [CommittedVersion, CommittedVersion.thrift_spec],
                False,
            ),
            None,
        ),
    )


@dataclass(kw_only=True, slots=True)
class ConfigurationFetch(Message):
    """Asks for everything after a version."""

    after: int = 0
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.I64, 'after', None, 0),
    )


@dataclass(kw_only=True, slots=True)
class ConfigurationState(Message):
    """Answer to a fetch: what is missing, or a whole snapshot."""

    version: int = 0
    versions: list[CommittedVersion] = field(default_factory=list)
    snapshot: bytes = b''
    """Empty if `versions` leads from the version asked for to this one."""
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.I64, 'version', None, 0),
        (
            2,
            TType.LIST,
            'versions',
            (
                TType.STRUCT,
                [CommittedVersion, CommittedVersion.thrift_spec],
                False,
            ),
            None,
        ),
        (3, TType.STRING, 'snapshot', 'BINARY', b''),
    )

"""Messages that replicate the versioned configuration."""

from dataclasses import dataclass, field
from typing import Any, ClassVar

from thrift.Thrift import TType

from mimosamux_wire.messages import Message


@dataclass(kw_only=True, slots=True)
class CommittedVersion(Message):
    """One configuration version, as stored in its table row."""

    version: int = 0
    row: bytes = b''
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.I64, 'version', None, 0),
        (2, TType.STRING, 'row', 'BINARY', b''),
    )


@dataclass(kw_only=True, slots=True)
class ConfigurationPush(Message):
    """Newly committed versions, oldest first."""

    origin: str = ''
    """Data centre that accepted the versions or learned of them first."""
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
    """Asks for all versions after `after`."""

    after: int = 0
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.I64, 'after', None, 0),
    )


@dataclass(kw_only=True, slots=True)
class ConfigurationState(Message):
    """Answer to a fetch: the missing versions, or a complete snapshot."""

    version: int = 0
    versions: list[CommittedVersion] = field(default_factory=list)
    snapshot: bytes = b''
    """Empty if `versions` holds all versions after the requested one."""
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

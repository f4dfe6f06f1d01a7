"""Messages between mimosamux daemons."""

from mimosamux_wire.configuration_messages import (
    CommittedVersion,
    ConfigurationFetch,
    ConfigurationPush,
    ConfigurationState,
)
from mimosamux_wire.envelopes import (
    MAX_MESSAGE_BYTES,
    MAX_SEQUENCE,
    Envelope,
    EnvelopeType,
    Malformed,
    decode,
    encode,
)
from mimosamux_wire.fleet_messages import (
    AccountUse,
    EndpointDigest,
    FleetDigest,
    FullDigestWanted,
    LeavingEndpoint,
    LeavingEndpoints,
)
from mimosamux_wire.frames import (
    MAX_FRAME_BYTES,
    FrameReader,
    FrameWriter,
    LinkClosed,
)
from mimosamux_wire.gateway_messages import (
    CapUse,
    DaemonsKnown,
    EndpointsLeave,
    EndpointUse,
    PartsRead,
    ServiceDemand,
    StateDigest,
    Vouch,
    Vouched,
    WindowUse,
)
from mimosamux_wire.link_messages import (
    PROTOCOL_VERSION,
    LinkHello,
    LinkProof,
)
from mimosamux_wire.membership_messages import (
    DataCentreSummary,
    Heartbeat,
    MemberRecord,
    MembersFetch,
    MembersKnown,
    SummaryExchange,
    Superseded,
)
from mimosamux_wire.messages import (
    MESSAGES_BY_NAME,
    Acknowledged,
    Message,
    Rejected,
)
from mimosamux_wire.serving_messages import (
    HandOver,
    HandOverReply,
    HandOverWithdrawn,
)

__all__ = [
    'HandOver',
    'HandOverReply',
    'HandOverWithdrawn',
    'MAX_FRAME_BYTES',
    'MAX_MESSAGE_BYTES',
    'MAX_SEQUENCE',
    'MESSAGES_BY_NAME',
    'PROTOCOL_VERSION',
    'EndpointDigest',
    'FleetDigest',
    'FullDigestWanted',
    'LeavingEndpoint',
    'LeavingEndpoints',
    'AccountUse',
    'Acknowledged',
    'CapUse',
    'CommittedVersion',
    'ConfigurationFetch',
    'ConfigurationPush',
    'ConfigurationState',
    'DaemonsKnown',
    'DataCentreSummary',
    'EndpointUse',
    'EndpointsLeave',
    'Envelope',
    'EnvelopeType',
    'FrameReader',
    'FrameWriter',
    'Heartbeat',
    'LinkClosed',
    'LinkHello',
    'LinkProof',
    'Malformed',
    'MemberRecord',
    'MembersFetch',
    'MembersKnown',
    'Message',
    'PartsRead',
    'Rejected',
    'ServiceDemand',
    'StateDigest',
    'SummaryExchange',
    'Superseded',
    'Vouch',
    'Vouched',
    'WindowUse',
    'decode',
    'encode',
]

"""Where a stream began, which decides where it may go on."""

from dataclasses import dataclass

from mimosamux_daemon.domain.gateway import ListedEndpoint
from mimosamux_daemon.domain.names import ServiceName


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamOrigin:
    """The software that writes the events of a stream.

    Two versions may tokenize and decode differently, so that events of one do
    not fit behind those of the other. Endpoints do not check this.
    """

    service: ServiceName
    software: str

    @classmethod
    def of(cls, endpoint: ListedEndpoint) -> 'StreamOrigin':
        """Return the origin of a stream that begins at an endpoint."""
        return cls(service=endpoint.service, software=endpoint.software)

    def allows(self, endpoint: ListedEndpoint) -> bool:
        """Whether the stream may go on at an endpoint."""
        return self == StreamOrigin.of(endpoint)

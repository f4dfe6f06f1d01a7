"""Port to the ways by which endpoints can be reached."""

from typing import Protocol


class EndpointRoutes(Protocol):
    """Knows which endpoints this daemon cannot reach, and which peers do."""

    def is_cut_off(self, address: str) -> bool:
        """Whether connections to an endpoint have to go through a peer."""

    def note_connect(self, address: str, *, failed: bool) -> None:
        """Take the outcome of a direct connection attempt to an endpoint."""

    def note_received(self, address: str) -> None:
        """Note that bytes came from an endpoint."""

    def tunnels_to(self, address: str) -> list[str]:
        """Return the tunnel addresses of peers that reach an endpoint."""

    def note_tunnel(self, tunnel: str, *, failed: bool) -> None:
        """Take the outcome of a connection attempt to a peer's tunnel."""

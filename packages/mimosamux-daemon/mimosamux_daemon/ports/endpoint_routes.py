"""Port to the ways by which endpoints can be reached."""

from collections.abc import Callable
from typing import Protocol


class EndpointRoutes(Protocol):
    """Knows which endpoints this daemon cannot reach, and which peers do."""

    on_tunnel_closing: list[Callable[[str], None]]
    """Called with a peer's tunnel address when that peer begins to stop."""

    def is_cut_off(self, address: str) -> bool:
        """Whether connections to an endpoint have to go through a peer."""

    def note_connect(self, address: str, *, failed: bool) -> None:
        """Take the outcome of a direct connection attempt to an endpoint."""

    def note_received(self, address: str) -> None:
        """Note that bytes came from an endpoint."""

    def tunnels_to(self, address: str) -> list[str]:
        """Return the tunnel addresses of peers that reach an endpoint."""

    def do_peers_reach(self, address: str) -> bool:
        """Whether some peer last said that it reaches an endpoint.

        It may have stopped since.
        """

    def may_send_through(self, tunnel: str) -> bool:
        """Whether requests may go through a tunnel: its peer stays."""

    def note_tunnel(self, tunnel: str, *, status: int | None) -> None:
        """Take a peer's answer to a request for a tunnel, None without one."""

    def note_tunnel_broken(self, tunnel: str, address: str) -> None:
        """Note that a request's connection through a tunnel broke."""

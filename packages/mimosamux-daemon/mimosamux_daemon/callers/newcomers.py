"""Bounds the connections to a listener for peers that have proved nothing.

Callers can reach these listeners as well. Of those who connect, only a few may
go without proof of who they are; the others wait to be accepted. If there are
as many as that, who has had its time without proof yields.
"""

from collections.abc import Iterator
from contextlib import contextmanager

import anyio

from mimosamux_daemon.callers.limits import (
    PROOF_S,
    find_descriptor_limit,
    find_newcomer_limit,
)


class Newcomers:
    """Connections to one listener, until the other side has proved itself."""

    def __init__(self, *, descriptors: int = 0) -> None:
        """Bound them for a process with so many descriptors, 0: not set."""
        self._most = find_newcomer_limit(find_descriptor_limit(descriptors))
        self._since_by_scope: dict[anyio.CancelScope, float] = {}
        """Times at which they came, the earliest first."""

    def may_accept(self, opening: int) -> bool:
        """Whether one more may be accepted beside those that open.

        If not, the earliest yields, once it has had `PROOF_S`.
        """
        if len(self._since_by_scope) + opening < self._most:
            return True
        scope, since = next(iter(self._since_by_scope.items()), (None, 0.0))
        if scope is not None and anyio.current_time() - since >= PROOF_S:
            scope.cancel()
        return False

    @contextmanager
    def admit(self) -> Iterator[None]:
        """Count one while it proves itself; the block ends if it yields."""
        with anyio.CancelScope() as scope:
            self._since_by_scope[scope] = anyio.current_time()
            try:
                yield
            finally:
                del self._since_by_scope[scope]

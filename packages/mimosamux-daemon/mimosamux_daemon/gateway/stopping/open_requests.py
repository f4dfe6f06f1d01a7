"""Requests that are handled at the moment, for a stop to end together."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import anyio


@dataclass(kw_only=True, slots=True)
class OpenRequests:
    """The cancel scopes of the requests under way."""

    is_over: bool = False
    """Whether `end_all` was called; later requests are ended at once."""
    _scopes: set[anyio.CancelScope] = field(default_factory=set)

    @contextmanager
    def track(self) -> Iterator[anyio.CancelScope]:
        """Run the block in a scope that `end_all` cancels.

        The block's owner still answers the caller afterwards.
        """
        with anyio.CancelScope() as scope:
            if self.is_over:
                scope.cancel()
            self._scopes.add(scope)
            try:
                yield scope
            finally:
                self._scopes.discard(scope)

    def end_all(self) -> None:
        """Cancel what is under way."""
        self.is_over = True
        for scope in tuple(self._scopes):
            scope.cancel()

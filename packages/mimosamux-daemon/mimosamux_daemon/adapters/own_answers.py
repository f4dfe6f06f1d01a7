"""Finds the answer to a request among those that come on its connection."""

from collections.abc import Callable

from mimosamux_daemon.adapters.http1_channel import Channel, ChannelBroken
from mimosamux_daemon.domain.http_messages import AnswerHead


class OwnAnswers:
    """Receives the answer to a request, and skips those of others.

    A late answer to an earlier request, or bytes that belong to none, may
    come first.
    """

    def __init__(
        self, *, channel: Channel, is_own: Callable[[AnswerHead], bool]
    ) -> None:
        self._channel = channel
        self._is_own = is_own
        self._is_skipping = False
        """Whether the answer being received belongs to another request."""

    async def receive_head(self) -> AnswerHead | ChannelBroken:
        """Return the head of the answer; cancellation loses no data."""
        while True:
            if self._is_skipping:
                skipped = await self._skip_body()
                if skipped is not None:
                    return skipped
            head = await self._channel.receive_head()
            if isinstance(head, ChannelBroken) or self._is_own(head):
                return head
            self._is_skipping = True

    async def _skip_body(self) -> ChannelBroken | None:
        while (part := await self._channel.receive_body()) is not None:
            if isinstance(part, ChannelBroken):
                return part
        self._is_skipping = False
        if self._channel.expect_another():
            return None
        return ChannelBroken(reason="another request's answer")

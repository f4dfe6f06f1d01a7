"""Asks the process at an endpoint's address whether it still runs.

A connection that is accepted proves that a kernel listens: it goes on doing so
while a process hangs at its end. Only an answer is made by the process.
"""

from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

import anyio

from mimosamux_daemon.adapters.http1_channel import Channel, ChannelBroken
from mimosamux_daemon.adapters.http1_channels import Channels
from mimosamux_daemon.adapters.own_answers import OwnAnswers
from mimosamux_daemon.domain.gateway import ListedEndpoint
from mimosamux_daemon.domain.http_messages import (
    AnswerHead,
    RequestHead,
    find_value,
)
from mimosamux_daemon.ports.endpoint_calls import ProcessState

MAX_BODY_BYTES = 1024 * 1024


@dataclass(frozen=True, kw_only=True, slots=True)
class ProcessQuestion:
    """A question to the process at an address."""

    channels: Channels
    endpoint: ListedEndpoint
    path: str
    """Path that the process answers in any state, without an effect."""
    expected_id_header: bytes
    """Header of the question that names the endpoint that it is for."""
    id_header: bytes
    """Header of an answer that names the endpoint that has made it."""
    request_id_header: bytes
    """Header that only answers to other requests have."""
    find_incarnation: Callable[[AnswerHead, bytes], int | None]
    """Returns the incarnation that an answer tells, 0: none, None: it is not
    known to be the endpoint's."""

    async def ask(self, *, on_new_connection: bool) -> ProcessState:
        """Ask once, and wait for the answer.

        A kept connection may have fallen silent without a reset; a new one
        may be reset where the endpoint has as many as it takes.
        """
        channels = self.channels
        connect = channels.open if on_new_connection else channels.take
        channel = await connect(self.endpoint.address)
        if isinstance(channel, ChannelBroken):
            return (
                ProcessState.ENDED
                if channel.is_refused
                else ProcessState.UNKNOWN
            )
        is_complete = False
        try:
            state = await self._exchange(channel)
            is_complete = state is not ProcessState.UNKNOWN
        finally:
            if is_complete:
                await channels.give_back_probe(channel)
            else:
                with anyio.CancelScope(shield=True):
                    await channel.close()
        return state

    async def _exchange(self, channel: Channel) -> ProcessState:
        if await channel.send(self._render_head(), b'') is not None:
            return ProcessState.UNKNOWN
        answers = OwnAnswers(channel=channel, is_own=self._is_own)
        head = await answers.receive_head()
        if isinstance(head, ChannelBroken):
            return ProcessState.UNKNOWN
        body = await channel.receive_whole_body(MAX_BODY_BYTES)
        if isinstance(body, ChannelBroken):
            return ProcessState.UNKNOWN
        return self._judge(head, body)

    def _render_head(self) -> RequestHead:
        return RequestHead(
            method=b'GET',
            target=self.path.encode(),
            headers=(
                (b'Host', self.endpoint.address.encode()),
                (self.expected_id_header, self.endpoint.id.encode('latin-1')),
            ),
        )

    def _is_own(self, head: AnswerHead) -> bool:
        return find_value(head.headers, self.request_id_header) is None

    def _judge(self, head: AnswerHead, body: bytes) -> ProcessState:
        """Return what an answer says of the listed process.

        Whatever else holds its listener may answer as well, with an error.
        """
        id_ = find_value(head.headers, self.id_header)
        is_other = id_ not in (None, self.endpoint.id.encode('latin-1'))
        if is_other or head.status == HTTPStatus.MISDIRECTED_REQUEST:
            return ProcessState.REPLACED
        incarnation = self.find_incarnation(head, body)
        if incarnation is None:
            return ProcessState.UNIDENTIFIED
        listed = self.endpoint.incarnation
        if 0 in (incarnation, listed) or incarnation == listed:
            return ProcessState.RUNNING
        return ProcessState.REPLACED

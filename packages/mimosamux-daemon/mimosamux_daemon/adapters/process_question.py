"""Asks the process at an endpoint's address whether it still runs.

A connection that is accepted proves that a kernel listens: it goes on doing so
while a process hangs at its end. Only an answer is made by the process.
"""

from collections.abc import Callable
from dataclasses import dataclass

import anyio

from mimosamux_daemon.adapters.http1_channel import Channel, ChannelBroken
from mimosamux_daemon.adapters.http1_channels import Channels
from mimosamux_daemon.adapters.own_answers import OwnAnswers
from mimosamux_daemon.domain.http_messages import AnswerHead, RequestHead
from mimosamux_daemon.ports.endpoint_calls import ProcessState

MAX_BODY_BYTES = 1024 * 1024


@dataclass(frozen=True, kw_only=True, slots=True)
class ProcessQuestion:
    """A question to the process at an address."""

    channels: Channels
    address: str
    head: RequestHead
    """A request that any state of the process lets it answer, and that has no
    effect."""
    is_own: Callable[[AnswerHead], bool]
    """Whether an answer is to this question."""
    judge: Callable[[AnswerHead, bytes], ProcessState]
    """Tells what an answer with this body says of the process."""

    async def ask(self, *, on_new_connection: bool) -> ProcessState:
        """Ask once, and wait for the answer.

        A kept connection may have fallen silent without a reset; a new one
        may be reset where the endpoint has as many as it takes.
        """
        channels = self.channels
        connect = channels.open if on_new_connection else channels.take
        channel = await connect(self.address)
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
        if await channel.send(self.head, b'') is not None:
            return ProcessState.UNKNOWN
        answers = OwnAnswers(channel=channel, is_own=self.is_own)
        head = await answers.receive_head()
        if isinstance(head, ChannelBroken):
            return ProcessState.UNKNOWN
        body = await channel.receive_whole_body(MAX_BODY_BYTES)
        if isinstance(body, ChannelBroken):
            return ProcessState.UNKNOWN
        return self.judge(head, body)

"""Sends requests to endpoints over pooled connections."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Protocol

import anyio

from mimosamux_daemon.adapters.http1_channel import Channel, ChannelBroken
from mimosamux_daemon.adapters.http1_channels import Channels
from mimosamux_daemon.domain.http_messages import RequestHead
from mimosamux_daemon.ports.endpoint_calls import (
    CallBroken,
    CallerGoneBeforeSend,
    EndpointCall,
    NotSent,
    SendResult,
    SentRequest,
)


class SentOnChannel(SentRequest, Protocol):
    """A request that was sent on a connection of its own."""

    @property
    def is_complete(self) -> bool:
        """Whether its answer was received to the end."""


@asynccontextmanager
async def send_call(
    channels: Channels,
    call: EndpointCall,
    *,
    render_head: Callable[[EndpointCall], RequestHead],
    open_answer: Callable[..., SentOnChannel],
) -> AsyncIterator[SendResult]:
    """Send a request; leaving the block early closes the connection."""
    channel = await channels.take(call.endpoint.address)
    if isinstance(channel, ChannelBroken):
        yield NotSent(reason=channel.reason)
        return
    if call.has_caller_left():
        await channels.give_back(channel)
        yield CallerGoneBeforeSend()
        return
    if call.is_endpoint_closed():
        await channels.give_back(channel)
        yield NotSent(reason='the endpoint leaves')
        return
    sent = open_answer(channel=channel)
    head = render_head(call)
    try:
        async with _sending(channel, head, call.request.body) as broken:
            yield sent if broken is None else broken
    finally:
        if sent.is_complete:
            await channels.give_back(channel)
        else:
            with anyio.CancelScope(shield=True):
                await channel.close()


@asynccontextmanager
async def _sending(
    channel: Channel, head: RequestHead, body: bytes
) -> AsyncIterator[CallBroken | None]:
    """Send the first part of a request, and the rest during the block.

    Yields the failure if the first part could not be sent.
    """
    broken = await channel.send(head, body)
    if broken is not None:
        yield CallBroken(reason=broken.reason)
    elif not channel.has_rest:
        yield None
    else:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(channel.send_rest)
            yield None
            tasks.cancel_scope.cancel()

"""Answers that stop before their end, with their connection, at any byte."""

import unittest
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from functools import partial

import anyio
from mimosamux_daemon.adapters.http1_channels import Channels
from mimosamux_daemon.adapters.http_service import HttpServices
from mimosamux_daemon.adapters.tcp_network import TcpNetwork
from mimosamux_daemon.adapters.tunnel_frames import END_FRAME, render_frame
from mimosamux_daemon.adapters.tunnel_network import TunnelNetwork
from mimosamux_daemon.adapters.tunnel_server import TunnelServer
from mimosamux_daemon.domain.gateway import ListedEndpoint
from mimosamux_daemon.ports.models.service import ServiceAnswer
from mimosamux_daemon.ports.run_moves import DepartureReport, MoveUnanswered
from mimosamux_platform.http_calls import PlatformCalls, PlatformReply
from mimosamux_platform.moves import ReplicaMoves

from tests.support.clock import run_paused
from tests.support.memory_network import MemoryNetwork
from tests.test_platform_http import a_call, an_endpoint
from tests.test_reset_connections import TunnelToAnywhere

ENDPOINT, TUNNEL = '10.9.0.1:80', '10.1.0.1:7500'
BODY = b'{"kvHandle":"h","leaves_ms":9}'
LINE = b'HTTP/1.1 200 OK\r\n'
LENGTH = b'Content-Length: %d\r\n\r\n' % len(BODY)
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
CHUNKS = b'10\r\n%b\r\ne\r\n%b\r\n0\r\n' % (BODY[:16], BODY[16:])
HINTS = b'HTTP/1.1 103 Hints\r\nA: b\r\n\r\n'
LISTED = ListedEndpoint(
    id='i-1', service='llm', address=ENDPOINT, data_centre='north', slots=8
)


@dataclass(frozen=True, kw_only=True)
class Answer:
    """The bytes of an answer, and how many show that it is not whole."""

    data: bytes
    telling: int
    is_framed: bool


def bare(head):
    """Return a head whose lines end without a carriage return."""
    return head.replace(b'\r\n', b'\n')


def render_answers(*, tells_in_body=False):
    """Return answers by name; the body of some shows itself that it is cut."""
    framed = {
        'length': LINE + LENGTH + BODY,
        'chunks': LINE + CHUNKED + CHUNKS + b'\r\n',
        'trailer': LINE + CHUNKED + CHUNKS + b'Digest: x\r\nA: b\r\n\r\n',
        'bare newlines, length': bare(LINE + LENGTH) + BODY,
        'bare newlines, chunks': bare(LINE + CHUNKED) + CHUNKS + b'\r\n',
        'behind hints': HINTS + LINE + LENGTH + BODY,
    }
    answers = {
        name: Answer(data=data, telling=len(data), is_framed=True)
        for name, data in framed.items()
    }
    for name, head in {
        'no length': LINE + b'A: b\r\n\r\n',
        'no length, bare newlines': bare(LINE + b'A: b\r\n\r\n'),
        'no length, behind hints': HINTS + LINE + b'A: b\r\n\r\n',
    }.items():
        data = head + BODY
        telling = len(data) if tells_in_body else len(head)
        answers[name] = Answer(data=data, telling=telling, is_framed=False)
    return answers


@dataclass(kw_only=True)
class Endpoint:
    """Sends given bytes to each request, and closes behind the last ones."""

    script: list = field(default_factory=list)
    connections: int = 0

    async def serve(self, connection):
        self.connections += 1
        try:
            while self.script:
                received = b''
                while b'\r\n\r\n' not in received:
                    received += await connection.receive()
                data = self.script.pop(0)
                if data:
                    await connection.send(data)
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            pass
        finally:
            await connection.aclose()


@asynccontextmanager
async def open_channels(*, is_tunnelled=False):
    """Give an endpoint in memory and channels to it."""
    memory, endpoint = MemoryNetwork(), Endpoint()
    network = memory.at('10.1.0.2')
    if is_tunnelled:
        network = TunnelNetwork(network=network, connect_timeout_s=1.0)
        network.routes = TunnelToAnywhere(TUNNEL)
    peer = memory.at('10.1.0.1')
    tunnels = TunnelServer(
        network=peer, is_endpoint=bool, note_end=lambda _: None
    )
    listener = await memory.at('10.9.0.1').listen(ENDPOINT)
    tunnel = await peer.listen(TUNNEL)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, endpoint.serve, tasks)
        tasks.start_soon(tunnel.serve, tunnels.serve, tasks)
        await anyio.wait_all_tasks_blocked()
        yield endpoint, Channels(network=network, connect_timeout_s=1.0)
        tasks.cancel_scope.cancel()


@asynccontextmanager
async def open_peer():
    """Give a peer that sends given bytes, and channels through its tunnel."""
    memory, peer = MemoryNetwork(), Endpoint()
    network = TunnelNetwork(
        network=memory.at('10.1.0.2'), connect_timeout_s=1.0
    )
    network.routes = TunnelToAnywhere(TUNNEL)
    listener = await memory.at('10.1.0.1').listen(TUNNEL)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, peer.serve, tasks)
        await anyio.wait_all_tasks_blocked()
        yield peer, Channels(network=network, connect_timeout_s=1.0)
        tasks.cancel_scope.cancel()


@asynccontextmanager
async def open_service():
    """Give an endpoint on loopback, its address and the client of services."""
    endpoint, services = Endpoint(), HttpServices()
    listener = await TcpNetwork().listen('127.0.0.1:0')
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, endpoint.serve, tasks)
        yield endpoint, (listener.address, services)
        await services.close()
        tasks.cancel_scope.cancel()


class TestCutAnswers(unittest.TestCase):
    # Guards against an answer that is called whole before its last byte.

    def check_cuts(
        self, opened, ask, *, run=run_paused, takes_unframed=True, **fields
    ):
        """Cut each answer behind each byte; `ask` says if it seems whole."""

        async def find_whole(answer, uncut):
            cuts = [*range(answer.telling), *uncut]
            async with opened() as (endpoint, client):
                return [
                    cut
                    for cut in cuts
                    if await ask(endpoint, client, answer.data[:cut])
                ]

        for name, answer in render_answers(**fields).items():
            with self.subTest(answer=name):
                may_be_whole = answer.is_framed or takes_unframed
                uncut = [len(answer.data)] if may_be_whole else []
                whole = run(find_whole, answer, uncut)
                self.assertEqual(whole, uncut)

    def check_calls(self, *, is_tunnelled, before=b''):
        """Check calls, or those on connections that have carried an answer."""

        async def ask(endpoint, channels, data):
            connections = endpoint.connections
            endpoint.script = [before, data] if before else [data]
            calls = PlatformCalls(address=ENDPOINT, channels=channels)
            if before:
                await calls.call('GET', '/', timeout_s=5.0)
            reply = await calls.call('GET', '/', timeout_s=5.0)
            self.assertEqual(endpoint.connections, connections + 1)
            return isinstance(reply, PlatformReply)

        opened = partial(open_channels, is_tunnelled=is_tunnelled)
        self.check_cuts(opened, ask)

    def test_answers(self):
        self.check_calls(is_tunnelled=False)

    def test_answers_through_a_tunnel(self):
        self.check_calls(is_tunnelled=True)

    def test_tunnels_that_are_cut_themselves(self):
        """Their own answer, a frame, or the frame that tells of the end."""

        async def find_whole(data, cuts):
            whole = []
            async with open_peer() as (peer, channels):
                calls = PlatformCalls(address=ENDPOINT, channels=channels)
                for cut in cuts:
                    peer.script = [data[:cut]]
                    reply = await calls.call('GET', '/', timeout_s=5.0)
                    if isinstance(reply, PlatformReply):
                        whole.append(cut)
            return whole

        opened = LINE + b'framing: length-prefixed\r\n\r\n'
        for name, needed in (('trailer', b''), ('no length', END_FRAME)):
            answer = render_answers()[name].data
            frames = render_frame(answer[:30]) + render_frame(answer[30:])
            sizes = range(len(opened + frames + END_FRAME) + 1)
            with self.subTest(answer=name):
                data = opened + frames + END_FRAME
                whole = run_paused(find_whole, data, sizes)
                first = len(opened + frames + needed)
                self.assertEqual(whole, [*sizes][first:])

    def test_answers_on_a_connection_that_is_used_again(self):
        before = render_answers()['trailer'].data
        for is_tunnelled in (False, True):
            with self.subTest(is_tunnelled=is_tunnelled):
                self.check_calls(is_tunnelled=is_tunnelled, before=before)

    def test_answers_to_a_report(self):
        async def ask(endpoint, channels, data):
            endpoint.script = [data]
            moves = ReplicaMoves(channels=channels)
            report = await moves.fetch_departure(LISTED)
            return isinstance(report, DepartureReport)

        self.check_cuts(open_channels, ask, tells_in_body=True)

    def test_answers_to_a_move(self):
        """One that does not arrive leaves open whether the run stopped."""

        async def ask(endpoint, channels, data):
            endpoint.script = [data]
            moves = ReplicaMoves(channels=channels)
            moved = await moves.move(LISTED, LISTED, 'r', timeout_s=5.0)
            return not isinstance(moved, MoveUnanswered)

        self.check_cuts(open_channels, ask, tells_in_body=True)

    def check_services(self, *, before=b''):
        """Check calls of a plain service, or later ones on a connection."""
        call = a_call()
        repeatable = replace(call.work_class, repeatable=bool(before))
        call = replace(call, work_class=repeatable)

        async def ask(endpoint, client, data):
            connections = endpoint.connections
            endpoint.script = [before, data] if before else [data]
            address, services = client
            called = an_endpoint(address)
            if before:
                await services.call(called, call)
            answer = await services.call(called, call)
            self.assertEqual(endpoint.connections, connections + 1)
            return isinstance(answer, ServiceAnswer)

        self.check_cuts(open_service, ask, run=anyio.run, takes_unframed=False)

    def test_answers_of_a_plain_service(self):
        self.check_services()

    def test_answers_of_a_plain_service_that_has_answered_before(self):
        self.check_services(before=render_answers()['length'].data)


if __name__ == '__main__':
    unittest.main()

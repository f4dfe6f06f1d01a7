"""Links between daemons on real sockets, and what breaks them."""

import contextlib
import pathlib
import tempfile
import unittest

import anyio
import anyio.lowlevel
import mimosamux_wire as wire
import trustme
from mimosamux_daemon.adapters import thrift_links
from mimosamux_daemon.adapters.link_security import (
    LinkSecurity,
    Side,
    open_link,
)
from mimosamux_daemon.adapters.thrift_peers import ThriftPeers
from mimosamux_daemon.link_settings import build_link_security
from mimosamux_daemon.metrics import Metrics
from mimosamux_daemon.ports import PeerUnavailable
from mimosamux_daemon.settings import TLSFiles, parse_settings

from tests.support.examples import EMBEDDED_SETTINGS

SECRET = LinkSecurity(secret=b'a shared secret')


@contextlib.contextmanager
def certificates():
    """Give the security of a member and of a stranger to its authority."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        ours, others = trustme.CA(), trustme.CA()
        authority = folder / 'authority.pem'
        ours.cert_pem.write_to_path(authority)
        yield tuple(
            LinkSecurity(tls=issue_files(issuer, folder / holder, authority))
            for holder, issuer in (('member', ours), ('stranger', others))
        )


def issue_files(issuer, base, authority):
    issued = issuer.issue_cert('127.0.0.1')
    files = TLSFiles(
        certificate=base.with_suffix('.pem'),
        key=base.with_suffix('.key'),
        authority=authority,
    )
    issued.cert_chain_pems[0].write_to_path(files.certificate)
    issued.private_key_pem.write_to_path(files.key)
    return files


async def answer_state(sender, message):
    return wire.ConfigurationState(version=message.after + 1)


def make_peers(name, *, security=SECRET, port=0):
    return ThriftPeers(
        daemon=name,
        host='127.0.0.1',
        port=port,
        security=security,
        metrics=Metrics(),
    )


@contextlib.asynccontextmanager
async def running(*all_peers):
    async with anyio.create_task_group() as tasks:
        for peers in all_peers:
            tasks.start_soon(peers.run)
            await peers.listening.wait()
        for peers in all_peers:
            for other in all_peers:
                peers.set_address(other._daemon, other.address)
        yield tasks
        tasks.cancel_scope.cancel()


class Recorder:
    """Stands between two daemons and keeps what the first one sends."""

    def __init__(self, address):
        self.address = address
        self.data = b''

    async def serve(self, stream):
        host, port = self.address.split(':')
        async with (
            stream,
            await anyio.connect_tcp(host, int(port)) as onward,
            anyio.create_task_group() as tasks,
        ):
            tasks.start_soon(self.copy, onward, stream, False)
            await self.copy(stream, onward, True)
            tasks.cancel_scope.cancel()

    async def copy(self, source, sink, is_kept):
        with contextlib.suppress(
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            while True:
                chunk = await source.receive()
                if is_kept:
                    self.data += chunk
                await sink.send(chunk)


class TestThriftPeers(unittest.TestCase):
    # Guards against a row among those of the daemons that ends all of them.
    def test_peer_at_an_address_that_cannot_be_ends_no_daemon(self):
        async def check():
            one, two = make_peers('one'), make_peers('two')
            two.handle(wire.ConfigurationFetch, answer_state)
            async with running(one, two):
                for port in ('99999', '²', '9' * 5000):
                    one.set_address(port, f'127.0.0.1:{port}')
                    answer = await one.call(
                        port, wire.ConfigurationFetch(), timeout_s=0.05
                    )
                    self.assertIsInstance(answer, PeerUnavailable)
                return await one.call('two', wire.ConfigurationFetch(after=7))

        self.assertEqual(anyio.run(check), wire.ConfigurationState(version=8))

    def test_call_and_notice_reach_the_peer(self):
        async def check():
            one, two = make_peers('one'), make_peers('two')
            noticed = anyio.Event()

            async def notice(sender, message):
                self.assertEqual((sender, message.incarnation), ('one', 5))
                noticed.set()

            two.handle(wire.ConfigurationFetch, answer_state)
            two.handle(wire.Superseded, notice)
            async with running(one, two):
                answer = await one.call(
                    'two', wire.ConfigurationFetch(after=7)
                )
                self.assertEqual(answer, wire.ConfigurationState(version=8))
                await one.notify('two', wire.Superseded(incarnation=5))
                await noticed.wait()

        anyio.run(check)

    def test_unknown_message_is_rejected_and_the_link_lives(self):
        """A newer daemon asks what an older one does not know.

        That happens during a rolling replacement. It gets a refusal,
        and the next call works.
        """

        async def check():
            one, two = make_peers('one'), make_peers('two')
            two.handle(wire.ConfigurationFetch, answer_state)
            async with running(one, two):
                answer = await one.call('two', wire.MembersFetch())
                self.assertIsInstance(answer, PeerUnavailable)
                self.assertIn('rejected', answer.reason)
                answer = await one.call('two', wire.ConfigurationFetch())
                self.assertIsInstance(answer, wire.ConfigurationState)

        anyio.run(check)

    def test_wrong_secret_and_wrong_name_get_no_link(self):
        """A process without the secret, or of another name, gets no link.

        Such a one may answer at an address where a daemon was before.
        """

        async def check():
            stranger = make_peers('one', security=LinkSecurity(secret=b'x'))
            two, three = make_peers('two'), make_peers('three')
            for peers in (two, three):
                peers.handle(wire.ConfigurationFetch, answer_state)
            async with running(stranger, two, three):
                fetch = wire.ConfigurationFetch()
                answer = await stranger.call('two', fetch, timeout_s=0.5)
                self.assertIsInstance(answer, PeerUnavailable)
                three.set_address('two', stranger.address)
                answer = await three.call('two', fetch, timeout_s=0.5)
                self.assertIsInstance(answer, PeerUnavailable)

        anyio.run(check)

    def test_recorded_session_is_useless(self):
        """Someone records a whole session and sends it again.

        The order in it must not be carried out a second time.
        """

        async def check():
            one, two = make_peers('one'), make_peers('two')
            orders = []

            async def take(sender, message):
                orders.append(message)
                return wire.Acknowledged()

            two.handle(wire.Superseded, take)
            async with running(one, two) as tasks:
                recorder = Recorder(two.address)
                listener = await anyio.create_tcp_listener(
                    local_host='127.0.0.1'
                )
                tasks.start_soon(listener.serve, recorder.serve)
                port = listener.extra(anyio.abc.SocketAttribute.local_port)
                one.set_address('two', f'127.0.0.1:{port}')
                await one.call('two', wire.Superseded(incarnation=1))
                self.assertEqual(len(orders), 1)
                host, port = two.address.split(':')
                async with await anyio.connect_tcp(host, int(port)) as stream:
                    await stream.send(recorder.data)
                    with contextlib.suppress(
                        anyio.EndOfStream, anyio.BrokenResourceError
                    ):
                        while True:
                            await stream.receive()
                self.assertEqual(len(orders), 1)

        anyio.run(check)

    def test_garbage_ends_one_link_and_not_the_daemon(self):
        """Something that is no daemon connects to the port and talks.

        The daemon hangs up on it and goes on serving its peers.
        """

        async def check():
            one, two = make_peers('one'), make_peers('two')
            two.handle(wire.ConfigurationFetch, answer_state)
            async with running(one, two):
                host, port = two.address.split(':')
                async with await anyio.connect_tcp(host, int(port)) as stream:
                    await stream.send(b'GET / HTTP/1.1\r\n\r\n')
                    with self.assertRaises(
                        (anyio.EndOfStream, anyio.BrokenResourceError)
                    ):
                        while True:
                            await stream.receive()
                answer = await one.call('two', wire.ConfigurationFetch())
                self.assertIsInstance(answer, wire.ConfigurationState)

        anyio.run(check)

    def test_peer_that_hangs_holds_no_memory(self):
        """A peer reads nothing, as one on a frozen VM does.

        Messages to it are refused at the bound.
        """

        async def check():
            one, two = make_peers('one'), make_peers('two')
            async with running(one):
                one.set_address('two', '127.0.0.1:9')
                link = one._link_to('two')
                big = wire.CommittedVersion(row=b'x' * 1_000_000)
                taken = [link.notify(big) for _ in range(20)]
                self.assertEqual(taken.count(True), 8)
                self.assertLessEqual(
                    link._queued_bytes, thrift_links.QUEUE_BYTES
                )
            self.assertIsNotNone(two)

        anyio.run(check)

    def test_peer_that_asks_and_does_not_read_is_hung_up_on(self):
        """A peer sends forty calls and reads none of the large answers.

        Holding them all would fill the memory of a small VM, so the link
        ends once eight megabytes wait.
        """

        async def check():
            two = make_peers('two')

            async def answer_large(sender, message):
                return wire.ConfigurationState(snapshot=b'x' * 1_000_000)

            two.handle(wire.ConfigurationFetch, answer_large)
            async with running(two):
                host, port = two.address.split(':')
                stream = await anyio.connect_tcp(host, int(port))
                link = await open_link(
                    stream, me='one', side=Side.INITIATOR, security=SECRET
                )
                payload = wire.encode(
                    wire.ConfigurationFetch(), wire.EnvelopeType.CALL, 1
                )
                await stream.send(
                    b''.join(link.writer.seal(payload) for _ in range(40))
                )
                answers = 0
                while answers < 40 and isinstance(
                    await link.reader.receive(), bytes
                ):
                    answers += 1
                self.assertLess(answers, 10)
                await stream.aclose()

        anyio.run(check)

    def test_link_comes_back_after_the_peer_was_replaced(self):
        """The peer's VM is replaced; its successor listens elsewhere.

        Calls go there as soon as the address is known.
        """

        async def check():
            one = make_peers('one')
            async with running(one):
                for _ in range(2):
                    two = make_peers('two')
                    two.handle(wire.ConfigurationFetch, answer_state)
                    async with running(two):
                        one.set_address('two', two.address)
                        answer = await one.call(
                            'two', wire.ConfigurationFetch(after=1)
                        )
                        self.assertEqual(
                            answer, wire.ConfigurationState(version=2)
                        )

        anyio.run(check)

    def test_peer_forgotten_before_its_link_starts_harms_nothing(self):
        """A peer is forgotten in the moment in which it is first called.

        The link's task then finds no address; the daemon must live on.
        """

        async def check():
            one, two = make_peers('one'), make_peers('two')
            two.handle(wire.ConfigurationFetch, answer_state)
            async with running(one, two):
                await one.notify('two', wire.Superseded())
                one.forget('two')
                await anyio.lowlevel.checkpoint()
                one.set_address('two', two.address)
                answer = await one.call('two', wire.ConfigurationFetch())
                self.assertIsInstance(answer, wire.ConfigurationState)

        anyio.run(check)

    def test_tls_needs_a_certificate_of_the_authority(self):
        """A peer brings a certificate that the authority did not sign.

        It gets no link, and those with the right certificate do.
        """

        async def check(member, other):
            one = make_peers('one', security=member)
            two = make_peers('two', security=member)
            stranger = make_peers('three', security=other)
            two.handle(wire.ConfigurationFetch, answer_state)
            async with running(one, two, stranger):
                fetch = wire.ConfigurationFetch(after=1)
                answer = await one.call('two', fetch)
                self.assertEqual(answer, wire.ConfigurationState(version=2))
                answer = await stranger.call('two', fetch, timeout_s=0.5)
                self.assertIsInstance(answer, PeerUnavailable)

        with certificates() as pair:
            anyio.run(check, *pair)


class TestSecurity(unittest.TestCase):
    def test_a_lone_daemon_without_a_secret_takes_nobody_in(self):
        """No secret is set, as there are no peers.

        With an empty one, any process on the network could send this
        daemon a configuration.
        """
        lone = build_link_security(parse_settings(EMBEDDED_SETTINGS))

        async def check():
            one = make_peers('one', security=lone)
            stranger = make_peers('two', security=LinkSecurity(secret=b''))
            one.handle(wire.ConfigurationFetch, answer_state)
            async with running(one, stranger):
                fetch = wire.ConfigurationFetch(after=1)
                answer = await stranger.call('one', fetch, timeout_s=0.5)
                self.assertIsInstance(answer, PeerUnavailable)

        anyio.run(check)

"""Wrong input from the platform's side: a value, never an end."""

import base64
import unittest
from unittest.mock import AsyncMock

import anyio
import orjson
from hypothesis import given, settings
from hypothesis import strategies as st
from mimosamux_daemon.adapters.http1_channels import Channels
from mimosamux_daemon.adapters.http1_exchange import IncomingRequest
from mimosamux_daemon.domain.gateway import (
    GatewayRequest,
    ListedEndpoint,
    PromptPart,
)
from mimosamux_daemon.domain.http_messages import RequestHead
from mimosamux_daemon.domain.names import (
    DataCentreName,
    EndpointId,
    ServiceName,
)
from mimosamux_daemon.domain.routes import GatewayConfiguration
from mimosamux_daemon.domain.store import Unavailable
from mimosamux_daemon.errors import InvalidConfiguration
from mimosamux_daemon.ports.endpoint_calls import (
    CallBroken,
    EndpointCall,
    NotSent,
    RequestRejected,
    UnreadableLimit,
)
from mimosamux_daemon.ports.feeds import FeedNews, HistoryLost, Unreadable
from mimosamux_daemon.ports.run_moves import MoveUnanswered, RunMoved
from mimosamux_platform.discovery import DiscoveryHandler
from mimosamux_platform.documents import parse_configuration, parse_endpoint
from mimosamux_platform.http_calls import PlatformCalls
from mimosamux_platform.moves import ReplicaMoves
from mimosamux_platform.replicas import ReplicaCalls
from mimosamux_platform.request_handler import parse_request
from mimosamux_platform.store import StoreFeed
from mimosamux_standins.site import StandInReplica

from tests.support.clock import run_paused
from tests.support.memory_network import MemoryNetwork
from tests.support.platform_site import default_document

ADDRESS = '10.0.0.1:80'
OWN_ID = 'req-1'
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


def render(fields):
    return orjson.dumps(fields)


async def answer_with(data, use, *, is_reset=False):
    """Serve fixed bytes to whoever connects, and run `use`."""
    network = MemoryNetwork()

    async def serve(connection):
        await connection.receive()
        for start in range(0, len(data), 7):
            await connection.send(data[start : start + 7])
        if is_reset:
            connection.other.reset()
        await connection.aclose()

    async with anyio.create_task_group() as tasks:
        listener = await network.at('10.0.0.1').listen(ADDRESS)
        tasks.start_soon(listener.serve, serve, tasks)
        await anyio.sleep(0.01)
        channels = Channels(
            network=network.at('10.0.0.9'), connect_timeout_s=1.0
        )
        result = await use(channels)
        tasks.cancel_scope.cancel()
        return result


def endpoint_call(*, is_endpoint_closed=False):
    return EndpointCall(
        has_caller_left=lambda: False,
        is_endpoint_closed=lambda: is_endpoint_closed,
        request=GatewayRequest(
            id=OWN_ID,
            head=RequestHead(
                method=b'POST',
                target=b'/slip/1',
                headers=((b'Host', b'x'), (b'X-Attempt-Id', b'req-1')),
            ),
            body=b'slip',
            host='x',
            received_at=0.0,
        ),
        endpoint=ListedEndpoint(
            id=EndpointId('i-1'),
            service=ServiceName('app'),
            address=ADDRESS,
            data_centre=DataCentreName('north'),
            slots=1,
        ),
        timeout_s=2.0,
    )


async def call_replica(channels):
    """Return what a call came to, its body, and whether it is kept."""
    calls = ReplicaCalls(channels=channels)
    body = b''
    async with calls.send(endpoint_call()) as sent:
        if isinstance(sent, NotSent | CallBroken):
            return type(sent), b'', False
        answer = await sent.answer()
        if isinstance(answer, RequestRejected | CallBroken):
            return type(answer), b'', False
        while True:
            part = await answer.receive()
            if part is None:
                break
            if isinstance(part, CallBroken):
                return CallBroken, body, False
            body += part
    kept = bool(channels._idle_by_address.get(ADDRESS))
    return answer.status, body, kept


def ask_replica(data, **fields):
    return run_paused(lambda: answer_with(data, call_replica, **fields))


def ask_words(data):
    async def read_words(channels):
        async with ReplicaCalls(channels=channels).send(
            endpoint_call()
        ) as sent:
            answer = await sent.answer()
            return answer.is_leaving, answer.retry_after_s

    return run_paused(lambda: answer_with(data, read_words))


def answer_bytes(id_=OWN_ID, body=b'hello', extra=b''):
    return (
        b'HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\nContent-Length: %d\r\n\r\n'
        b'%b%b' % (id_.encode(), len(body), body, extra)
    )


class TestReplicaAnswers(unittest.TestCase):
    def test_whole_answer_comes_as_it_was_sent(self):
        status, body, _ = ask_replica(answer_bytes())
        self.assertEqual((status, body), (200, b'hello'))

    def test_answer_that_ends_early_is_broken(self):
        outcome, _, kept = ask_replica(answer_bytes()[:-2])
        self.assertEqual((outcome, kept), (CallBroken, False))

    def test_answer_without_a_length_ends_with_its_connection(self):
        data = b'HTTP/1.1 200 OK\r\nX-Attempt-Id: req-1\r\n\r\nhello'
        status, body, kept = ask_replica(data)
        self.assertEqual((status, body, kept), (200, b'hello', False))

    def test_answer_without_a_length_that_is_reset_is_broken(self):
        data = b'HTTP/1.1 200 OK\r\nX-Attempt-Id: req-1\r\n\r\nhello'
        outcome, _, _ = ask_replica(data, is_reset=True)
        self.assertEqual(outcome, CallBroken)

    def test_bytes_behind_an_answer_end_the_use_of_the_connection(self):
        status, body, kept = ask_replica(answer_bytes(extra=b'HTTP/1.1 200'))
        self.assertEqual((status, body, kept), (200, b'hello', False))

    # Guards against bytes without an id that reach a caller as an answer.
    def test_success_without_an_id_is_no_answer(self):
        stray = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
        self.assertEqual(ask_replica(stray)[0], CallBroken)
        status, body, _ = ask_replica(stray + answer_bytes())
        self.assertEqual((status, body), (200, b'hello'))

    # Guards against a number of an answer that ends the daemon.
    def test_idle_limit_of_any_size_is_read(self):
        for digits in (1, 310, 5000):
            limit = b'Keep-Alive: timeout=' + b'9' * digits
            data = answer_bytes().replace(b'OK\r\n', b'OK\r\n%b\r\n' % limit)
            status, body, _ = ask_replica(data)
            self.assertEqual((status, body), (200, b'hello'))

    def test_late_answer_to_another_request_is_passed_over(self):
        data = answer_bytes('other', b'not yours') + answer_bytes()
        status, body, _ = ask_replica(data)
        self.assertEqual((status, body), (200, b'hello'))

    def test_answer_to_another_request_alone_is_no_answer(self):
        outcome, _, _ = ask_replica(answer_bytes('other', b'not yours'))
        self.assertEqual(outcome, CallBroken)

    def test_only_a_marked_answer_says_that_nothing_was_run(self):
        plain = b'HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n'
        marked = plain.replace(b'Content', b'X-Not-Executed: 1\r\nContent')
        self.assertEqual(ask_replica(plain)[0], 503)
        self.assertEqual(ask_replica(marked)[0], RequestRejected)

    def test_limit_that_a_replica_names_is_read_where_it_holds(self):
        async def read_limit(channels):
            async with ReplicaCalls(channels=channels).send(
                endpoint_call()
            ) as sent:
                return (await sent.answer()).limit_per_s

        for status, value, expected in (
            (200, b'1.7', 1.7),
            (500, b'0', 0.0),
            (503, b'1e300', 1e300),
            (421, b'1.7', None),
            (200, b'-1', UnreadableLimit(text='-1')),
            (200, b'nan', UnreadableLimit(text='nan')),
            (200, b'inf', UnreadableLimit(text='inf')),
            (200, b'many', UnreadableLimit(text='many')),
        ):
            data = (
                b'HTTP/1.1 %d X\r\nX-Attempt-Id: req-1\r\nServer-Limit: %b'
                b'\r\nContent-Length: 0\r\n\r\n' % (status, value)
            )
            with self.subTest(status=status, value=value):
                found = run_paused(
                    lambda data=data: answer_with(data, read_limit)
                )
                self.assertEqual(found, expected)

    def test_replica_that_left_during_the_connect_is_sent_nothing(self):
        async def send(channels):
            call = endpoint_call(is_endpoint_closed=True)
            async with ReplicaCalls(channels=channels).send(call) as sent:
                kept = channels._idle_by_address.get(ADDRESS)
                return type(sent), bool(kept)

        outcome, kept = run_paused(lambda: answer_with(b'', send))
        self.assertEqual((outcome, kept), (NotSent, True))

    def test_words_of_a_replica_are_read_where_they_hold(self):
        for status, header, expected in (
            (503, b'Retry-After: 2.5', (False, 2.5)),
            (503, b'retry-after: 5', (False, 5.0)),
            (503, b'Retry-After: inf', (False, None)),
            (503, b'Retry-After: nan', (False, None)),
            (503, b'Retry-After: -1', (False, None)),
            (
                503,
                b'Retry-After: Fri, 31 Dec 1999 23:59:59 GMT',
                (False, None),
            ),
            (200, b'Retry-After: 5', (False, None)),
            (200, b'Server-Leaving: 1', (True, None)),
            (503, b'Server-Leaving: 1', (True, None)),
            (200, b'Server-Leaving: 0', (False, None)),
            (421, b'Server-Leaving: 1', (False, None)),
        ):
            for marked in (b'', b'X-Not-Executed: 1\r\n'):
                data = (
                    b'HTTP/1.1 %d X\r\nX-Attempt-Id: req-1\r\n%b%b\r\n'
                    b'Content-Length: 0\r\n\r\n' % (status, marked, header)
                )
                with self.subTest(status=status, header=header):
                    self.assertEqual(ask_words(data), expected)

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(st.binary(max_size=200), st.integers(0, 80), st.booleans())
    def test_any_bytes_are_an_answer_or_a_broken_call(
        self, noise, start, is_spoilt
    ):
        """A replica sends bytes that are no answer, or a spoilt one."""
        data = noise
        if is_spoilt:
            whole = answer_bytes()
            data = whole[:start] + noise + whole[start + len(noise) :]
        outcome, _, _ = ask_replica(data)
        self.assertIn(type(outcome), (int, type))


class TestMoveAnswers(unittest.TestCase):
    # Guards against a handle that no request can name, which loses the run.
    def test_handle_that_fits_no_header_names_no_copy(self):
        async def move(channels):
            endpoint = endpoint_call().endpoint
            return await ReplicaMoves(channels=channels).move(
                endpoint, endpoint, OWN_ID, timeout_s=1.0
            )

        for handle in ('', 'a\r\nX: 1', 'a\u20ac', 'a\0', 'a b', 'a' * 9999):
            body = render({'kvHandle': handle})
            data = answer_bytes(body=body)
            with self.subTest(handle=handle[:9]):
                found = run_paused(answer_with, data, move)
                self.assertIsInstance(found, MoveUnanswered)
        found = run_paused(
            answer_with, answer_bytes(body=render({'kvHandle': 'kv-1'})), move
        )
        self.assertEqual(found, RunMoved(kv_source=f'{ADDRESS}/kv-1'))


class TestStoreAnswers(unittest.TestCase):
    def follow(self, data):
        async def use(channels):
            feed = StoreFeed(
                calls=PlatformCalls(address=ADDRESS, channels=channels),
                table='servers',
                parse_item=lambda row, data: parse_endpoint(row.key, data),
                note_time=lambda seconds: seconds,
            )
            return await feed.long_poll(0, wait_s=0.1)

        return run_paused(lambda: answer_with(data, use))

    def follow_json(self, status, fields):
        body = render(fields)
        return self.follow(
            b'HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b'
            % (status, len(body), body)
        )

    def test_lost_history_is_told_apart(self):
        self.assertIsInstance(self.follow_json(410, {}), HistoryLost)

    def test_row_that_cannot_be_read_is_told_as_such(self):
        good = entry_fields()
        rows = [
            {
                'tableName': 'servers',
                'key': key,
                'value': base64.b64encode(value).decode(),
                'rowVersion': 5,
            }
            for key, value in (
                ('i-1', render(good)),
                ('i-2', b'\x00\xff'),
                ('i-3', render([1])),
                ('i-4', render(good | {'address': 'nowhere'})),
            )
        ]
        rows.append({'tableName': 'servers', 'key': 'i-5', 'value': '!!'})
        news = self.follow_json(200, {'rows': rows, 'rowVersion': 9})
        found = {key: type(item) for key, item in news.changes}
        self.assertEqual(found.pop('i-1'), ListedEndpoint)
        self.assertEqual(
            found, dict.fromkeys(('i-2', 'i-3', 'i-4', 'i-5'), Unreadable)
        )
        self.assertEqual(news.cursor, 9)

    @settings(derandomize=True, deadline=None, max_examples=150)
    @given(st.sampled_from([200, 200, 404, 412, 500, 503, 429]), JSON)
    def test_any_answer_is_news_or_a_value(self, status, fields):
        """The store answers something else than its page says."""
        body = render_any(fields)
        found = self.follow(
            b'HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b'
            % (status, len(body), body)
        )
        self.assertIsInstance(found, FeedNews | Unavailable)


def entry_fields():
    return StandInReplica(
        id='i-1',
        service='app',
        address='10.0.0.2:80',
        zone='north',
        born_ms=1_790_000_000_000,
    ).entry()


def render_any(fields):
    try:
        return orjson.dumps(fields)
    except TypeError:
        return repr(fields).encode()


class TestDocuments(unittest.TestCase):
    def test_document_of_the_operator_is_read(self):
        data = render(default_document(is_scaled=True).render())
        configuration = parse_configuration(data)
        route = configuration.find_route('site.example', b'/slip/x/y')
        self.assertEqual((route.timeout_s, route.may_repeat), (3.0, False))

    def test_problem_names_the_field(self):
        document = default_document()
        document.routes[2]['timeoutMs'] = 'soon'
        with self.assertRaises(InvalidConfiguration) as caught:
            parse_configuration(render(document.render()))
        self.assertIn('routes.2.timeoutMs', str(caught.exception))

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(st.data())
    def test_any_change_is_a_configuration_or_a_clear_error(self, data):
        """One field of the operator's document holds something else."""
        document = default_document(is_scaled=True).render()
        target = document
        while True:
            keys = (
                sorted(target)
                if isinstance(target, dict)
                else list(range(len(target)))
            )
            key = data.draw(st.sampled_from(keys))
            value = target[key]
            goes_in = isinstance(value, dict | list) and value
            if not goes_in or data.draw(st.booleans()):
                break
            target = value
        target[key] = data.draw(JSON)
        try:
            found = parse_configuration(render_any(document))
        except InvalidConfiguration as error:
            self.assertTrue(error.path)
        else:
            self.assertIsInstance(found, GatewayConfiguration)

    @settings(derandomize=True, deadline=None, max_examples=150)
    @given(JSON)
    def test_any_entry_is_an_endpoint_or_a_clear_error(self, fields):
        """A replica's entry holds something else."""
        try:
            parse_endpoint('i-1', render_any(fields))
        except InvalidConfiguration as error:
            self.assertTrue(error.path)

    def test_entry_of_a_replica_is_read_whole(self):
        found = parse_endpoint('i-1', render(entry_fields()))
        self.assertEqual(
            (found.id, found.service, found.slots, found.incarnation),
            ('i-1', 'app', 6, 1_790_000_000_000),
        )

    def test_entry_without_its_start_is_read(self):
        fields = entry_fields()
        del fields['born']
        found = parse_endpoint('i-1', render(fields))
        self.assertEqual(found.incarnation, 0)

    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(st.sampled_from(sorted(entry_fields().keys() - {'born'})))
    def test_entry_that_lacks_a_field_is_refused_by_its_name(self, name):
        """Another writer's entry looks like a replica's, less a field.

        Read with a guess in its place, callers' requests would be sent to
        whatever is at its address.
        """
        fields = entry_fields()
        del fields[name]
        with self.assertRaises(InvalidConfiguration) as caught:
            parse_endpoint('i-1', render(fields))
        self.assertIn(name, str(caught.exception))

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.sampled_from(sorted(entry_fields())), JSON)
    def test_entry_with_a_field_of_another_type_is_refused(self, name, value):
        """Another writer's entry has a text where a number belongs."""
        fields = entry_fields()
        if type(value) is type(fields[name]) or (
            name == 'coldRemainingMs' and type(value) is float
        ):
            return
        with self.assertRaises(InvalidConfiguration) as caught:
            parse_endpoint('i-1', render_any(fields | {name: value}))
        self.assertTrue(caught.exception.path)

    def test_entry_with_an_unknown_state_or_address_is_refused(self):
        for name, value in (
            ('state', 'warming'),
            ('state', ''),
            ('service', ''),
            ('address', '10.0.0.2'),
            ('address', '10.0.0.2:0'),
            ('address', '10.0.0.2:65536'),
            ('address', '10.0.0.2:8O'),
            ('address', 'replica.example:80'),
            ('slots', 0),
            ('slots', 10**9),
            ('born', -1),
            ('born', 1e300),
            ('leaves_ms', '5'),
            ('spotInstances', 1),
            ('models', [{'name': 'm'}]),
        ):
            with self.subTest(name=name, value=value):
                fields = entry_fields() | {name: value}
                with self.assertRaises(InvalidConfiguration):
                    parse_endpoint('i-1', render_any(fields))

    def test_entry_whose_key_could_end_a_header_is_refused(self):
        """Another writer's key holds a line break.

        Sent along with a request, it would begin a header of its own.
        """
        for key in ('i-1\r\nX-Tenant: other', 'i 1', 'i-\u0101', ''):
            with (
                self.subTest(key=key),
                self.assertRaises(InvalidConfiguration),
            ):
                parse_endpoint(key, render(entry_fields()))


class TestRequestHeaders(unittest.TestCase):
    def read(self, *headers):
        head = RequestHead(
            method=b'POST',
            target=b'/x',
            headers=((b'Host', b'Site.Example:80'), *headers),
        )
        return parse_request(IncomingRequest(head=head, body=b''), 7.0)

    def test_headers_that_are_the_systems_own_stay_behind(self):
        """A caller sends headers that only the system may set.

        Passed on, they could claim another account or another's memory.
        """
        request = self.read(
            (b'x-tenant', b'other'),
            (b'X-TENANT', b'again'),
            (b'Kv-From', b'10.0.0.1:1/h'),
            (b'X-Kv-Backup', b'10.0.0.1:1'),
            (b'X-Cache-Retention', b'r'),
            (b'X-Cache-Pin-Ms', b'9'),
            (b'X-Expected-Replica', b'i-1'),
            (b'X-Request-Priority', b'0'),
            (b'X-Key', b'secret'),
            (b'Connection', b'X-Mine, close'),
            (b'X-Mine', b'1'),
            (b'X-Yours', b'2'),
        )
        self.assertEqual(
            request.head.headers,
            ((b'Host', b'Site.Example:80'), (b'X-Yours', b'2')),
        )
        self.assertEqual(
            (request.host, request.key), ('site.example', 'secret')
        )

    # Guards against a caller's number that ends its connection unanswered.
    def test_parts_whose_tokens_are_no_number_are_left_out(self):
        for tokens in (b'\xb2', b'', b'-1', b'9' * 400, b'9' * 5000):
            with self.subTest(tokens=tokens[:9]):
                request = self.read(
                    (b'X-Model', b'm'),
                    (b'X-Prompt-Prefix', b'a:' + tokens + b', b:3'),
                )
                self.assertEqual(
                    request.prompt.parts, (PromptPart(id='b', tokens=3),)
                )

    def test_two_keys_are_no_key(self):
        request = self.read((b'X-Key', b'a'), (b'x-key', b'b'))
        self.assertIsNone(request.key)

    @settings(derandomize=True, deadline=None, max_examples=150)
    @given(
        st.binary(max_size=40), st.binary(max_size=40), st.binary(max_size=40)
    )
    def test_any_values_are_read_or_left_out(self, tokens, parts, patience):
        request = self.read(
            (b'X-Model', b'm'),
            (b'X-Token-Usage', tokens),
            (b'X-Prompt-Prefix', parts),
            (b'X-Deadline-Ms', patience),
        )
        self.assertGreaterEqual(request.prompt.tokens, 0)
        if request.caller_timeout_s is not None:
            self.assertGreaterEqual(request.caller_timeout_s, 0)


class TestDiscoveryRequests(unittest.TestCase):
    # Guards against a target that ends the connection unanswered.
    def test_any_target_is_answered(self):
        async def ask(target):
            reply = AsyncMock()
            await DiscoveryHandler(
                is_ready=lambda: True,
                addresses=lambda region, zone: ['10.0.0.1:80'],
                ttl_s=5.0,
            ).handle(
                IncomingRequest(
                    head=RequestHead(method=b'GET', target=target, headers=()),
                    body=b'',
                ),
                reply,
            )
            return reply.answer.await_args.args[0]

        for target, status in (
            (b'//[', 404),
            (b'//[::1/api/resolution?region=land', 404),
            (b'//\xe2\x84\x80/', 404),
            (b'/api/resolution?region=[&zone=%ff', 200),
            (b'/api/resolution', 200),
            (b'/api/readyz?', 200),
        ):
            with self.subTest(target=target):
                self.assertEqual(run_paused(ask, target), status)

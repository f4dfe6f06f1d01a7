"""The HTTP port to model engines, against the stand-in program."""

import unittest
from contextlib import aclosing, asynccontextmanager
from dataclasses import replace

import anyio
import httpx
from hypothesis import given, settings
from hypothesis import strategies as st
from mimosamux_daemon.adapters.http_engine import (
    HttpEngines,
)
from mimosamux_daemon.adapters.http_engine_streams import HttpEngineStream
from mimosamux_daemon.adapters.http_server import listen, serve_http
from mimosamux_daemon.adapters.memory_engine import (
    EngineSpeed,
    FaultKind,
    expected_token,
)
from mimosamux_daemon.domain.engine import (
    CacheEvent,
    ConnectFailed,
    EngineCall,
    EngineOrder,
    EngineRefused,
    KvExport,
    KvImported,
    KvUnavailable,
    LoadReport,
    OrderDone,
    OrderRefused,
    OrderUnanswered,
    StreamBroken,
    StreamEnd,
    TokenFrame,
)
from mimosamux_daemon.pace import Pace
from mimosamux_standins.engine import build_program

from tests.support.clock import run_paused
from tests.support.serving import (
    MODEL,
    is_whole,
    make_endpoint,
    open_site,
)

CALL = EngineCall(
    request='r1', attempt=3, model=MODEL, prompt='plan a trip', max_tokens=9
)


@asynccontextmanager
async def open_engines(count=1, **fields):
    """Serve stand-ins on loopback; yield the port and the programs."""
    programs = []
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        for number in range(count):
            listener = listen('127.0.0.1', 0)
            program = build_program(
                identity=f'e{number}',
                address=f'127.0.0.1:{listener.getsockname()[1]}',
                speed=EngineSpeed(decode_interval_s=0.001),
                **fields,
            )
            programs.append(program)
            tasks.start_soon(serve, program, listener, stop)
        async with aclosing(HttpEngines()) as port:
            yield port, [program.engine for program in programs]
        stop.set()


async def serve(program, listener, stop):
    await serve_http(
        program.build_app(), listener, shutdown=stop.wait, grace_s=0.1
    )


async def read_all(port, endpoint, call=CALL):
    """Return every event of an attempt, the last one included."""
    events = []
    async with port.generate(endpoint, call) as stream:
        if not isinstance(stream, HttpEngineStream):
            return [stream]
        while True:
            event = await stream.receive()
            events.append(event)
            if not isinstance(event, TokenFrame):
                return events


class TestHttpEngine(unittest.TestCase):
    def test_answer_comes_whole_and_goes_on_from_an_offset(self):
        async def check():
            async with open_engines() as (port, (engine,)):
                for start in (0, 4):
                    so_far = tuple(
                        expected_token(CALL.prompt, offset)
                        for offset in range(start)
                    )
                    call = replace(CALL, answer_so_far=so_far)
                    *frames, end = await read_all(port, engine.endpoint, call)
                    tokens = [*so_far]
                    for frame in frames:
                        self.assertEqual(frame.offset, len(tokens))
                        tokens.extend(frame.tokens)
                    self.assertIsInstance(end, StreamEnd)
                    self.assertEqual(end.total, 9)
                    self.assertEqual(
                        tokens,
                        [expected_token(CALL.prompt, o) for o in range(9)],
                    )

        anyio.run(check)

    def test_failed_connect_is_told_apart_from_a_break(self):
        """Only a connect that failed is sure to have run nothing.

        A call that may not be repeated would run twice if a break were
        taken for it.
        """

        async def check():
            async with open_engines() as (port, (engine,)):
                engine.inject(FaultKind.TRUNCATED)
                *_, last = await read_all(port, engine.endpoint)
                self.assertIsInstance(last, StreamBroken)
                engine.inject(FaultKind.REFUSED)
                (refused,) = await read_all(port, engine.endpoint)
                self.assertEqual(
                    refused, EngineRefused(reason='busy', retry_after_s=1.0)
                )
            listener = listen('127.0.0.1', 0)
            closed = make_endpoint(1)
            closed = replace(
                closed, address=f'127.0.0.1:{listener.getsockname()[1]}'
            )
            listener.close()
            async with aclosing(HttpEngines()) as port:
                (failed,) = await read_all(port, closed)
                self.assertIsInstance(failed, ConnectFailed)
                async with port.watch(closed) as watched:
                    self.assertIsInstance(watched, ConnectFailed)
                order = EngineOrder(
                    id='o',
                    endpoint=closed.id,
                    action='load',
                    argument='m',
                    fencing=1,
                )
                self.assertIsInstance(
                    await port.order(closed, order), OrderUnanswered
                )

        anyio.run(check)

    def test_address_that_is_none_is_a_failed_connect(self):
        """The platform's list shows a VM that has no address yet."""

        async def check():
            async with aclosing(HttpEngines()) as port:
                for address in ('', 'nowhere', '127.0.0.1:port', 'a b:1'):
                    endpoint = replace(make_endpoint(1), address=address)
                    (failed,) = await read_all(port, endpoint)
                    self.assertIsInstance(failed, ConnectFailed, address)
                    async with port.watch(endpoint) as watched:
                        self.assertIsInstance(watched, ConnectFailed)
                    export = await port.export_kv(endpoint, 'r', 1)
                    self.assertIsInstance(export, KvUnavailable)

        anyio.run(check)

    def test_kv_cache_moves_between_two_engines(self):
        async def check():
            async with open_engines(2) as (port, (source, target)):
                call = replace(CALL, max_tokens=5000)
                async with port.generate(source.endpoint, call) as stream:
                    await stream.receive()
                    export = await port.export_kv(source.endpoint, 'r1', 3)
                    self.assertIsInstance(export, KvExport)
                    while not isinstance(await stream.receive(), StreamBroken):
                        pass
                imported = await port.import_kv(
                    target.endpoint, source.endpoint, export
                )
                self.assertEqual(
                    imported,
                    KvImported(handle=export.handle, tokens=export.tokens),
                )
                await read_all(
                    port,
                    target.endpoint,
                    replace(CALL, attempt=4, kv_handle=imported.handle),
                )
                self.assertGreater(target.runs[0].imported_tokens, 0)
                unknown = await port.export_kv(source.endpoint, 'r1', 3)
                self.assertIsInstance(unknown, KvUnavailable)

        anyio.run(check)

    def test_reports_and_orders(self):
        async def check():
            async with open_engines(checks_fencing=True) as (port, (engine,)):
                engine.speed.report_interval_s = 0.01
                engine.speed.report_lag_s = 0.0
                async with port.watch(engine.endpoint) as reports:
                    first = await reports.receive()
                    second = await reports.receive()
                self.assertIsInstance(first, CacheEvent)
                self.assertTrue(first.snapshot)
                self.assertIsInstance(second, LoadReport)
                for fencing, kind in ((7, OrderDone), (6, OrderRefused)):
                    order = EngineOrder(
                        id=f'o{fencing}',
                        endpoint=engine.endpoint.id,
                        action='load',
                        argument='m',
                        fencing=fencing,
                    )
                    result = await port.order(engine.endpoint, order)
                    self.assertIsInstance(result, kind)

        anyio.run(check)


async def in_pieces(pieces):
    for piece in pieces:
        yield piece


class TestServingOverHttp(unittest.TestCase):
    """An engine is reclaimed in the middle of a stream, over sockets."""

    def test_stream_moves_with_its_kv_cache(self):
        async def check():
            async with (
                open_engines(2) as (port, engines),
                open_site(engine_port=lambda _: port) as site,
            ):
                for engine in engines:
                    site.fleet.add(engine.endpoint)
                active = await site.offer('a trip ' * 500, max_tokens=60_000)
                await active.wait_for_tokens(20)
                (leaving,) = [each for each in engines if each.open_runs]
                site.fleet.mark_leaving(leaving.endpoint.id, seconds_left=30)
                while active.attempt == 1:
                    await active.wait_for_tokens(len(active.tokens))
                await active.wait_for_tokens(len(active.tokens) + 20)
                prompt = active.request.prompt
                self.assertEqual(
                    active.tokens,
                    [
                        expected_token(prompt, offset)
                        for offset in range(len(active.tokens))
                    ],
                )
                (other,) = [each for each in engines if each is not leaving]
                self.assertGreater(other.runs[0].imported_tokens, 500)

        anyio.run(check)

    def test_stream_goes_on_when_the_engine_dies(self):
        async def check():
            async with (
                open_engines(2) as (port, engines),
                open_site(engine_port=lambda _: port) as site,
            ):
                for engine in engines:
                    site.fleet.add(engine.endpoint)
                active = await site.offer('a trip', max_tokens=300)
                await active.wait_for_tokens(20)
                (dying,) = [each for each in engines if each.open_runs]
                dying.die()
                await active.wait_ended()
                self.assertTrue(is_whole(active))

        anyio.run(check)


class TestMalformedEvents(unittest.TestCase):
    """An engine of another make, or a faulty one, sends nonsense.

    It must end as a broken attempt, never as an exception, which would
    stop the daemon and every other answer with it.
    """

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(
        st.lists(
            st.one_of(
                st.binary(max_size=40),
                st.sampled_from(
                    [
                        b'data:{"request":"r1","attempt":3,"offset":0,',
                        b'"tokens":["a"]}\n\n',
                        b'data: {"request":"r1","attempt":3,"total":-1}\n\n',
                        b'data:[1,2]\n\n',
                        b': comment\n\n',
                        b'\n\n',
                    ]
                ),
            ),
            max_size=12,
        )
    )
    def test_any_bytes_end_as_a_value(self, pieces):
        async def check():
            stream = HttpEngineStream(
                httpx.Response(200, content=in_pieces(pieces)),
                pace=Pace(),
            )
            while True:
                event = await stream.receive()
                if isinstance(event, StreamBroken):
                    return
                self.assertIsInstance(event, TokenFrame | StreamEnd)

        anyio.run(check, backend='trio')


class TestPace(unittest.TestCase):
    def test_a_paced_stream_keeps_up_with_its_engine(self):
        """A daemon has 250 streams open and spaces out their reads.

        A pause for each token instead of each group of them would let the
        answer fall behind its engine, three times slower than it comes.
        """

        async def check():
            send, receive = anyio.create_memory_object_stream(1000)
            pace = Pace(streams=250)
            stream = HttpEngineStream(
                httpx.Response(200, content=receive), pace=pace
            )
            begun = anyio.current_time()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send_tokens, send, 100, 0.03)
                while isinstance(await stream.receive(), TokenFrame):
                    pass
            self.assertLess(anyio.current_time() - begun, 3.0 + 3 * pace.gap_s)

        run_paused(check)


async def send_tokens(send, count, interval_s):
    async with send:
        for offset in range(count):
            await anyio.sleep(interval_s)
            await send.send(
                b'data:{"request":"r1","attempt":3,'
                b'"offset":%d,"tokens":["a"]}\n\n' % offset
            )

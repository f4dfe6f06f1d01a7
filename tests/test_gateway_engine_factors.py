"""Factors of time of engines that differ, learned by several daemons."""

import heapq
import itertools
import math
import random
import unittest
from dataclasses import replace
from types import SimpleNamespace
from unittest import mock

import anyio
from mimosamux_daemon.domain.gateway import (
    ListedEndpoint,
    PromptInfo,
    PromptPart,
)
from mimosamux_daemon.domain.names import (
    DaemonId,
    DataCentreName,
    EndpointId,
    ServiceName,
)
from mimosamux_daemon.domain.routes import (
    EngineCapabilities,
    Route,
    RouteKind,
    ServiceEntry,
)
from mimosamux_daemon.gateway.attempts import Attempt
from mimosamux_daemon.gateway.balancing import (
    engine_comparison,
    engine_factors,
)
from mimosamux_daemon.gateway.balancing.choice import Choice
from mimosamux_daemon.gateway.balancing.engine_samples import EngineSamples
from mimosamux_daemon.gateway.duties.scaling import Scaling
from mimosamux_daemon.gateway.duties.scaling_plan import ScalingPolicy
from mimosamux_daemon.gateway.exchange.endpoint_usage_exchange import (
    EndpointUsageExchange,
)
from mimosamux_daemon.gateway.roster import Roster
from mimosamux_daemon.gateway.store_health import StoreHealth
from mimosamux_standins.site import ReplicaSpeed
from mimosamux_wire import EndpointUse, EnvelopeType, StateDigest, encode

from tests.support.choosers import make_chooser
from tests.support.clock import run_paused
from tests.support.platform_site import open_site
from tests.test_gateway_streams import engines_of, send_draft
from tests.test_gateway_streams import prompt_of as prompt_of_parts

LLM = ServiceName('llm')
CENTRE = DataCentreName('north')
BORN = 1_790_000_000_000
FACTORS = (0.7, 0.7, 1.7)
STEP_S = 0.0033
STEPS = 41
SERVICE = ServiceEntry(
    name=LLM,
    engine=EngineCapabilities(
        slots=12, cache_tokens=0, bytes_per_token=0, link_mbps=0
    ),
)


def route_of(target_s, name='draft'):
    return Route(
        name=name,
        host='',
        prefix=b'/',
        kind=RouteKind.STREAM,
        splits=(),
        timeout_s=12.0,
        latency_target_s=target_s,
    )


def prompt_of(tokens, prefix='a'):
    parts = (
        PromptPart(id=prefix, tokens=0),
        PromptPart(id='own', tokens=tokens),
    )
    return PromptInfo(prompt_tokens=tokens, parts=parts)


def listed(number, incarnation=BORN):
    return ListedEndpoint(
        id=EndpointId(f'i-{number}'),
        service=LLM,
        address=f'10.9.0.{number}:80',
        data_centre=CENTRE,
        slots=12,
        incarnation=incarnation,
    )


class Time:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


class Daemon:
    """The parts of a daemon that choose, learn and exchange."""

    def __init__(self, name, time, engines, incarnation=1):
        self.peer = SimpleNamespace(
            place=SimpleNamespace(id=DaemonId(name)), incarnation=incarnation
        )
        self.roster = Roster(
            clock=time,
            time_of_day=time,
            health=StoreHealth(clock=time),
        )
        self.chooser = make_chooser(
            self.roster,
            clock=time,
            rng=random.Random(1),
            zone=CENTRE,
            is_relayed=lambda: True,
        )
        self.list(*map(listed, range(engines)))
        self.factors = self.chooser.engine_factors
        self.usage = EndpointUsageExchange(roster=self.roster, clock=time)

    def list(self, *items):
        self.roster.apply([(item.id, item) for item in items])

    def record(self, number):
        return self.roster.by_id[EndpointId(f'i-{number}')]

    def decode(self, number, factor, steps=STEPS):
        self.factors.note_decoding(
            self.record(number),
            'draft',
            steps=steps,
            took_s=steps * STEP_S * factor,
        )

    def digest(self):
        digest = StateDigest()
        self.usage.write(digest)
        self.factors.write(digest)
        return digest

    def hear(self, peer, digest):
        self.usage.take(peer.peer, digest)
        self.factors.take(peer.peer, digest)

    def known(self, engines=3):
        self.factors.refresh()
        return [self.record(n).time_factor for n in range(engines)]


def exchange(daemons):
    for sender in daemons:
        digest = sender.digest()
        for receiver in daemons:
            if receiver is not sender:
                receiver.hear(sender, digest)


class TestEngineFactors(unittest.TestCase):
    def setUp(self):
        self.time, self.rng = Time(), random.Random(7)

    def daemons(self, count, engines=3):
        return [
            Daemon(f'10.1.0.{n}:1', self.time, engines) for n in range(count)
        ]

    def decode_all(self, daemons, factors=FACTORS, rounds=6, noise=0.1):
        for _ in range(rounds):
            for daemon in daemons:
                for number, factor in enumerate(factors):
                    noisy = factor * self.rng.lognormvariate(0, noise)
                    daemon.decode(number, noisy)
            exchange(daemons)
            self.time.now += 1.0

    def test_daemons_with_few_samples_agree_on_the_factors(self):
        """Guards against each daemon knowing only its own few streams."""
        daemons = self.daemons(8)
        self.decode_all(daemons)
        mean = sum(FACTORS) / 3
        for daemon in daemons:
            for known, factor in zip(daemon.known(), FACTORS, strict=True):
                self.assertAlmostEqual(known, factor / mean, delta=0.12)

    def test_mean_factor_is_one(self):
        """Guards against drift of the factors against `EngineSpeed`."""
        daemons = self.daemons(4)
        self.decode_all(daemons, rounds=2000, noise=0.2)
        for daemon in daemons:
            self.assertAlmostEqual(sum(daemon.known()) / 3, 1.0, delta=0.05)

    def test_even_engines_keep_the_factor_one(self):
        """Guards against factors from noise, at any of many comparisons."""
        daemons = self.daemons(4, engines=6)
        for _ in range(600):
            self.decode_all(daemons, (1.0,) * 6, rounds=1, noise=0.3)
            for daemon in daemons:
                self.assertEqual(daemon.known(6), [1.0] * 6)

    def test_few_samples_of_even_engines_show_no_spread(self):
        """Guards against factors from the first noisy samples."""
        found = 0
        for _ in range(2000):
            engines = [EngineSamples() for _ in range(4)]
            for engine in engines * 6:
                engine.add(self.rng.lognormvariate(0, 0.4), 1.0, 0.0)
            found += engine_comparison.have_spread(
                [each.own for each in engines]
            )
        self.assertLessEqual(found, 6)

    def test_estimates_for_even_engines_are_those_of_engine_speed(self):
        """Guards against a change of estimates where engines are alike."""
        daemon = self.daemons(1)[0]
        speed = daemon.chooser.speed_of(LLM)
        for number in range(60):
            tokens = 500 + 100 * number
            choice = daemon.chooser.choose(
                SERVICE, route_of(0.5), prompt_of(tokens)
            )
            expected_s = speed.constant_s + speed.prefill_s(tokens)
            self.assertEqual(choice.first_event_s, expected_s)
            took_s = (0.01 + tokens / 1e5) * self.rng.lognormvariate(0, 0.2)
            before = daemon.chooser.speed_of(LLM)._sums.seconds
            daemon.chooser.note_first_event(choice, took_s)
            weight = min((0.15 / took_s) ** 2, 1.0)
            self.assertEqual(
                speed._sums.seconds, before * 0.99 + weight * took_s
            )
            self.time.now += 1.0

    def test_service_with_short_answers_learns_from_first_events(self):
        """Guards against slow engines that no answer is long enough for."""
        daemon = self.daemons(1)[0]
        for _ in range(400):
            for number, factor in enumerate(FACTORS):
                record = daemon.record(number)
                choice = daemon.chooser._estimate(
                    record, SERVICE, prompt_of(1800), None, self.time.now
                )
                took_s = 0.12 * factor * self.rng.lognormvariate(0, 0.2)
                daemon.chooser.note_first_event(choice, took_s)
                daemon.decode(number, factor, steps=2)
            self.time.now += 0.2
        factors = daemon.known()
        self.assertGreater(factors[2] / factors[0], 1.8)
        # `EngineSpeed` is that of an engine with factor 1, whatever engine
        # is used most.
        for _ in range(100):
            choice = daemon.chooser._estimate(
                daemon.record(2), SERVICE, prompt_of(1800), None, self.time.now
            )
            daemon.chooser.note_first_event(choice, 0.12 * FACTORS[2])
        line_s = [
            daemon.chooser._estimate(
                daemon.record(number), SERVICE, prompt_of(1800), None, 0.0
            ).first_event_s
            for number in range(3)
        ]
        for estimate_s, factor in zip(line_s, FACTORS, strict=True):
            self.assertAlmostEqual(estimate_s, 0.12 * factor, delta=0.02)

    def test_sender_restarts(self):
        """Guards against a new count that is taken for a smaller old one."""
        one, two = self.daemons(2)
        self.decode_all([one, two])
        before = two.record(2).speed_samples.recent(self.time.now).weight
        one = Daemon('10.1.0.0:1', self.time, 3, incarnation=2)
        for _ in range(14):
            one.decode(2, 1.0)
        two.hear(one, one.digest())
        after = two.record(2).speed_samples.recent(self.time.now).weight
        self.assertAlmostEqual(after - before, 14 - 8, delta=0.01)

    def test_samples_count_after_many_daemons_have_come_and_gone(self):
        """Reports of daemons that are gone fill the bound of all reports."""
        one, *others = self.daemons(6)
        added = []
        with mock.patch.object(engine_factors, 'MAX_REPORTS', 2):
            for other in others:
                before = one.record(2).speed_samples.recent(self.time.now)
                for _ in range(12):
                    other.decode(2, 1.0)
                one.hear(other, other.digest())
                after = one.record(2).speed_samples.recent(self.time.now)
                added.append(after.weight - before.weight)
                one.factors.forget_peer(other.peer.place.id)
                one.factors.refresh()
        for each in added:
            self.assertAlmostEqual(each, 12 - 8)

    def test_samples_of_a_daemon_that_returns_count_once(self):
        """A daemon stands still, is forgotten, and goes on as it was."""
        one, two = self.daemons(2)
        for _ in range(12):
            two.decode(2, 1.0)
        one.hear(two, two.digest())
        one.factors.forget_peer(two.peer.place.id)
        for _ in range(2):
            two.decode(2, 1.0)
            one.hear(two, two.digest())
        recent = one.record(2).speed_samples.recent(self.time.now)
        self.assertAlmostEqual(recent.weight, 12 - 8 + 1)

    def test_engine_that_changes_its_service_leaves_the_old_one(self):
        """Guards against two services that set the factor in turns."""
        (daemon,) = self.daemons(1)
        self.decode_all([daemon], rounds=30)
        self.assertGreater(daemon.known()[2], 1.2)
        other = replace(listed(2), service=ServiceName('other'))
        daemon.list(other)
        self.time.now += 1.0
        daemon.factors.refresh()
        self.assertEqual(daemon.record(2).time_factor, 1.0)
        for _ in range(9):
            daemon.decode(2, 1.0)
        self.time.now += 1.0
        daemon.factors.refresh()
        by_service = {
            service: [each.id for each in engines.records]
            for service, engines in daemon.factors._by_service.items()
        }
        self.assertNotIn('i-2', by_service[LLM])
        self.assertIn('i-2', by_service[other.service])
        weight = daemon.record(2).speed_samples.recent(self.time.now).weight
        self.assertLess(weight, 1.1)

    def test_lost_and_repeated_digests_count_once(self):
        """Guards against sums that miss samples or hold them twice."""
        one, two = self.daemons(2)
        for _ in range(10):
            one.decode(0, 1.0)
        one.digest()
        one.decode(0, 1.0)
        digest = one.digest()
        for _ in range(3):
            two.hear(one, digest)
        recent = two.record(0).speed_samples.recent(self.time.now)
        self.assertAlmostEqual(recent.weight, 11 - 8)

    def test_samples_are_sent_only_when_there_are_new_ones(self):
        """Guards against digests that grow by fields that change nothing."""
        one = self.daemons(1)[0]
        for _ in range(10):
            one.decode(0, 1.0)
        self.assertEqual(one.digest().endpoints[0].sample_weight, 2.0)
        self.assertEqual(one.digest().endpoints, [])
        one.record(0).load.begin(100.0)
        self.assertIsNone(one.digest().endpoints[0].sample_weight)

    def test_fields_without_samples_take_no_bytes(self):
        """Guards against larger digests of sites with nothing to learn."""
        plain, sampled = EndpointUse(), EndpointUse(sample_weight=1.0)
        sizes = [
            len(encode(each, EnvelopeType.ONEWAY, 0))
            for each in (plain, sampled)
        ]
        self.assertEqual(sizes[1] - sizes[0], 9)

    def test_engine_restarts(self):
        """Guards against the factor of an old process at a new one."""
        daemons = self.daemons(4)
        self.decode_all(daemons)
        late = [each.digest() for each in daemons]
        daemons[1].decode(2, 1.7)
        late[1] = daemons[1].digest()
        daemons[0].list(listed(2, BORN + 60_000))
        daemons[0].hear(daemons[1], late[1])
        self.assertEqual(daemons[0].known()[2], 1.0)
        self.assertLess(daemons[0].known()[0], 0.8)

    def test_change_of_a_factor_is_logged_once(self):
        """Guards against changes that nobody sees, or a line each second."""
        daemons = self.daemons(4)
        with mock.patch.object(engine_factors, 'log') as log:
            self.decode_all(daemons, rounds=60)
        lines = [
            call.kwargs
            for call in log.info.mock_calls
            if call.args == ('engine_factor_changed',)
            and call.kwargs['endpoint'] == 'i-2'
        ]
        self.assertLessEqual(len(lines), 2 * len(daemons))
        for line in lines:
            self.assertGreater(line['factor'], 1.25)
            self.assertGreater(line['samples'], 3.0)
            self.assertLessEqual(line['age_s'], 1.0)
        self.assertGreaterEqual(len(lines), len(daemons))

    def test_factor_returns_to_one_without_samples(self):
        """Guards against a factor that outlives what it was learned from."""
        daemons = self.daemons(4)
        self.decode_all(daemons)
        self.assertGreater(daemons[0].known()[2], 1.4)
        self.time.now += 600.0
        for factor in daemons[0].known():
            self.assertAlmostEqual(factor, 1.0, delta=0.05)

    def test_slow_engines_are_reclaimed(self):
        """Guards against estimates that jump as the mean of those left."""
        daemons = self.daemons(4)
        self.decode_all(daemons)
        before = daemons[0].known()[0]
        for daemon in daemons:
            daemon.roster.apply([(EndpointId('i-2'), None)])
        self.decode_all(daemons, FACTORS[:2], rounds=4)
        self.assertAlmostEqual(daemons[0].known()[0], before, delta=0.06)
        daemons[0].list(listed(2))
        self.assertEqual(daemons[0].known()[2], 1.0)

    def test_factors_are_bounded(self):
        """Guards against an engine that one factor puts out of use."""
        daemons = self.daemons(2, engines=6)
        factors = (1e-6, 1.0, 1.0, 1.0, 1.0, 1e6)
        self.decode_all(daemons, factors, rounds=60, noise=0.0)
        known = daemons[0].known(6)
        self.assertEqual(known[0], 0.4)
        self.assertGreater(known[5], 2.5)
        self.assertLessEqual(known[5], 4.0)

    def test_invalid_values_change_nothing_and_are_logged_once(self):
        """Guards against a peer's bad numbers in every later estimate."""
        one, two = self.daemons(2)
        self.decode_all([one, two])
        before = two.known()
        valid = one.record(2).speed_samples
        with mock.patch.object(engine_factors, 'log') as log:
            for bad in (
                (math.nan, 1.0, 1.0),
                (math.inf, math.inf, math.inf),
                (-5.0, -5.0, 5.0),
                (5.0, math.nan, 5.0),
                (5.0, 5.0, math.inf),
                (5.0, 5e9, 5e9),
                (5.0, 5.0, 1.0),
                (1e300, 1e300, 1e300),
                (0.0, 1.0, 1.0),
            ):
                use = EndpointUse(
                    endpoint='i-2',
                    sample_weight=bad[0],
                    ratio_sum=bad[1],
                    ratio_square_sum=bad[2],
                )
                two.hear(one, StateDigest(endpoints=[use]))
                self.assertEqual(two.known(), before)
        self.assertEqual(len(log.warning.mock_calls), 1)
        samples = two.record(2).speed_samples
        weight = samples.recent(self.time.now).weight
        valid.add(1.5, 1.0, self.time.now)
        one.decode(2, 1.7)
        two.hear(one, one.digest())
        added = samples.recent(self.time.now).weight - weight
        self.assertAlmostEqual(added, 2.0)

    def test_peer_of_the_previous_version(self):
        """Guards against an upgrade during which one side learns nothing."""
        old, *new = self.daemons(4)
        for _ in range(20):
            self.decode_all(new, rounds=1)
            use = EndpointUse(endpoint='i-2', open_requests=3, ended=4)
            for daemon in new:
                daemon.hear(old, StateDigest(endpoints=[use]))
        self.assertGreater(new[0].known()[2], 1.4)
        self.assertEqual(new[0].record(2).load.total(0).requests, 3)
        self.assertEqual(new[0].record(2).speed_samples.peers, 2)

    def test_slow_engine_counts_as_less_capacity(self):
        """Guards against a plan for fast engines that are reclaimed."""
        daemon = self.daemons(1)[0]
        scaling = Scaling(
            calls=None,
            roster=daemon.roster,
            demand=mock.Mock(),
            configuration=mock.Mock(),
            clock=self.time,
            metrics=mock.Mock(),
            lose_lease=mock.Mock(),
            rollouts=mock.Mock(),
            policy=ScalingPolicy(),
        )
        for factors, lost in (
            ((1.0, 1.0, 1.0), 0),
            ((0.7, 0.7, 1.7), 0),
            ((1.1, 1.1, 1.1), 0),
            ((1.7, 1.7, 1.7), 1),
        ):
            for number, factor in enumerate(factors):
                daemon.record(number).time_factor = factor
            self.assertEqual(scaling._find_lost_capacity(LLM), lost)


class TestStreams(unittest.TestCase):
    def test_streams_of_a_site_show_its_slow_engine(self):
        """Guards against streams that are not counted, sent or shown."""

        async def check():
            async with open_site(daemons=2) as site:
                for engine, factor in zip(
                    engines_of(site), FACTORS, strict=True
                ):
                    engine.speed = ReplicaSpeed(
                        events=20, event_s=0.01 * factor
                    )
                for number in range(60):
                    answer = await send_draft(
                        site,
                        number=number % 2,
                        headers=prompt_of_parts(f'{number:08x}'),
                    )
                    self.assertEqual(answer.status, 200)
                await anyio.sleep(1.0)
                parts = [each.daemon.parts for each in site.daemons]
                slow = engines_of(site)[2].id
                return (
                    [each.roster.by_id[slow] for each in parts],
                    [each.metrics.render()[0].decode() for each in parts],
                )

        records, metrics = run_paused(check)
        for record, text in zip(records, metrics, strict=True):
            self.assertGreater(record.time_factor, 1.3)
            self.assertEqual(record.speed_samples.peers, 1)
            self.assertIn('engine_factor{bound="slowest",service="llm"}', text)

    def test_slow_version_is_not_judged_by_its_own_factor(self):
        """Guards against a roll-out whose slowness is taken for expected."""
        recorder, daemon = mock.Mock(), Daemon('10.1.0.0:1', Time(), 1)
        recorder.clock.return_value = 100.0
        attempt = Attempt(
            job=mock.Mock(is_stream=True),
            choice=Choice(
                record=daemon.record(0), first_event_s=0.9, time_factor=3.0
            ),
            sent_at=99.0,
            may_have_run_before=False,
            silence_deadline=math.inf,
            recorder=recorder,
        )
        attempt.note_result(failed=False)
        expected_s = recorder.trials.note_end.call_args.kwargs['expected_s']
        self.assertAlmostEqual(expected_s, 0.3)


class Load:
    """Requests of eight daemons at three engines that differ.

    An engine prefills one prompt after the other. The daemons exchange
    digests every 0.7 s, and refuse what they expect to be late.
    """

    ROUTES = (
        (route_of(0.85, 'long'), 6610, STEPS),
        (route_of(0.52, 'short'), 1800, 2),
    )
    TOKENS_PER_S = 60_000.0

    def __init__(self, seed, factors=FACTORS):
        self.time, self.rng = Time(), random.Random(seed)
        self.factors = factors
        self.daemons = [
            Daemon(f'10.1.0.{n}:1', self.time, len(factors)) for n in range(8)
        ]
        self.free_at = [0.0] * len(factors)
        self.events, self.order = [], itertools.count()
        self.in_time = self.offered = 0

    def at(self, time, function, *args):
        heapq.heappush(self.events, (time, next(self.order), function, args))

    def run(self, seconds):
        self.end = self.time.now + seconds
        self.counted_from = self.time.now + 10.0
        self.at(self.time.now, self.arrive)
        self.at(self.time.now, self.gossip)
        while self.events:
            self.time.now, _, function, args = heapq.heappop(self.events)
            function(*args)
        return self.in_time / self.offered

    def gossip(self):
        exchange(self.daemons)
        if self.time.now < self.end:
            self.at(self.time.now + 0.7, self.gossip)

    def arrive(self):
        tokens = 0.15 * 6610 + 0.85 * 1800
        capacity = (
            sum(self.TOKENS_PER_S / each for each in self.factors) / tokens
        )
        pause_s = self.rng.expovariate(2 / 3 * capacity)
        if self.time.now < self.end:
            self.at(self.time.now + pause_s, self.arrive)
        daemon = self.rng.choice(self.daemons)
        route, tokens, steps = self.ROUTES[self.rng.random() > 0.15]
        prompt = prompt_of(tokens, str(self.rng.randrange(40)))
        choice = daemon.chooser.choose(SERVICE, route, prompt)
        is_counted = self.time.now > self.counted_from
        self.offered += is_counted
        if choice.first_event_s > 0.9 * route.latency_target_s:
            return
        choice.record.load.begin(choice.unread_tokens)
        number = int(choice.record.id[2:])
        factor, now = self.factors[number], self.time.now
        start = max(self.free_at[number], now)
        work_s = factor * choice.unread_tokens / self.TOKENS_PER_S
        self.free_at[number] = start + work_s
        took_s = self.free_at[number] - now + 0.005
        self.in_time += is_counted and took_s <= route.latency_target_s
        self.at(now + took_s, self.begin, daemon, choice, took_s)
        end = now + took_s + steps * STEP_S * factor
        self.at(end, self.finish, daemon, choice, route, steps)

    def begin(self, daemon, choice, took_s):
        choice.record.load.note_read(choice.unread_tokens)
        if choice.queued_tokens < 1:
            daemon.chooser.note_first_event(choice, took_s)

    def finish(self, daemon, choice, route, steps):
        choice.record.load.end(0.0)
        factor = self.factors[int(choice.record.id[2:])]
        noisy_s = steps * STEP_S * factor * self.rng.lognormvariate(0, 0.1)
        daemon.factors.note_decoding(
            choice.record, route.name, steps=steps, took_s=noisy_s
        )


class TestLoad(unittest.TestCase):
    def play(self, factors, *, is_active):
        limit = 0.1 if is_active else math.inf
        with mock.patch.object(engine_comparison, 'MIN_DEVIATION', limit):
            shares = [Load(seed, factors).run(80.0) for seed in range(3)]
        return sum(shares) / len(shares)

    def test_more_first_events_are_in_time(self):
        """Guards against queues at slow engines taken for average ones."""
        with_factors = self.play(FACTORS, is_active=True)
        without = self.play(FACTORS, is_active=False)
        self.assertLess(1 - with_factors, 0.6 * (1 - without))

    def test_even_engines_are_used_as_without_factors(self):
        """Guards against factors learned from queues at popular engines."""
        even = (1.0, 1.0, 1.0)
        self.assertEqual(
            self.play(even, is_active=True), self.play(even, is_active=False)
        )

"""Accepted requests outlive the endpoints that they run on."""

import unittest
from dataclasses import replace

import anyio
from mimosamux_daemon.domain.outcomes import Failed, Reason, Unknown
from mimosamux_daemon.serving.retries import RetryBudget

from tests.support.clock import run_paused
from tests.support.serving import DRAFT, is_whole, open_site

LONG = 'plan a class trip to the lake ' * 200


def run_of(site, active):
    """Return the engine that runs the newest attempt of a request."""
    for engine in site.engines.by_id.values():
        for request, attempt in engine.open_runs:
            if (request, attempt) == (active.request.id, active.attempt):
                return engine
    return None


async def start(site, prompt=LONG, **fields):
    """Offer a request and return it once its answer has begun."""
    active = await site.offer(prompt, **fields)
    await active.wait_for_tokens(5)
    return active


def reclaim(site, engine, notice):
    site.fleet.mark_leaving(engine.endpoint.id, seconds_left=notice)

    async def take_away():
        await anyio.sleep(notice)
        engine.die()

    site.tasks.start_soon(take_away)


class NoRetries(RetryBudget):
    """A budget that must not be asked."""

    def take(self, work_class):
        raise AssertionError('a reclaim spent the retry budget')


class TestReclaim(unittest.TestCase):
    """The platform takes an endpoint VM back after a short notice.

    Without a move in time, a teacher's draft breaks off in the middle,
    or is computed again from the start and comes minutes late.
    """

    def test_kv_cache_moves_and_nothing_is_computed_again(self):
        async def check():
            async with open_site(engines=2) as site:
                active = await start(site, max_tokens=400)
                source = run_of(site, active)
                reclaim(site, source, 5.0)
                await active.wait_ended()
                self.assertTrue(is_whole(active))
                self.assertEqual(active.attempt, 2)
                (other,) = set(site.engines.by_id.values()) - {source}
                self.assertLess(other.runs[0].computed_tokens, 10)
                self.assertGreater(other.runs[0].imported_tokens, 1000)

        run_paused(check)

    def test_answer_that_ends_within_the_notice_stays(self):
        async def check():
            async with open_site(engines=2) as site:
                active = await start(site, max_tokens=60)
                reclaim(site, run_of(site, active), 8.0)
                await active.wait_ended()
                self.assertTrue(is_whole(active))
                self.assertEqual(active.attempt, 1)

        run_paused(check)

    def test_engines_without_kv_transfer_prompt_again(self):
        async def check():
            async with open_site(engines=2) as site:
                for engine in site.engines.by_id.values():
                    engine.abilities.exports_kv = False
                active = await start(site, max_tokens=400)
                reclaim(site, run_of(site, active), 3.0)
                await active.wait_ended()
                self.assertTrue(is_whole(active))
                recomputed = site.value('tokens_recomputed', cause='reclaim')
                self.assertGreater(recomputed, 1000)

        run_paused(check)

    def test_longest_context_goes_first_when_time_is_short(self):
        async def check():
            async with open_site(engines=2) as site:
                leaving = site.engines.by_id['e1']
                site.fleet.mark_leaving('e2', seconds_left=1e6)
                small = await start(site, 'short trip', max_tokens=900)
                large = await start(site, LONG, max_tokens=900)
                site.add_engine(3)
                for engine in site.engines.by_id.values():
                    engine.speed = replace(engine.speed, kv_bytes_per_s=1e8)
                reclaim(site, leaving, 3.5)
                await large.wait_ended()
                await small.wait_ended()
                self.assertTrue(is_whole(small) and is_whole(large))
                runs = site.engines.by_id['e3'].runs
                self.assertEqual(runs[0].call.request, large.request.id)

        run_paused(check)

    def test_import_target_that_is_reclaimed_as_well(self):
        """The wave takes the endpoint to which the KV cache is moving."""

        async def check():
            async with open_site(engines=3) as site:
                active = await start(site, max_tokens=600)
                source = run_of(site, active)
                for engine in site.engines.by_id.values():
                    engine.speed = replace(engine.speed, kv_bytes_per_s=4e8)
                reclaim(site, source, 6.0)
                await anyio.sleep(0.3)
                for endpoint, state in site.fleet.by_id.items():
                    if state.open_by_request and not state.is_leaving:
                        reclaim(site, site.engines.by_id[endpoint], 0.1)
                await active.wait_ended()
                self.assertTrue(is_whole(active))

        run_paused(check)

    def test_notice_shorter_than_the_move(self):
        async def check():
            async with open_site(engines=2) as site:
                for engine in site.engines.by_id.values():
                    engine.speed = replace(engine.speed, kv_bytes_per_s=1e6)
                active = await start(site, max_tokens=300)
                reclaim(site, run_of(site, active), 1.0)
                await active.wait_ended()
                self.assertTrue(is_whole(active))

        run_paused(check)

    def test_reclaims_do_not_spend_the_retry_budget(self):
        async def check():
            budget = NoRetries()
            async with open_site(engines=2, budget=budget) as site:
                active = await start(site, max_tokens=200)
                reclaim(site, run_of(site, active), 2.0)
                await active.wait_ended()
                self.assertTrue(is_whole(active))

        run_paused(check)


class TestSuddenDeath(unittest.TestCase):
    """Endpoints die or stand still without any notice.

    Without recovery the caller's stream stops in the middle of a line.
    """

    def test_stream_goes_on_elsewhere(self):
        async def check():
            async with open_site(engines=2) as site:
                active = await start(site, max_tokens=200)
                run_of(site, active).die()
                await active.wait_ended()
                self.assertTrue(is_whole(active))
                self.assertEqual(active.attempt, 2)

        run_paused(check)

    def test_whole_data_centre_dies_at_once(self):
        async def check():
            async with open_site() as site:
                for number in range(1, 7):
                    site.add_engine(
                        number, data_centre='east' if number < 4 else 'west'
                    )
                actives = [
                    await site.offer(f'trip {number} {LONG}', max_tokens=200)
                    for number in range(60)
                ]
                await anyio.sleep(2.0)
                for number in (1, 2, 3):
                    site.engines.by_id[f'e{number}'].die()
                for active in actives:
                    await active.wait_ended()
                self.assertTrue(all(map(is_whole, actives)))

        run_paused(check)

    def test_frozen_engine_counts_as_broken(self):
        async def check():
            async with open_site(engines=2) as site:
                active = await start(site, max_tokens=200)
                run_of(site, active).freeze()
                frozen_at = anyio.current_time()
                await active.wait_for_tokens(150)
                self.assertTrue(anyio.current_time() - frozen_at < 15)
                await active.wait_ended()
                self.assertTrue(is_whole(active))

        run_paused(check)

    def test_no_endpoint_is_left_for_a_while(self):
        async def check():
            async with open_site(engines=1) as site:
                active = await start(site, max_tokens=100)
                run_of(site, active).die()
                site.fleet.remove('e1')
                await anyio.sleep(30)
                self.assertFalse(active.has_ended)
                site.add_engine(2)
                await active.wait_ended()
                self.assertTrue(is_whole(active))

        run_paused(check)

    def test_deadline_ends_the_request_at_once(self):
        async def check():
            async with open_site(engines=1) as site:
                hasty = replace(DRAFT, deadline_s=4.0)
                active = await start(
                    site, max_tokens=100_000, work_class=hasty
                )
                await active.wait_ended()
                self.assertEqual(active.outcome.reason, Reason.DEADLINE)
                late = anyio.current_time() - active.request.deadline
                self.assertLess(late, 0.01)

        run_paused(check)


class TestNotRepeatable(unittest.TestCase):
    """A class whose calls may run once only loses its endpoint.

    Trying again could do the work twice, so the caller is told the truth.
    """

    ONCE = replace(DRAFT, repeatable=False)

    def test_break_before_any_token_is_unknown(self):
        async def check():
            async with open_site(engines=2) as site:
                active = await site.offer(LONG, work_class=self.ONCE)
                await anyio.sleep(0.01)
                run_of(site, active).die()
                await active.wait_ended()
                self.assertIsInstance(active.outcome, Unknown)
                runs = [e.runs for e in site.engines.by_id.values()]
                self.assertEqual(sum(map(len, runs)), 1)

        run_paused(check)

    def test_break_in_the_answer_has_failed(self):
        async def check():
            async with open_site(engines=2) as site:
                active = await start(site, work_class=self.ONCE)
                run_of(site, active).die()
                await active.wait_ended()
                self.assertIsInstance(active.outcome, Failed)

        run_paused(check)

    def test_failed_connect_goes_elsewhere(self):
        async def check():
            async with open_site(engines=2) as site:
                site.engines.by_id['e1'].die()
                actives = [
                    await site.offer(f'trip {number}', work_class=self.ONCE)
                    for number in range(4)
                ]
                for active in actives:
                    await active.wait_ended()
                self.assertTrue(all(map(is_whole, actives)))

        run_paused(check)


class TestRetryBudget(unittest.TestCase):
    """Many requests break at once and all want to go on at once."""

    def test_retries_are_bounded_and_all_go_on_later(self):
        async def check():
            budget = RetryBudget()
            begun = anyio.current_time()
            async with anyio.create_task_group() as tasks:
                for _ in range(40):
                    tasks.start_soon(budget.wait, DRAFT)
            passed = anyio.current_time() - begun
            self.assertAlmostEqual(passed, 30.0, delta=2.0)

        run_paused(check)

    def test_budget_grows_with_traffic(self):
        async def check():
            budget = RetryBudget()
            for _ in range(1000):
                budget.note_request(DRAFT)
            taken = sum(budget.take(DRAFT) for _ in range(1000))
            self.assertAlmostEqual(taken, 100, delta=1)

        run_paused(check)

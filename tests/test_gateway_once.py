"""Requests that may run once, and promises that they have not run."""

import unittest

import anyio
from mimosamux_standins.site import Fault, ReplicaSpeed

from tests.support.clock import run_paused
from tests.support.memory_network import machine_of
from tests.support.platform_site import default_document, open_site

NOT_RUN = (408, 421, 429, 503)


def count_runs(site, id_):
    return sum(run.id == id_ for run in site.runs())


def set_fault(site, service, fault):
    for replica in site.replicas_by_id.values():
        if replica.service == service:
            replica.fault = fault


class TestOnce(unittest.TestCase):
    def test_slip_whose_answer_is_lost_runs_once_and_is_not_called_unrun(self):
        """A replica runs a slip and its connection ends without an answer.

        Sent again it would go out twice; called not run, the caller would send
        it again itself.
        """

        async def check():
            async with open_site() as site:
                set_fault(site, 'app', Fault.LOST)
                answer = await site.caller().send(
                    site.daemons[0].entry, '/slip/1', body=b'slip'
                )
                return answer.status, count_runs(site, answer.id)

        self.assertEqual(run_paused(check), (502, 1))

    def test_list_whose_answer_is_lost_is_had_from_another_endpoint(self):
        """The replica that a seat list is read from loses its answer.

        It may be read again, so the caller only sees that it takes longer.
        """

        async def check():
            async with open_site() as site:
                bad = next(
                    replica
                    for replica in site.replicas_by_id.values()
                    if replica.service == 'app'
                )
                bad.fault = Fault.LOST
                answers = [
                    await site.caller().send(
                        site.daemons[number].entry, '/list/1', method='GET'
                    )
                    for number in range(3)
                    for _ in range(4)
                ]
                return {answer.status for answer in answers}, len(bad.runs)

        statuses, tried = run_paused(check)
        self.assertEqual(statuses, {200})
        self.assertGreater(tried, 0)

    def test_slip_turned_down_by_a_full_endpoint_is_called_unrun(self):
        """The replica says that it is full.

        The slip has not run, so its caller is told so, and when to come again.
        """

        async def check():
            async with open_site() as site:
                set_fault(site, 'app', Fault.SHED)
                answer = await site.caller().send(
                    site.daemons[0].entry, '/slip/1', body=b'slip'
                )
                return (
                    answer.status,
                    answer.retry_after_s is not None,
                    count_runs(site, answer.id),
                )

        self.assertEqual(run_paused(check), (503, True, 0))

    def test_slip_turned_down_is_sent_once_to_another_endpoint(self):
        """A replica is full while others are idle; the route has two attempts.

        The refused slip has not run, so it runs at another replica, once.
        Where all are full, it is refused after the second attempt.
        """

        async def check():
            document = default_document()
            document.add_route('/order/', 'app', 'non_idempotent')
            async with open_site(document=document) as site:
                apps = [
                    replica
                    for replica in site.replicas_by_id.values()
                    if replica.service == 'app'
                ]
                apps[0].fault = Fault.SHED
                answers = [
                    await site.caller().send(
                        daemon.entry, '/order/1', body=b'order'
                    )
                    for daemon in site.daemons
                ]
                refusals = len(apps[0].arrivals)
                runs = [count_runs(site, answer.id) for answer in answers]
                set_fault(site, 'app', Fault.SHED)
                before = sum(len(app.arrivals) for app in apps)
                refused = await site.caller().send(
                    site.daemons[0].entry, '/order/2', body=b'order'
                )
                sends = sum(len(app.arrivals) for app in apps) - before
                statuses = {answer.status for answer in answers}
                return statuses, runs, refusals, refused.status, sends

        statuses, runs, refusals, refused, sends = run_paused(check)
        self.assertEqual((statuses, runs), ({200}, [1, 1, 1]))
        self.assertGreater(refusals, 0)
        self.assertEqual((refused, sends), (503, 2))

    def test_slip_under_way_at_its_time_limit_is_not_called_unrun(self):
        """A replica works on a slip for longer than the route allows.

        The daemon gives up at the limit and cannot know how far it got.
        """

        async def check():
            async with open_site() as site:
                set_fault(site, 'app', Fault.HANG)
                answer = await site.caller().send(
                    site.daemons[0].entry, '/slip/1', body=b'slip'
                )
                took_s = answer.ended_at - answer.sent_at
                return answer.status, took_s, count_runs(site, answer.id)

        status, took_s, runs = run_paused(check)
        self.assertEqual((status, runs), (504, 1))
        self.assertAlmostEqual(took_s, 3.0, delta=0.1)

    def test_slip_goes_on_when_its_caller_leaves(self):
        """A caller gives up on a slip that a replica works on.

        Broken off, nobody could say whether it went out; it is let run to its
        end.
        """

        async def check():
            async with open_site() as site:
                for replica in site.replicas_by_id.values():
                    replica.speed = ReplicaSpeed(work_s=1.0)
                caller = site.caller(leaves_after_s=0.3)
                await caller.send(
                    site.daemons[0].entry, '/slip/1', body=b'slip'
                )
                await anyio.sleep(2)
                (run,) = site.runs()
                return run.ended_at - run.began_at

        self.assertAlmostEqual(run_paused(check), 1.0, delta=0.05)

    def test_list_stops_at_its_endpoint_when_its_caller_leaves(self):
        """A caller gives up on a seat list.

        Nobody waits for it any more, and its place at the replica is needed by
        others.
        """

        async def check():
            async with open_site() as site:
                for replica in site.replicas_by_id.values():
                    replica.speed = ReplicaSpeed(work_s=2.0)
                caller = site.caller(leaves_after_s=0.3)
                await caller.send(
                    site.daemons[0].entry, '/list/1', method='GET'
                )
                await anyio.sleep(1)
                (run,) = site.runs()
                return run.ended_at - run.began_at

        self.assertLess(run_paused(check), 0.6)

    def test_second_answer_on_a_connection_reaches_nobody(self):
        """A replica sends a second answer behind each one.

        The next caller on that connection would get an answer that is not its
        own.
        """

        async def check():
            async with open_site(daemons=1) as site:
                set_fault(site, 'app', Fault.EXTRA)
                caller = site.caller()
                answers = [
                    await caller.send(
                        site.daemons[0].entry, '/slip/1', body=b'slip'
                    )
                    for _ in range(20)
                ]
                return [
                    (answer.status, answer.body.split()[1].decode(), answer.id)
                    for answer in answers
                ]

        for status, body_id, id_ in run_paused(check):
            self.assertEqual((status, body_id), (200, id_))

    def test_request_for_an_endpoint_that_is_gone_is_not_run_by_its_heir(self):
        """A replica ends, and another service soon gets its address.

        A slip that is sent there must not run as something else.
        """

        async def check():
            async with open_site(apps=1) as site:
                old = next(
                    replica
                    for replica in site.replicas_by_id.values()
                    if replica.service == 'app'
                )
                old.id = 'i-heir'
                answer = await site.caller().send(
                    site.daemons[0].entry, '/slip/1', body=b'slip'
                )
                return answer.status, len(old.runs), len(old.misdirected)

        self.assertEqual(run_paused(check), (503, 0, 1))

    def test_dead_endpoints_are_passed_over(self):
        """Two of three replicas have died and are still listed.

        Every caller is served by the third, and few connects are tried.
        """

        async def check():
            async with open_site(daemons=1) as site:
                apps = [
                    replica
                    for replica in site.replicas_by_id.values()
                    if replica.service == 'app'
                ]
                for replica in apps[:2]:
                    site.crash_replica(replica)
                caller = site.caller()
                answers = [
                    await caller.send(
                        site.daemons[0].entry, '/slip/1', body=b'slip'
                    )
                    for _ in range(20)
                ]
                return {answer.status for answer in answers}

        self.assertEqual(run_paused(check), {200})

    def test_promise_is_given_when_nothing_listens_at_all(self):
        """Every replica of a service has died.

        The slip was never sent, so its caller may send it again later.
        """

        async def check():
            async with open_site(daemons=1, apps=1) as site:
                for replica in tuple(site.replicas_by_id.values()):
                    if replica.service == 'app':
                        site.crash_replica(replica)
                answer = await site.caller().send(
                    site.daemons[0].entry, '/slip/1', body=b'slip'
                )
                return answer.status, answer.ended_at - answer.sent_at

        status, took_s = run_paused(check)
        self.assertEqual(status, 503)
        self.assertLess(took_s, 0.5)

    def test_kept_connections_are_not_trusted_after_many_broke_at_once(self):
        """A switch fails over: some connections are reset, others stay open.

        Those deliver nothing any more. A slip sent on one of them runs, its
        answer never comes, and it cannot be sent again: the caller is told
        nothing but that it may have run.
        """

        async def check():
            async with open_site(daemons=1) as site:
                caller, entry = site.caller(), site.daemons[0].entry
                for _ in range(9):
                    await caller.send(entry, '/slip/1', body=b'slip')
                apps = {
                    machine_of(replica.address)
                    for replica in site.replicas_by_id.values()
                    if replica.service == 'app'
                }
                machine = site.daemons[0].machine
                for engine in site.replicas_by_id.values():
                    engine.speed = ReplicaSpeed(events=200, event_s=0.02)
                prompt = (
                    (b'X-Model', b'm'),
                    (b'X-Token-Usage', b'1460,80'),
                )
                site.tasks.start_soon(
                    lambda: site.caller(patience_s=15.0).send(
                        entry, '/draft/1', body=b'brief', headers=prompt
                    )
                )
                await anyio.sleep(0.5)
                site.network.silence(
                    lambda each: each.here == machine and each.there in apps
                )
                site.network.reset(
                    lambda each: (
                        each.here == machine and each.there not in apps
                    )
                )
                await anyio.sleep(0.05)
                answers = [
                    await site.caller().send(entry, '/slip/2', body=b'slip')
                    for _ in range(3)
                ]
                return [answer.status for answer in answers]

        self.assertEqual(run_paused(check), [200, 200, 200])

    def test_kept_connections_are_not_trusted_after_all_peers_fell_silent(
        self,
    ):
        """All open connections of a daemon stop to deliver, without a reset.

        New ones work. Slips sent on kept ones run and are never answered, one
        after the other, until each connection was tried once.
        """

        async def check():
            async with open_site() as site:
                entry, machine = site.daemons[0].entry, site.daemons[0].machine
                async with anyio.create_task_group() as tasks:
                    for _ in range(12):
                        tasks.start_soon(
                            lambda: site.caller().send(
                                entry, '/slip/1', body=b'slip'
                            )
                        )
                site.network.silence(
                    lambda each: machine in (each.here, each.there)
                )
                await anyio.sleep(1.2)
                answers = [
                    await site.caller().send(entry, '/slip/2', body=b'slip')
                    for _ in range(3)
                ]
                return [answer.status for answer in answers]

        self.assertEqual(run_paused(check), [200, 200, 200])

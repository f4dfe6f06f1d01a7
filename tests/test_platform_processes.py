"""Real daemons on the stand-in platform: signals, freezes, cut networks."""

import threading
import unittest
from collections import defaultdict
from contextlib import contextmanager

import anyio
import httpx
from mimosamux_standins.site.replica import render_event

from tests.support.platform_processes import (
    PROMPT,
    platform_processes,
    send,
    send_one,
)

EVENTS = 12
DRAFT_EVENTS = 80
"""Of a draft of 4 s."""
LONG_DRAFT_EVENTS = 160
NOTICE_MS = 1500


def send_streams(entry, count, answers, **fields):
    """Send drafts side by side, and note what came of each."""

    async def one(number):
        answers.append(
            await send(
                entry,
                f'/draft/{number}',
                headers=PROMPT,
                body=b'brief',
                **fields,
            )
        )

    async def run():
        async with anyio.create_task_group() as tasks:
            for number in range(count):
                tasks.start_soon(one, number)

    anyio.run(run)


@contextmanager
def sent_draft(platform, **fields):
    """Send a draft; the block ends when it is answered."""
    answers = []
    sender = threading.Thread(
        target=send_streams,
        args=(platform.daemons[0].entry, 1, answers),
        kwargs=fields,
    )
    sender.start()
    try:
        yield answers
    finally:
        sender.join()


def announce_reclaim(platform, run):
    platform.command(
        '/replica',
        id=run['replica'],
        leaves_ms=NOTICE_MS,
        state='draining',
    )


def is_settled(seen, events):
    """Whether a draft has moved, or was whole before its engine had to go.

    The time of the notice counts, not the engine's end: a draft that nobody
    moves ends too while the engine is there for longer than was announced.
    """
    leaves_at = {each['id']: each['leaves_at'] for each in seen['replicas']}
    return any(
        run['is_moved']
        or (
            run['events'] == events
            and run['ended_at'] is not None
            and run['ended_at'] < leaves_at[run['replica']]
        )
        for run in seen['runs']
    )


def is_past_end(seen):
    """Whether the engine of a draft is still there past its end."""
    ends = [each['leaves_at'] for each in seen['replicas']]
    return any(end is not None and end < seen['now'] for end in ends)


class TestSignals(unittest.TestCase):
    def test_stop_cuts_off_no_stream(self):
        """A daemon is asked to stop in the middle of ten drafts."""
        with platform_processes(daemons=2) as platform:
            daemon = platform.daemons[0]
            answers = []
            sender = threading.Thread(
                target=send_streams, args=(daemon.entry, 10, answers)
            )
            sender.start()
            platform.wait_for(
                lambda: len(platform.seen()['runs']) >= 10, 'ten runs'
            )
            daemon.process.terminate()
            sender.join()
            status = daemon.process.wait()
        self.assertEqual(status, 0)
        self.assertEqual(len(answers), 10)
        for answer in answers:
            expected = b''.join(
                render_event(answer.id, number)
                for number in range(1, EVENTS + 1)
            )
            self.assertEqual((answer.status, answer.body), (200, expected))

    def test_slip_in_the_hands_of_a_frozen_daemon_runs_once_at_most(self):
        """A daemon stands still with a slip in hand, and wakes up later.

        Its caller has given up; what the daemon says and does then must not
        contradict what the caller took it for.
        """
        with platform_processes(daemons=1, work_s=0.5) as platform:
            daemon = platform.daemons[0]
            answers = []

            def work():
                answers.append(
                    send_one(
                        daemon.entry, '/slip/1', body=b's', patience_s=1.5
                    )
                )

            sender = threading.Thread(target=work)
            sender.start()
            platform.wait_for(lambda: platform.seen()['runs'], 'run')
            daemon.process.freeze()
            sender.join()
            daemon.process.thaw()
            platform.wait_for(
                lambda: all(
                    replica['open'] == 0
                    for replica in platform.seen()['replicas']
                ),
                'end of the run',
            )
            runs = platform.runs_of(answers[0].id)
        self.assertEqual(len(runs), 1)
        self.assertNotIn(answers[0].status, (408, 421, 429, 503))

    def test_requests_whose_callers_left_meanwhile_run_nowhere(self):
        """A daemon gets no processor time while callers connect and leave.

        Their connections wait in the kernel, each with a request and its
        end. Sent on, the requests ran for nobody, and those that have
        somebody waited behind them.
        """
        with platform_processes(daemons=1) as platform:
            daemon = platform.daemons[0]
            daemon.process.freeze()
            for target, headers in (
                ('/slip/1', ()),
                ('/list/1', ()),
                ('/draft/1', PROMPT),
                ('/question/1', PROMPT),
            ):
                for _ in range(4):
                    send_one(
                        daemon.entry,
                        target,
                        headers=headers,
                        body=b's',
                        leaves_after_s=0.05,
                    )
            daemon.process.thaw()
            answer = send_one(daemon.entry, '/slip/2', body=b's')
            targets = [run['target'] for run in platform.seen()['runs']]
        self.assertEqual(answer.status, 200)
        self.assertEqual(targets, ['/slip/2'])

    def test_draft_survives_the_reclaim_of_its_engine(self):
        """An engine is taken away in the middle of a long draft.

        The draft used to stay with its engine, rarely, on a busy machine: a
        daemon without processor time in the last half second of the notice
        came to stop it when the announced end had passed, and did not
        (`stream_stays` with a negative `left_s`). Before that, a notice that
        overtook the head of the answer, or one lost call, gave the same. A
        draft that ends before its engine goes has no need to move, and is
        told apart by the platform: all its events were made in the time of
        the notice.
        """
        self.check_reclaim(events=DRAFT_EVENTS)

    def test_draft_of_eight_seconds_survives_the_reclaim_of_its_engine(self):
        """The same with a draft that cannot end in time.

        Its caller waits for as long as drafts may take: one of 10 s would
        leave a busy machine 2 s for all that is not the draft.
        """
        self.check_reclaim(events=LONG_DRAFT_EVENTS, patience_s=15.0)

    def test_draft_whose_prompt_is_read_survives_the_reclaim(self):
        """The notice comes while the engine still reads the prompt.

        No answer has begun there, so the daemon knows of no stream at the
        engine. The teacher's draft broke off after a third of its events.
        """
        self.check_reclaim(events=DRAFT_EVENTS, token_s=3e-4)

    def test_draft_is_moved_by_a_daemon_that_stood_still_at_the_end(self):
        """A daemon gets no processor time in the last part of a notice.

        It had copied the draft, came to stop it when the announced end was
        over, and left it there for good: `stream_stays` with `left_s` below
        zero, and no second `stream_moved`. The engine may be there for
        longer than it said; the teacher's draft broke off with it.
        """
        with platform_processes(daemons=2, events=DRAFT_EVENTS) as platform:
            with sent_draft(platform) as answers:
                (run,) = platform.wait_for(
                    lambda: platform.seen()['runs'], 'run of the draft'
                )
                announce_reclaim(platform, run)
                daemon = platform.daemons[0].process
                daemon.wait_for_text('event=stream_moved')
                daemon.freeze()
                platform.wait_for(
                    lambda: is_past_end(platform.seen()), 'end of the notice'
                )
                daemon.thaw()
                platform.wait_for(
                    lambda: any(
                        each['is_moved'] for each in platform.seen()['runs']
                    ),
                    'moved run',
                )
                platform.command('/replica', id=run['replica'], crash=True)
            self.assert_whole(platform, answers[0], DRAFT_EVENTS)

    def check_reclaim(self, *, events, patience_s=10.0, **options):
        with platform_processes(
            daemons=2, events=events, **options
        ) as platform:
            with sent_draft(platform, patience_s=patience_s) as answers:
                (run,) = platform.wait_for(
                    lambda: platform.seen()['runs'], 'run of the draft'
                )
                announce_reclaim(platform, run)
                platform.wait_for(
                    lambda: is_settled(platform.seen(), events), 'moved run'
                )
                platform.command('/replica', id=run['replica'], crash=True)
            self.assert_whole(platform, answers[0], events)

    def assert_whole(self, platform, answer, events):
        expected = b''.join(
            render_event(answer.id, number) for number in range(1, events + 1)
        )
        if answer.body != expected:
            self.fail(f'draft broke off: {answer}\n{platform.tell()}')


class TestDuties(unittest.TestCase):
    def assert_one_report_a_window(self, platform):
        counts = defaultdict(set)
        holders = {}
        for call in platform.seen()['duty_calls']:
            if not call['is_taken']:
                continue
            holder = holders.setdefault(call['fencing'], call['holder'])
            self.assertEqual(holder, call['holder'])
            if call['path'] == '/usage':
                body = call['body']
                counts[body['windowNumber']].add(str(body['counts']))
        for window, different in counts.items():
            self.assertEqual(len(different), 1, window)

    def test_holder_that_is_killed_has_a_successor(self):
        with platform_processes(daemons=3) as platform:
            holder = platform.wait_for_holder()
            holder.process.kill()
            platform.daemons.remove(holder)
            successor = platform.wait_for_holder(but=holder.name)
            self.assertNotEqual(successor.name, holder.name)
            self.assert_one_report_a_window(platform)

    def test_holder_frozen_beyond_its_lease_acts_no_more_when_it_wakes(self):
        """The holder stands still for longer than its lease lasts."""
        with platform_processes(daemons=3) as platform:
            holder = platform.wait_for_holder()
            holder.process.freeze()
            successor = platform.wait_for_holder(but=holder.name)
            before = len(platform.seen()['duty_calls'])
            holder.process.thaw()
            platform.wait_for(
                lambda: len(platform.seen()['duty_calls']) > before + 2,
                'further calls',
            )
            calls = platform.seen()['duty_calls'][before:]
            acted = {call['holder'] for call in calls if call['is_taken']}
            self.assertEqual(acted, {successor.name})
            self.assert_one_report_a_window(platform)


class TestNetwork(unittest.TestCase):
    def test_key_is_out_at_a_daemon_whose_store_went_silent(self):
        """The way to the store goes silent: open, and nothing gets through.

        The daemon has no peers that could tell it of keys taken away.
        """
        with platform_processes(daemons=0) as platform:
            proxy = platform.started.start_standin('proxy', platform.store)
            address = proxy.address
            control = proxy.wait_for_line('control').split()[-1]
            daemon = platform.start_daemon(store=address)
            self.assertEqual(
                send_one(daemon.entry, '/list/1', method='GET').status, 200
            )
            spoil_proxy(control, blackhole=True)
            platform.command('/revoke', key='key-school')

            def status():
                return send_one(daemon.entry, '/list/1', method='GET').status

            platform.wait_for(lambda: status() != 200, 'refusal of the key')
            self.assertEqual(status(), 503)
            spoil_proxy(control)
            platform.wait_for(lambda: status() == 401, 'word of the platform')


def spoil_proxy(control, **faults):
    """Have a proxy spoil what goes through it."""
    answer = httpx.post(
        f'http://{control}/control', json=faults, trust_env=False
    )
    answer.raise_for_status()

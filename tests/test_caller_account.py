"""What callers may hold together, and who yields when it is full."""

import unittest

import anyio
from mimosamux_daemon.callers import (
    CallerAccount,
    CallerLimits,
    CallerRecord,
    LossCause,
    Phase,
    find_limits,
)

from tests.support.clock import run_paused

KIB = 1024
MIB = 1024 * KIB
LARGE = 1 * MIB
LIMITS = CallerLimits(request_bytes=4 * MIB, connections=4, descriptors=8)
LARGE_MIB = 3
"""Of the limit, large requests may use three quarters."""


class Upload:
    """A request that arrives, and whether it was told to yield."""

    def __init__(self, account, owner='', due_at=float('inf')):
        self.has_yielded = False
        self.holding = account.hold_request(self.give_up)
        self.holding.assign(owner, due_at=due_at)

    def give_up(self):
        self.has_yielded = True

    def hold(self, size):
        return self.holding.hold(size)


class Connected:
    """A connection, and whether it was told to yield."""

    def __init__(self, account, *, has_input=False):
        self.has_yielded = False
        self.has_input = has_input
        self.connection = account.open(self.give_up)

    def give_up(self):
        self.has_yielded = not self.has_input
        return self.has_yielded


class Answer:
    """An answer, and whether it was told to yield."""

    def __init__(self, account, connection=None):
        self.has_yielded = False
        request = account.hold_request(lambda: None)
        self.holding = account.hold_answer(request, connection, self.give_up)

    def give_up(self):
        self.has_yielded = True


def paused(test):
    """Run a test that is given a new account, on a paused clock."""

    def run(self):
        async def play():
            account = CallerAccount(limits=LIMITS, record=CallerRecord())
            await test(self, account)

        run_paused(play)

    run.__name__ = test.__name__
    return run


class TestBytes(unittest.TestCase):
    # Guards against a crowd that stops short and locks all others out.
    @paused
    async def test_largest_unfinished_request_yields_to_a_newcomer(
        self, account
    ):
        uploads = [Upload(account) for _ in range(LARGE_MIB)]
        for number, each in enumerate(uploads):
            self.assertTrue(each.hold(LARGE + number - 1))
        self.assertTrue(Upload(account).hold(100 * KIB))
        self.assertEqual(
            [each.has_yielded for each in uploads], [False, False, True]
        )
        self.assertEqual(account.record.counts, {LossCause.BYTES: 1})

    # Guards against one client account that spends the share of all.
    @paused
    async def test_client_account_that_holds_most_yields(self, account):
        crowd = [Upload(account, 'crowd') for _ in range(2)]
        self.assertTrue(all(each.hold(LARGE) for each in crowd))
        single = Upload(account, 'school')
        self.assertTrue(single.hold(LARGE + 100 * KIB))
        self.assertFalse(single.has_yielded)
        self.assertEqual(sum(each.has_yielded for each in crowd), 1)

    # Guards against room that is kept for a caller who waits no more.
    @paused
    async def test_request_that_arrives_too_late_yields_first(self, account):
        late = Upload(account, due_at=anyio.current_time() + 1.0)
        self.assertTrue(late.hold(100 * KIB))
        large = Upload(account)
        self.assertTrue(large.hold(2 * LARGE))
        await anyio.sleep(2.0)
        self.assertTrue(Upload(account).hold(LARGE))
        self.assertEqual((late.has_yielded, large.has_yielded), (True, False))

    # Guards against large requests at work that leave small ones no room.
    @paused
    async def test_small_requests_have_a_reserve(self, account):
        for owner in range(LARGE_MIB):
            upload = Upload(account, f'school {owner}')
            self.assertTrue(upload.holding.finish(LARGE))
        self.assertFalse(Upload(account).holding.finish(LARGE))
        small = [Upload(account) for _ in range(16)]
        self.assertTrue(all(each.holding.finish(64 * KIB) for each in small))
        self.assertFalse(Upload(account).holding.finish(64 * KIB))

    # Guards against whole requests of one client account that take all room.
    @paused
    async def test_whole_requests_of_one_account_leave_others_room(
        self, account
    ):
        crowd = [Upload(account, 'crowd') for _ in range(3)]
        self.assertEqual(
            [each.holding.finish(LARGE) for each in crowd],
            [True, False, False],
        )
        self.assertTrue(Upload(account, 'school').holding.finish(LARGE))
        crowd[0].holding.release()
        again = Upload(account, 'crowd')
        self.assertTrue(again.holding.finish(LARGE))

    # Guards against requests at work that are given up for a newcomer.
    @paused
    async def test_whole_request_never_yields(self, account):
        whole = Upload(account)
        self.assertTrue(whole.holding.finish(3 * LARGE))
        self.assertFalse(Upload(account).hold(LARGE))
        self.assertFalse(whole.has_yielded)

    # Guards against a legal request that is refused in calm.
    @paused
    async def test_single_request_fits_whatever_its_size(self, account):
        self.assertTrue(Upload(account).hold(10 * LIMITS.request_bytes))

    @paused
    async def test_released_bytes_are_free_again(self, account):
        for _ in range(10):
            upload = Upload(account, 'school')
            self.assertTrue(upload.holding.finish(3 * LARGE))
            upload.holding.release()
        self.assertEqual(account.request_bytes, 0)


class TestAnswers(unittest.TestCase):
    # Guards against answers that nobody takes and that keep others out.
    @paused
    async def test_answer_that_nobody_takes_yields_before_uploads(
        self, account
    ):
        unread, read = Answer(account), Answer(account)
        unread.holding.wait(LARGE)
        read.holding.wait(LARGE)
        upload = Upload(account, 'school')
        await anyio.sleep(1.9)
        self.assertTrue(upload.hold(LARGE))
        read.holding.wait(LARGE)
        await anyio.sleep(0.2)
        self.assertTrue(Upload(account).hold(100 * KIB))
        self.assertEqual(
            (unread.has_yielded, read.has_yielded, upload.has_yielded),
            (True, False, False),
        )
        self.assertEqual(account.record.counts, {LossCause.UNREAD_ANSWER: 1})

    # Guards against answers that are broken off while they are taken.
    @paused
    async def test_answer_that_is_taken_never_yields(self, account):
        answer = Answer(account)
        answer.holding.wait(3 * LARGE)
        answer.holding.go_on()
        await anyio.sleep(10.0)
        self.assertFalse(Upload(account).hold(LARGE))
        self.assertFalse(answer.has_yielded)

    # Guards against requests at work whose answers find no room any more.
    @paused
    async def test_nothing_begins_while_answers_hold_too_much(self, account):
        answers = [Answer(account) for _ in range(2)]
        for each in answers:
            each.holding.wait(3 * LARGE)
        connection = Connected(account).connection
        self.assertFalse(connection.begin_work())
        answers[0].holding.release()
        self.assertTrue(connection.begin_work())

    # Guards against an answer that holds the room that it was refused.
    @paused
    async def test_answer_without_room_holds_what_it_held(self, account):
        self.assertTrue(Answer(account).holding.hold(2 * LARGE))
        answer = Answer(account)
        self.assertTrue(answer.holding.hold(LARGE))
        self.assertFalse(answer.holding.hold(2 * LARGE))
        self.assertEqual(account.answer_bytes, 3 * LARGE)

    # Guards against a legal request whose answer is refused in calm.
    @paused
    async def test_single_answer_fits_whatever_its_size(self, account):
        answer = Answer(account)
        self.assertTrue(answer.holding.request.finish(3 * LARGE))
        self.assertTrue(answer.holding.hold(10 * LIMITS.request_bytes))

    # Guards against unread answers whose connections keep others out.
    @paused
    async def test_connection_of_an_unread_answer_yields(self, account):
        working = [Connected(account).connection for _ in range(2)]
        answers = [Answer(account, each) for each in working]
        for connection, answer in zip(working, answers, strict=True):
            self.assertTrue(connection.begin_work())
            answer.holding.wait(KIB)
        refused, idle = Connected(account).connection, Connected(account)
        self.assertFalse(refused.begin_work())
        self.assertTrue(idle.has_yielded)
        idle = Connected(account)
        await anyio.sleep(2.1)
        self.assertTrue(refused.begin_work())
        self.assertTrue(idle.has_yielded)
        self.assertEqual([each.has_yielded for each in answers], [True, False])


class TestConnections(unittest.TestCase):
    # Guards against idle and stalled callers who lock newcomers out.
    @paused
    async def test_connections_yield_by_phase_and_age(self, account):
        phases = (Phase.BODY, Phase.HEAD, Phase.IDLE, Phase.IDLE)
        opened = [Connected(account) for _ in phases]
        for each, phase in zip(opened, phases, strict=True):
            each.connection.enter(phase)
        order = []
        for _ in range(2):
            self.assertTrue(Connected(account).connection.begin_work())
            order.append([each.has_yielded for each in opened])
        Connected(account)
        order.append([each.has_yielded for each in opened])
        self.assertEqual(
            order,
            [
                [False, False, True, False],
                [False, False, True, True],
                [False, True, True, True],
            ],
        )

    # Guards against answers under way that are cut for a newcomer.
    @paused
    async def test_request_at_work_never_yields(self, account):
        working = [Connected(account) for _ in range(2)]
        for each in working:
            self.assertTrue(each.connection.begin_work())
        for _ in range(6):
            Connected(account)
        self.assertFalse(any(each.has_yielded for each in working))

    # Guards against a request that has come and is dropped unanswered.
    @paused
    async def test_idle_connection_with_a_request_stays(self, account):
        busy = Connected(account, has_input=True)
        idle = [Connected(account) for _ in range(3)]
        Connected(account)
        self.assertFalse(busy.has_yielded)
        self.assertTrue(idle[0].has_yielded)

    # Guards against descriptors that are counted twice, or never given back.
    @paused
    async def test_closed_connections_are_free_again(self, account):
        for _ in range(20):
            each = Connected(account)
            self.assertTrue(each.connection.begin_work())
            each.connection.end_work()
            each.connection.close()
        self.assertEqual((account.descriptors, account.sockets), (0, 0))

    # Guards against accepts ahead of the closing of those that yielded.
    @paused
    async def test_no_more_are_accepted_than_can_be_open(self, account):
        accepted = 0
        while account.may_accept(0):
            Connected(account)
            accepted += 1
        self.assertEqual(accepted, LIMITS.descriptors + 32)

    # Guards against accepts that leave requests at work no descriptors.
    @paused
    async def test_requests_at_work_count_where_more_are_accepted(
        self, account
    ):
        self.assertTrue(Connected(account).connection.begin_work())
        while account.may_accept(0):
            Connected(account)
        self.assertEqual(account.sockets + 2, LIMITS.descriptors + 32)


class TestLimits(unittest.TestCase):
    def test_limits_hold_on_vms_of_all_sizes(self):
        for memory_mb in (160, 200, 300, 552):
            limits = find_limits(
                memory_mb=memory_mb, descriptors=4100, own_bytes=96 * MIB
            )
            with self.subTest(memory_mb=memory_mb):
                held = limits.request_bytes + limits.connections * 112 * KIB
                self.assertLessEqual(held + 96 * MIB, memory_mb * MIB)
                self.assertGreaterEqual(
                    limits.large_request_bytes, 4 * 4 * MIB
                )
                self.assertLess(limits.descriptors, 4100 - 500)

"""The cases that each listener has to stand, one test a crowd."""

import time

import anyio

from tests.support import crowds

ASK_S = 30.0
"""How long an ordinary caller goes on asking; it bounds a hanging test."""
PAUSE_S = 0.2
SPARE_DESCRIPTORS = 32
"""Descriptors that have to be left for endpoints, peers and the platform."""


class CrowdChecks:
    """Checks at one listener; the class names process, head and bound."""

    memory_bytes = 0
    """Memory of the VM that the process runs on."""
    largest_body = 4 * crowds.MIB
    descriptors = crowds.DESCRIPTORS
    """Most descriptors of the process."""

    def start(self):
        """Start the process; set `process` and `address`."""
        raise NotImplementedError

    def head(self, framing):
        """Return the head of a request whose body is framed like that."""
        raise NotImplementedError

    async def ask(self):
        """Send one ordinary request; return whether it was answered."""
        raise NotImplementedError

    async def ask_large(self):
        """Send one request of the largest legal size; return its status."""
        raise NotImplementedError

    async def ask_until_answered(self):
        """Ask as a caller does that comes again when it is refused."""
        ends_at = time.monotonic() + ASK_S
        while time.monotonic() < ends_at:
            if await self.ask():
                return True
            await anyio.sleep(PAUSE_S)
        return False

    def watch(self):
        port = int(self.address.rpartition(':')[2])
        return crowds.Watch(pid=self.process.popen.pid, port=port)

    def check(self, crowd):
        """Play a crowd; check life, answers, memory and descriptors.

        An ordinary request is sent beside the crowd and once it has left.
        """
        self.start()
        run = crowds.CrowdRun(
            crowd=crowd,
            address=self.address,
            head=self.head,
            largest=self.largest_body,
        )
        watch = self.watch()

        async def play():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(watch.run)
                is_answered = await run.play(self.ask_until_answered)
                tasks.cancel_scope.cancel()
            return is_answered

        is_answered = anyio.run(play)
        self.assertIsNone(self.process.popen.poll(), 'the process has ended')
        held = watch.held()
        self.assertTrue(is_answered, 'no answer to an ordinary request')
        self.assertTrue(
            anyio.run(self.ask_until_answered),
            'no answer to an ordinary request behind the crowd',
        )
        self.assertLess(held.memory_bytes, self.memory_bytes)
        self.assertLessEqual(
            held.descriptors, self.descriptors - SPARE_DESCRIPTORS
        )


class CrowdCases(CrowdChecks):
    """Crowds that each listener has to stand."""

    # Guards against bodies of legal size that fill the memory together.
    def test_large_bodies_whole(self):
        self.check(crowds.LARGE_WHOLE)

    def test_large_bodies_piece_by_piece(self):
        self.check(crowds.LARGE_IN_PIECES)

    # Guards against bodies that are held while their end never comes.
    def test_large_bodies_just_short_of_their_end(self):
        self.check(crowds.LARGE_SHORT)

    def test_large_chunks(self):
        self.check(crowds.CHUNKED_LARGE)

    # Guards against chunks that take all turns of the event loop.
    def test_very_small_chunks(self):
        self.check(crowds.CHUNKED_SMALL)

    def test_chunks_just_short_of_the_last(self):
        self.check(crowds.CHUNKED_SHORT)

    # Guards against bodies that are kept until they are over the limit.
    def test_over_the_limit_announced(self):
        self.check(crowds.OVER_ANNOUNCED)

    def test_over_the_limit_just_sent(self):
        self.check(crowds.OVER_SENT)

    # Guards against connections that use up the descriptors.
    def test_many_connections_just_short_of_their_end(self):
        self.check(crowds.MANY_OPEN)

    def test_heads_that_wait_to_go_on(self):
        self.check(crowds.WAITING_TO_GO_ON)

    # Guards against requests that are read before their turn.
    def test_requests_sent_ahead(self):
        self.check(crowds.AHEAD)

    def test_all_kinds_at_once(self):
        self.check(crowds.ALL_AT_ONCE)

    def test_calm_single_request(self):
        self.start()
        self.assertEqual(anyio.run(self.ask_large), 200)
        self.assertIsNone(self.process.popen.poll())
        self.assertLess(self.watch().held().memory_bytes, self.memory_bytes)


class UnreadAnswerCases(CrowdChecks):
    """Crowds that ask for answers and don't read them."""

    descriptors = 1024
    answer_path = ''
    """Path of requests whose answer has the number of bytes put into it."""

    def play(self, answer_bytes, crowd=crowds.ANSWERS_UNREAD):
        self.path = self.answer_path.format(answer_bytes)
        self.check(crowd)

    # Guards against answers that are held until their caller takes them.
    def test_answers_of_one_megabyte(self):
        self.play(1000 * crowds.KIB)

    def test_long_answers(self):
        self.play(8 * crowds.MIB)

    # Guards against buffers that have grown while callers read.
    def test_long_answers_half_read(self):
        self.play(8 * crowds.MIB, crowds.ANSWERS_HALF_READ)

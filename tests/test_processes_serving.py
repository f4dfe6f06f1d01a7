"""Model requests through real processes that die, stop and freeze."""

import threading
import unittest
from concurrent.futures import ThreadPoolExecutor

from mimosamux_daemon.adapters.memory_engine import expected_token

from tests.support.processes import processes
from tests.support.site import RealSite

PROMPT = 'plan a trip to the lake'
TOKENS = 150
WAIT_S = 60.0


def whole_answer() -> str:
    return ''.join(
        expected_token(f'user: {PROMPT}', offset) for offset in range(TOKENS)
    )


class RunningRequest:
    """A caller's request in a thread, and a sign of its first tokens."""

    def __init__(self, site, *daemons, work_class='draft'):
        self.begun = threading.Event()
        self.caller = site.caller(*daemons, on_text=self.note)
        self.caller.headers['X-Mimosamux-Class'] = work_class
        self.pool = ThreadPoolExecutor(max_workers=1)
        self.future = self.pool.submit(self.run)

    def note(self, text):
        if text:
            self.begun.set()

    def run(self):
        return self.caller.complete(
            {
                'model': 'demo',
                'stream': True,
                'max_tokens': TOKENS,
                'messages': [{'role': 'user', 'content': PROMPT}],
            }
        )

    def wait_begun(self):
        if not self.begun.wait(WAIT_S):
            raise AssertionError('no token came')

    def answer(self):
        try:
            return self.future.result(WAIT_S)
        finally:
            self.pool.shutdown()


class TestServingProcesses(unittest.TestCase):
    def setUp(self):
        started = processes()
        self.site = RealSite(
            processes=started.__enter__(), daemons={'a': 1, 'b': 1}
        )
        self.addCleanup(started.__exit__, None, None, None)
        self.site.start_engines('a', 'b')
        self.site.start(address_ttl_s=1.0, stop_grace_s=0.5)

    def engine_of(self, *known):
        """Return the engine that has an attempt which still runs."""
        for name in self.site.engines:
            runs = self.site.runs_at(name)
            if any(not run['ended'] for run in runs):
                return name
        raise AssertionError('no engine runs the request')

    def test_death_of_an_engine_is_not_seen_by_the_caller(self):
        """An endpoint VM is lost without a notice in the middle of a draft.

        A teacher would see half an itinerary; the other engine has to go
        on behind the last token.
        """
        request = RunningRequest(self.site, 'a1')
        request.wait_begun()
        self.site.engines[self.engine_of()].kill()
        self.assertEqual(request.answer().text, whole_answer())

    def test_a_frozen_engine_is_given_up_on(self):
        """An engine stands still with its connections open.

        Without a limit on its silence the teacher would wait for ever.
        """
        request = RunningRequest(self.site, 'a1')
        request.wait_begun()
        self.site.engines[self.engine_of()].freeze()
        self.assertEqual(request.answer().text, whole_answer())

    def test_a_reclaimed_engine_hands_its_stream_on(self):
        """The platform takes an endpoint VM back with seconds of notice."""
        request = RunningRequest(self.site, 'a1')
        request.wait_begun()
        reclaimed = self.engine_of()
        self.site.reclaim(reclaimed, 2.0)
        answer = request.answer()
        self.assertEqual(answer.text, whole_answer())
        others = [name for name in self.site.engines if name != reclaimed]
        resumed = [
            run['resumed_at']
            for name in others
            for run in self.site.runs_at(name)
        ]
        self.assertTrue(all(offset > 0 for offset in resumed))

    def test_a_durable_request_survives_the_death_of_its_daemon(self):
        """An entry VM is lost in the middle of a draft.

        The caller comes back elsewhere under the same key and must get a
        whole answer, not two halves.
        """
        request = RunningRequest(self.site, work_class='lasting')
        request.wait_begun()
        holder = self.site.daemons['a1']
        holder.kill()
        self.assertEqual(request.answer().text, whole_answer())

    def test_a_planned_stop_cuts_off_no_stream(self):
        """An operator stops a daemon while it streams a draft."""
        request = RunningRequest(self.site, 'a1')
        request.wait_begun()
        self.site.daemons['a1'].terminate()
        self.assertEqual(request.answer().text, whole_answer())
        self.assertEqual(self.site.daemons['a1'].wait(), 0)

    def test_a_reclaimed_entry_vm_hands_its_streams_over(self):
        """The platform takes an entry VM back with seconds of notice.

        Its streams go on at another daemon, whose address the caller is
        told; a teacher sees one unbroken itinerary.
        """
        self.site.wait_for_peer('a1', timeout_s=WAIT_S)
        request = RunningRequest(self.site, 'a1')
        request.wait_begun()
        self.site.reclaim('a1', 7.0)
        self.assertEqual(request.answer().text, whole_answer())
        self.assertEqual(self.site.daemons['a1'].wait(), 0)
        resumed = [
            run
            for name in self.site.engines
            for run in self.site.runs_at(name)
            if run['resumed_at']
        ]
        self.assertEqual(len(resumed), 1)

    def test_a_frozen_daemon_is_left_by_its_caller(self):
        """An entry VM stands still with the caller's connection open.

        The caller hears no sign of life and goes to another daemon.
        """
        self.site.wait_for_peer('a1', timeout_s=WAIT_S)
        request = RunningRequest(self.site, 'a1', work_class='lasting')
        request.wait_begun()
        self.site.daemons['a1'].freeze()
        self.assertEqual(request.answer().text, whole_answer())
        self.site.daemons['a1'].thaw()

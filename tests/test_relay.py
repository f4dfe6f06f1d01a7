"""Only the right frames of the right attempt reach a caller."""

import unittest

import anyio
from mimosamux_daemon.adapters.memory_engine import FaultKind
from mimosamux_daemon.domain.engine import EngineCall, StreamEnd, TokenFrame
from mimosamux_daemon.domain.names import RequestId
from mimosamux_daemon.serving.relay import FrameFault, find_fault

from tests.support.clock import run_paused
from tests.support.serving import MODEL, is_whole, open_site

CALL = EngineCall(
    request=RequestId('r'), attempt=2, model=MODEL, prompt='a', max_tokens=9
)


def frame(offset=4, tokens=('x',), attempt=2, request='r'):
    return TokenFrame(
        request=RequestId(request),
        attempt=attempt,
        offset=offset,
        tokens=tokens,
    )


class TestFindFault(unittest.TestCase):
    def test_each_frame_is_judged_against_what_was_received(self):
        cases = [
            (frame(), None),
            (frame(offset=3, tokens=('w', 'x')), None),
            (frame(offset=3), FrameFault.REPEATED),
            (frame(offset=5), FrameFault.GAP),
            (frame(attempt=1), FrameFault.OLD_ATTEMPT),
            (frame(attempt=3), FrameFault.OLD_ATTEMPT),
            (frame(request='s'), FrameFault.FOREIGN),
        ]
        for event, fault in cases:
            with self.subTest(event=event):
                self.assertEqual(find_fault(event, CALL, 4), fault)

    def test_an_end_marker_has_to_agree_with_what_was_received(self):
        for total, fault in [
            (4, None),
            (3, FrameFault.WRONG_TOTAL),
            (5, FrameFault.WRONG_TOTAL),
        ]:
            end = StreamEnd(request=CALL.request, attempt=2, total=total)
            self.assertEqual(find_fault(end, CALL, 4), fault)


class TestFaultyFrames(unittest.TestCase):
    """Frames go wrong on their way.

    An engine or the network doubles, crosses, repeats, loses or cuts
    frames. Without the relay's check a teacher reads another school's
    itinerary, or one with lines missing or twice.
    """

    def test_every_kind_of_fault_is_kept_from_the_caller(self):
        run_paused(self._send_faults)

    async def _send_faults(self):
        faults = [kind for kind in FaultKind if kind is not FaultKind.REFUSED]
        for kind in faults:
            with self.subTest(kind=kind):
                async with open_site(engines=2) as site:
                    active = await site.offer('plan a class trip')
                    await anyio.sleep(0.5)
                    for engine in site.engines.by_id.values():
                        engine.inject(kind)
                    await active.wait_ended()
                    self.assertTrue(is_whole(active), active)

    def test_dropped_frames_are_counted(self):
        async def check():
            async with open_site(engines=1) as site:
                active = await site.offer('plan a class trip')
                engine = site.engines.by_id['e1']
                for kind in (
                    FaultKind.DOUBLED,
                    FaultKind.CROSSED,
                    FaultKind.LATE,
                ):
                    engine.inject(kind)
                await active.wait_ended()
                for fault in ('repeated', 'foreign', 'old_attempt'):
                    self.assertEqual(
                        site.value('frames_dropped', fault=fault), 1, fault
                    )

        run_paused(check)

"""Proof that the process of an endpoint lives on, and what it costs."""

import unittest

import anyio
from mimosamux_daemon.domain.gateway import ListedEndpoint
from mimosamux_daemon.gateway.answers.process_proofs import (
    PROOF_TIMEOUT_S,
    ProcessProofs,
)
from mimosamux_daemon.gateway.balancing.endpoint_record import EndpointRecord
from mimosamux_daemon.gateway.configuration import ConfirmedConfiguration
from mimosamux_daemon.ports.endpoint_calls import ProcessState

from tests.support.clock import run_paused

ANSWER_S = 0.1


class FakeCalls:
    """Answers questions late; `states` are those of the next questions."""

    def __init__(self, *states, answer_s=ANSWER_S):
        self.answer_s = answer_s
        self.asked_at = []
        self.states = list(states)

    async def ask_process(self, endpoint, service, *, on_new_connection):
        self.asked_at.append(anyio.current_time())
        state = self.states.pop(0) if self.states else ProcessState.RUNNING
        if state is None:
            await anyio.sleep_forever()
        await anyio.sleep(self.answer_s)
        return state


def make_record():
    listed = ListedEndpoint(
        id='i-1',
        service='llm',
        address='10.0.0.1:1',
        data_centre='north',
        slots=8,
    )
    return EndpointRecord(listed=listed, listed_at=0.0)


async def find(proofs, record, states):
    states.append(await proofs.find_state(record))


def play(calls, check):
    async def run():
        proofs = ProcessProofs(
            calls=calls,
            configuration=ConfirmedConfiguration(clock=anyio.current_time),
            clock=anyio.current_time,
        )
        return await check(proofs, make_record())

    return run_paused(run)


class TestProcessProofs(unittest.TestCase):
    def test_ends_during_a_question_share_the_next_one(self):
        calls = FakeCalls()
        states = []

        async def check(proofs, record):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(find, proofs, record, states)
                await anyio.sleep(ANSWER_S / 2)
                for _ in range(20):
                    tasks.start_soon(find, proofs, record, states)

        play(calls, check)
        self.assertEqual(states, [ProcessState.RUNNING] * 21)
        self.assertEqual(len(calls.asked_at), 2)

    def test_an_answer_to_an_earlier_question_proves_nothing(self):
        # Guards against a process that ends behind a question it answered.
        calls = FakeCalls(ProcessState.RUNNING, ProcessState.ENDED)
        states = []

        async def check(proofs, record):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(find, proofs, record, states)
                await anyio.sleep(ANSWER_S / 2)
                tasks.start_soon(find, proofs, record, states)

        play(calls, check)
        self.assertEqual(states, [ProcessState.RUNNING, ProcessState.ENDED])

    def test_a_connection_that_is_reset_is_followed_by_another_question(self):
        calls = FakeCalls(ProcessState.UNKNOWN, ProcessState.UNKNOWN)

        async def check(proofs, record):
            return await proofs.find_state(record)

        self.assertIs(play(calls, check), ProcessState.RUNNING)

    def test_a_silent_process_is_unknown_for_all_who_ask(self):
        calls = FakeCalls(None, None)
        states = []

        async def check(proofs, record):
            async def find_timed():
                began_at = anyio.current_time()
                await find(proofs, record, states)
                waits.append(anyio.current_time() - began_at)

            waits = []
            async with anyio.create_task_group() as tasks:
                for _ in range(3):
                    tasks.start_soon(find_timed)
            return waits

        waits = play(calls, check)
        self.assertEqual(states, [ProcessState.UNKNOWN] * 3)
        self.assertLessEqual(max(waits), PROOF_TIMEOUT_S + 0.01)

    def test_a_caller_that_leaves_does_not_end_the_question_of_others(self):
        calls = FakeCalls()

        async def check(proofs, record):
            async with anyio.create_task_group() as tasks:

                async def leave():
                    with anyio.move_on_after(ANSWER_S / 2):
                        await proofs.find_state(record)

                tasks.start_soon(leave)
                await anyio.sleep(ANSWER_S / 4)
                return await proofs.find_state(record)

        self.assertIs(play(calls, check), ProcessState.RUNNING)

    def test_an_answered_request_proves_what_ended_before_it(self):
        # Guards against busy plain endpoints whose whole answers are lost.
        states = []

        async def check(proofs, record):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(find, proofs, record, states)
                await anyio.sleep(ANSWER_S)
                sent_at = anyio.current_time()
                await anyio.sleep(ANSWER_S)
                tasks.start_soon(find, proofs, record, states)
                await anyio.sleep(ANSWER_S)
                proofs.note_answer(record, sent_at)

        play(FakeCalls(None, None, None), check)
        self.assertEqual(states, [ProcessState.RUNNING, ProcessState.UNKNOWN])

    def test_ends_at_an_endpoint_whose_answers_take_a_second_are_proved(self):
        # Guards against questions that are given up one after the other.
        for answer_s in (0.6, 0.8, 1.0, 1.2):
            calls = FakeCalls(answer_s=answer_s)
            states = []

            async def check(proofs, record, states=states):
                async with anyio.create_task_group() as tasks:
                    for _ in range(100):
                        tasks.start_soon(find, proofs, record, states)
                        await anyio.sleep(ANSWER_S)

            with self.subTest(answer_s=answer_s):
                play(calls, check)
                self.assertEqual(states, [ProcessState.RUNNING] * 100)
                self.assertLess(len(calls.asked_at), 60)

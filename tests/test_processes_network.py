"""Streams between a daemon and its engines over a network that fails."""

import unittest

import httpx

from tests.support.processes import processes
from tests.support.site import RealSite
from tests.test_processes_serving import RunningRequest, whole_answer

FAULTS = (
    {'half_open': True},
    {'blackhole': True},
    {'delay_s': 0.3},
)


class TestNetworkFaults(unittest.TestCase):
    def setUp(self):
        started = processes()
        self.processes = started.__enter__()
        self.addCleanup(started.__exit__, None, None, None)
        self.site = RealSite(processes=self.processes, daemons={'a': 1})
        self.site.start_engines('a', 'b')
        self.controls = {
            name: self.put_proxy_before(name, engine)
            for name, engine in self.site.engines.items()
        }
        self.site.start()

    def put_proxy_before(self, name, engine):
        """Have an engine reached through a proxy; return its control."""
        proxy = self.processes.start_standin('proxy', engine.address)
        self.site.list_vm(name, address=proxy.address, model='demo')
        line = proxy.wait_for_line('control')
        return f'http://{line.split()[-1]}/control'

    def running_engine(self):
        for name in self.site.engines:
            runs = self.site.runs_at(name)
            if any(not run['ended'] for run in runs):
                return name
        raise AssertionError('no engine runs the request')

    def answer_through(self, break_network):
        """Return an answer whose network breaks in the middle of it."""
        request = RunningRequest(self.site, 'a1')
        request.wait_begun()
        break_network(self.controls[self.running_engine()])
        text = request.answer().text
        for control in self.controls.values():
            httpx.post(control, json={}).raise_for_status()
        return text

    def test_answers_stay_whole_over_a_network_that_fails(self):
        """Connections to an engine are cut, half open, silent or slow.

        A teacher would see an itinerary that stops, skips a day, or says
        one twice.
        """
        cut = self.answer_through(
            lambda control: httpx.post(f'{control}/cut').raise_for_status()
        )
        self.assertEqual(cut, whole_answer())
        for faults in FAULTS:
            text = self.answer_through(
                lambda control, faults=faults: httpx.post(
                    control, json=faults
                ).raise_for_status()
            )
            self.assertEqual(text, whole_answer(), faults)

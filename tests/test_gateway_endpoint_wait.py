"""Requests that wait while a service has no endpoint."""

import unittest
from dataclasses import replace

import anyio
from mimosamux_daemon.domain.routes import ScalingBounds
from mimosamux_daemon.gateway.admission.endpoint_wait import (
    MAX_WAITING,
    EndpointWait,
)
from mimosamux_daemon.gateway.metrics import GatewayMetrics

from tests.support.clock import run_paused
from tests.support.queueing import make_job

BOOT_S = 4.0
BOUNDS = ScalingBounds(
    min_endpoints=1,
    max_endpoints=9,
    boot_s=BOOT_S,
    reclaimable_price=0.2,
    price_by_data_centre={},
)


class Service:
    """A service whose endpoints come and go, and requests that wait."""

    def __init__(self, tasks):
        self.tasks = tasks
        self.endpoints = 0
        self.ended = []
        self.waits = EndpointWait(
            is_enabled=lambda: True,
            has_endpoints=lambda service: self.endpoints > 0,
            metrics=GatewayMetrics(),
            clock=anyio.current_time,
        )

    def send(self, name='r', *, limit_s=15.0, bounds=BOUNDS, **fields):
        job = make_job(name, limit_s=limit_s, **fields)
        job.service = replace(job.service, scaling=bounds)
        self.tasks.start_soon(self._wait, job)

    async def _wait(self, job):
        started_at = anyio.current_time()
        is_served = await self.waits.wait(job)
        waited_s = round(anyio.current_time() - started_at, 1)
        self.ended.append((job.request.id, is_served, waited_s))


def run_service(check):
    async def run():
        async with anyio.create_task_group() as tasks:
            service = Service(tasks)
            await check(service)
            tasks.cancel_scope.cancel()
        return service.ended

    return run_paused(run)


class TestEndpointWait(unittest.TestCase):
    def test_request_goes_on_once_an_endpoint_is_listed(self):
        """Guards against a refusal of callers that can wait for a boot."""

        async def check(service):
            service.send()
            await anyio.sleep(BOOT_S)
            service.endpoints = 1
            service.waits.note_change()
            await anyio.sleep(0.1)

        self.assertEqual(run_service(check), [('r', True, BOOT_S)])

    def test_request_that_no_ordered_endpoint_can_serve_ends_at_once(self):
        """Guards against callers held until their deadline for nothing."""

        async def check(service):
            service.send('short', limit_s=3.0)
            service.send('fixed', bounds=None)
            service.send('sent', sends=1)
            await anyio.sleep(0.1)

        self.assertEqual(
            sorted(run_service(check)),
            [
                ('fixed', False, 0.0),
                ('sent', False, 0.0),
                ('short', False, 0.0),
            ],
        )

    def test_wait_ends_in_time_for_a_retry(self):
        """Guards against waits that use up the caller's whole time."""

        async def check(service):
            service.send()
            service.waits.note_change()
            await anyio.sleep(15.0)

        self.assertEqual(run_service(check), [('r', False, 7.5)])

    def test_daemon_that_stops_ends_all_waits(self):
        """Guards against a stop that takes as long as the longest wait."""

        async def check(service):
            service.send()
            await anyio.sleep(1.0)
            service.waits.close()
            service.send('later')
            await anyio.sleep(0.1)

        self.assertEqual(
            sorted(run_service(check)),
            [('later', False, 0.0), ('r', False, 1.0)],
        )

    def test_number_of_waiting_requests_is_bounded(self):
        """Guards against memory that a flood without endpoints fills."""

        async def check(service):
            for number in range(MAX_WAITING + 5):
                service.send(f'r-{number}')
            await anyio.sleep(0.1)

        self.assertEqual(len(run_service(check)), 5)

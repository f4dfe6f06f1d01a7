"""Health and metrics routes."""

import unittest

import anyio
import httpx
from mimosamux_daemon.api.monitoring import MonitoringRoutes
from mimosamux_daemon.control.configuration import ConfigurationInForce
from mimosamux_daemon.domain.configuration import Configuration
from mimosamux_daemon.metrics import Metrics
from starlette.applications import Starlette


async def fetch(path, **fields):
    in_force = ConfigurationInForce()
    in_force.update(Configuration(version=fields.pop('version', 1)))
    routes = MonitoringRoutes(in_force=in_force, **fields).routes()
    transport = httpx.ASGITransport(app=Starlette(routes=routes))
    async with httpx.AsyncClient(
        transport=transport, base_url='http://daemon'
    ) as client:
        return await client.get(path)


class TestMonitoring(unittest.TestCase):
    def test_metrics_are_rendered_as_text(self):
        metrics = Metrics()
        metrics.choices.inc({'near': 'yes', 'cached': 'no'})
        answer = anyio.run(lambda: fetch('/metrics', metrics=metrics))
        self.assertEqual(answer.status_code, 200)
        self.assertIn('text/plain', answer.headers['content-type'])
        self.assertIn('mimosamux_choices_total{', answer.text)

    def test_ready_needs_a_configuration_and_no_reason_against(self):
        answer = anyio.run(lambda: fetch('/readyz'))
        self.assertEqual(answer.status_code, 200)
        answer = anyio.run(lambda: fetch('/readyz', version=0))
        self.assertEqual(answer.status_code, 503)
        checks = (lambda: None, lambda: 'stopping')
        answer = anyio.run(lambda: fetch('/readyz', readiness=checks))
        self.assertEqual(answer.status_code, 503)
        self.assertEqual(answer.text, 'stopping\n')

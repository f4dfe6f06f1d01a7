"""Daemons and the stand-in platform as processes, and callers of them."""

import json
import time
from contextlib import contextmanager
from dataclasses import dataclass, field

import anyio
import httpx
from mimosamux_daemon.adapters.tcp_network import TcpNetwork
from mimosamux_standins.site import StandInCaller
from mimosamux_standins.site.local import gateway_settings

from tests.support.processes import Process, Processes, processes

ZONES = ('north', 'middle', 'south')
HOST = '127.0.0.1'
TOLD_CHARACTERS = 4000
"""Of each daemon's log, the last."""
WAIT_S = 20.0
POLL_S = 0.02
PROMPT = ((b'X-Model', b'm'), (b'X-Token-Usage', b'1460,80'))


@dataclass(kw_only=True)
class Daemon:
    """A daemon's process and where it listens."""

    process: Process
    settings: dict

    @property
    def entry(self):
        return self.settings['listen']['entry']

    @property
    def name(self):
        return self.settings['daemon']

    def is_ready(self):
        address = self.settings['listen']['readiness']
        try:
            answer = httpx.get(f'http://{address}/api/readyz', trust_env=False)
        except httpx.HTTPError:
            return False
        return answer.status_code == 200


@dataclass(kw_only=True)
class PlatformProcesses:
    """The platform's process, and daemons that use it."""

    started: Processes
    control: str
    store: str
    cloud: str
    daemons: list = field(default_factory=list)
    daemon_settings: dict = field(default_factory=dict)
    """Settings of each daemon that differ from the usual ones."""

    def start_daemon(self, *, store=None, settings=None):
        """Start a daemon; with settings, another one with the same."""
        daemon = self.launch_daemon(store=store, settings=settings)
        daemon.process.wait_for_text('event=ready')
        return daemon

    def launch_daemon(self, *, store=None, settings=None):
        """Start a daemon as `start_daemon` does, without waiting for it."""
        if settings is None:
            number = len(self.daemons)
            ports = [f'{HOST}:{self.started.reserve_port()}' for _ in range(5)]
            settings = gateway_settings(
                f'edge-{number + 1}',
                ZONES[number % 3],
                store=store or self.store,
                cloud=self.cloud,
                ports=ports,
            )
            settings |= self.daemon_settings
        process = self.started.start_daemon(**settings)
        daemon = Daemon(process=process, settings=settings)
        self.daemons.append(daemon)
        return daemon

    def command(self, path, **body):
        """Spoil something in the platform."""
        answer = httpx.post(
            f'http://{self.control}{path}', json=body, trust_env=False
        )
        answer.raise_for_status()
        return answer.json()

    def seen(self):
        """Return what the platform has seen."""
        return self.command('/seen')

    def runs_of(self, id_):
        return [run for run in self.seen()['runs'] if run['id'] == id_]

    def wait_for(self, condition, what):
        """Return what a condition gives once it gives anything."""
        end = time.monotonic() + WAIT_S
        while time.monotonic() < end:
            found = condition()
            if found:
                return found
            time.sleep(POLL_S)
        raise AssertionError(f'no {what} within {WAIT_S} s\n{self.tell()}')

    def tell(self):
        """End the daemons; return what the platform saw and they logged.

        A failure that shows once has to be traced from this alone.
        """
        told = [json.dumps(self.seen()['runs'])]
        for daemon in self.daemons:
            daemon.process.kill()
            told.append(daemon.process.read_rest()[-TOLD_CHARACTERS:])
        return '\n'.join(told)

    def wait_for_holder(self, *, but=''):
        """Return the daemon that acts under the duties' lease."""
        names = {daemon.name: daemon for daemon in self.daemons}

        def find():
            calls = [
                call
                for call in self.seen()['duty_calls']
                if call['is_taken'] and call['holder'] != but
            ]
            return names[calls[-1]['holder']] if calls else None

        return self.wait_for(find, 'holder of the duties')


@contextmanager
def platform_processes(
    *, daemons=3, daemon_descriptors=None, daemon_settings=None, **options
):
    """Give the platform and some daemons, and end all of them."""
    with processes() as started:
        started.descriptors = daemon_descriptors
        arguments = [
            f'--{name}={json.dumps(value)}' for name, value in options.items()
        ]
        site = started.start_standin('site', *arguments)
        _, store, cloud, control = site.wait_for_line('listening').split()
        platform = PlatformProcesses(
            started=started,
            control=control,
            store=store,
            cloud=cloud,
            daemon_settings=daemon_settings or {},
        )
        for _ in range(daemons):
            platform.start_daemon()
        platform.wait_for(
            lambda: all(daemon.is_ready() for daemon in platform.daemons),
            'ready daemons',
        )
        yield platform


async def send(entry, target, *, key='key-school', **fields):
    """Send one request as a caller does."""
    patience_s = fields.pop('patience_s', 10.0)
    caller = StandInCaller(
        network=TcpNetwork(),
        key=key,
        patience_s=patience_s,
        leaves_after_s=fields.pop('leaves_after_s', None),
    )
    try:
        return await caller.send(entry, target, **fields)
    finally:
        await caller.channels.close()


def send_one(entry, target, **fields):
    """Send one request from a test that is not asynchronous."""

    async def run():
        return await send(entry, target, **fields)

    return anyio.run(run)

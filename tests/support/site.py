"""A small site of real processes: a platform and daemons on loopback."""

import hashlib
import time
from collections.abc import Callable
from typing import Any

import httpx
from mimosamux_cli.addresses import EntryAddresses
from mimosamux_cli.caller import Caller

from tests.support.processes import Process, Processes

KEY = 'school-key'
TOKEN = 'operator-token'
CONFIGURATION: dict[str, Any] = {
    'classes': {
        'draft': {'first_token_s': 5.0},
        'lasting': {'first_token_s': 5.0, 'durable': True},
        'slip': {
            'first_token_s': 2.0,
            'deadline_s': 20.0,
            'repeatable': False,
        },
    },
    'models': {'demo': {'version': '1'}},
    'services': {'mail': {'work_class': 'slip'}},
    'accounts': {
        'school': {'key_digests': [hashlib.sha256(KEY.encode()).hexdigest()]}
    },
    'data_centres': ['a', 'b', 'c'],
}


class RealSite:
    """Starts daemons `a1`, `a2`, ... and speaks to them as an operator."""

    def __init__(
        self, *, processes: Processes, daemons: dict[str, int]
    ) -> None:
        self.processes = processes
        self.platform = processes.start_standin('platform')
        names = [
            f'{data_centre}{number}'
            for data_centre, count in daemons.items()
            for number in range(1, count + 1)
        ]
        self.ports = {
            name: (processes.reserve_port(), processes.reserve_port())
            for name in names
        }
        self.daemons: dict[str, Process] = {}
        self.engines: dict[str, Process] = {}

    def start(self, *names: str, **settings: Any) -> None:
        """Start daemons, all if none is named, and wait until ready."""
        for name in names or tuple(self.ports):
            self.daemons[name] = self._start_one(name, settings)
        for name in names or tuple(self.ports):
            self.daemons[name].wait_until_ready()

    def start_engines(
        self, *data_centres: str, decode_interval_s: float = 0.02
    ) -> None:
        """Start an engine `engine-DC` in each data centre, and list it."""
        for data_centre in data_centres:
            name = f'engine-{data_centre}'
            self.engines[name] = self.processes.start_standin(
                'engine',
                f'--identity={name}',
                f'--data_centre={data_centre}',
                f'--decode_interval_s={decode_interval_s}',
            )
        for name, engine in self.engines.items():
            self.list_vm(name, address=engine.address, model='demo')

    def list_vm(self, name: str, **fields: Any) -> None:
        """Have the platform list an endpoint VM."""
        self.control_platform(
            'vms',
            vm={
                'id': name,
                'data_centre': name[-1],
                'machine_class': 'standard',
                'market': 'reclaimable',
                'role': 'endpoint',
                'state': 'live',
                **fields,
            },
        )

    def reclaim(self, name: str, seconds_left: float) -> None:
        """Have the platform take a VM back after a notice."""
        self.control_platform('notices', vm=name, seconds_left=seconds_left)

    def runs_at(self, engine: str) -> list[dict[str, Any]]:
        """Return the attempts that an engine recorded."""
        address = self.engines[engine].address
        runs: list[dict[str, Any]] = httpx.get(
            f'http://{address}/control/runs'
        ).json()
        return runs

    def caller(
        self, *names: str, on_text: Callable[[str], None] = lambda text: None
    ) -> Caller:
        """Return a client that knows some daemons, all if none named."""
        headers = {
            'Authorization': f'Bearer {KEY}',
            'X-Mimosamux-Class': 'draft',
        }
        seeds = [self.daemons[name].address for name in names or self.daemons]
        return Caller(
            addresses=EntryAddresses(seeds=seeds, headers=headers),
            headers=headers,
            sleep=time.sleep,
            on_text=on_text,
        )

    def operate(
        self, name: str, method: str, path: str, **content: Any
    ) -> httpx.Response:
        """Send a call of the operator API to one daemon."""
        return httpx.request(
            method,
            f'http://{self.daemons[name].address}/v1/operator/{path}',
            headers={'Authorization': f'Bearer {TOKEN}'},
            timeout=30.0,
            **content,
        )

    def set_target(
        self, name: str, seconds: float, operation: str
    ) -> httpx.Response:
        """Propose a first-token target for drafts."""
        body = {
            'operation': operation,
            'path': 'classes.draft.first_token_s',
            'value': seconds,
        }
        return self.operate(name, 'POST', 'configuration/set', json=body)

    def versions(self) -> dict[str, int]:
        """Return the version that each daemon has in force."""
        return {
            name: self.operate(name, 'GET', 'configuration').json()['version']
            for name in self.daemons
        }

    def wait_for_peer(self, name: str, *, timeout_s: float) -> None:
        """Return once a daemon knows that another one is ready."""
        version = self.versions()[name]
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            answer = self.operate(
                name,
                'GET',
                'configuration/wait',
                params={'version': version},
            )
            if len(answer.json()['held']) > 1:
                return
        raise AssertionError('the daemons do not know each other')

    def control_platform(self, path: str, **faults: Any) -> None:
        """Set what goes wrong at the platform from now on."""
        answer = httpx.post(
            f'http://{self.platform.address}/control/{path}', json=faults
        )
        answer.raise_for_status()

    def _start_one(self, name: str, settings: dict[str, Any]) -> Process:
        port, peer_port = self.ports[name]
        usual: dict[str, Any] = {
            'data_centre': name[0],
            'port': port,
            'peer_port': peer_port,
            'peer_secret': 'secret',
            'peers': [
                {'id': other, 'address': f'127.0.0.1:{ports[1]}'}
                for other, ports in self.ports.items()
                if other != name
            ],
            'platform_url': f'http://{self.platform.address}',
            'operator_tokens': {
                hashlib.sha256(TOKEN.encode()).hexdigest(): 'write'
            },
            'configuration': CONFIGURATION,
            'plans_vms': False,
        }
        return self.processes.start_daemon(
            daemon=name, **{**usual, **settings}
        )

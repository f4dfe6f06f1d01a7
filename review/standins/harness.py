"""Starts the daemons and the stand-ins of a case, and ends all of them."""

import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]
STANDINS = ROOT / 'review' / 'standins'
HOST = '127.0.0.1'
PORTS = 20_000, 32_000
GIVEN = set()
"""Ports that were given to a process."""
HELD, NOT_RUN, BROKEN = 0, 2, 10
"""Exit statuses of a case's program; run.sh makes 1 of `BROKEN`. A program
that ends with a traceback has status 1 itself."""
ZONES = ('vasteras-a', 'eskilstuna-b', 'orebro-c')
PLACEHOLDER = re.compile(r'\{\{([^#/^}][^}]*)\}\}')
SECTION = re.compile(r'\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?', re.DOTALL)


class CannotRun(Exception):
    """The case could not be set up."""


def free_ports(count):
    """Return ports that nothing listens on at the moment.

    They are below those that the kernel gives to outgoing channels, and none
    is given twice: what it was given to may not listen yet.
    """
    ports = []
    while len(ports) < count:
        port = random.randrange(*PORTS)
        with socket.socket() as opened:
            try:
                opened.bind((HOST, port))
            except OSError:
                continue
        if port not in GIVEN:
            GIVEN.add(port)
            ports.append(port)
    return ports


def fill(template, fields):
    """Fill in a settings template as DEPLOY.md tells it."""

    def find(path):
        value = fields
        for name in path.split('.'):
            if isinstance(value, list):
                value = value[int(name)] if int(name) < len(value) else None
            else:
                value = (value or {}).get(name)
        return value

    def put(match):
        path, _, form = match[1].partition('|')
        value = find(path)
        if form == 'json':
            return json.dumps(value)
        if isinstance(value, bool):
            return json.dumps(value)
        return '' if value is None else str(value)

    text = SECTION.sub(
        lambda match: match[2] if find(match[1]) else '', template
    )
    return PLACEHOLDER.sub(put, text)


class Case:
    """The processes of one case, their folder and its record."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.temporary = tempfile.TemporaryDirectory(prefix='review-')
        self.path = pathlib.Path(self.temporary.name)
        self.processes = []
        self.daemons = []
        self.replicas = {}
        self.record = (self.folder / 'record.txt').open('w')  # noqa: SIM115
        self.has_trouble = os.environ.get('TROUBLE', '1') != '0'
        self.began_at = time.time()
        self.version = 0

    def say(self, *words):
        """Write a line to the record and to the output."""
        line = f'{time.time() - self.began_at:8.3f} s  ' + ' '.join(
            map(str, words)
        )
        print(line, file=self.record, flush=True)
        print(line, flush=True)

    def start(self, arguments, *, until, environment=None, name='process'):
        """Start a process; return once its output has a text."""
        log = self.path / f'{name}.log'
        with open(log, 'w') as output:
            process = subprocess.Popen(
                arguments,
                stdout=output,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
                cwd=ROOT,
                env=environment or dict(os.environ),
            )
        process.log = log
        process.name = name
        self.processes.append(process)
        if until:
            self.wait_for_text(process, until)
        return process

    def wait_for_text(self, process, text, wait_s=20.0):
        """Return once the output of a process has a text."""
        end = time.monotonic() + wait_s
        while time.monotonic() < end:
            if text in process.log.read_text(errors='replace'):
                return
            if process.poll() is not None:
                break
            time.sleep(0.02)
        tail = process.log.read_text(errors='replace')[-1500:]
        raise CannotRun(f'{process.name}: no {text!r}\n{tail}')

    def start_platform(self):
        """Start the store and the cloud API."""
        store, cloud = free_ports(2)
        self.store, self.cloud = f'{HOST}:{store}', f'{HOST}:{cloud}'
        self.cloud_log = self.path / 'cloud.jsonl'
        self.start(
            [
                sys.executable,
                str(STANDINS / 'platform_site.py'),
                str(store),
                str(cloud),
                str(self.cloud_log),
            ],
            until='listening',
            name='platform',
        )

    def put(self, table, key, value):
        """Write a row as the operator or a replica does."""
        body = json.dumps({'table': table, 'key': key, 'value': value})
        request = urllib.request.Request(
            f'http://{self.store}/control/put', body.encode(), method='POST'
        )
        opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
        opener.open(request, timeout=5).read()

    def put_config(self, **changes):
        """Write the next version of the config."""
        self.version += 3
        self.put('op', 'config', config(self.version, **changes))

    def start_replica(self, id_, service, zone, **options):
        """Start a replica's process, and list it."""
        (port,) = free_ports(1)
        log = self.path / f'{id_}.jsonl'
        log.touch()
        process = self.start(
            [
                sys.executable,
                str(STANDINS / 'replica.py'),
                id_,
                str(port),
                str(log),
                json.dumps(options),
            ],
            until='listening',
            name=id_,
        )
        process.events_log = log
        process.entry = {
            'service': service,
            'address': f'{HOST}:{port}',
            'zone': zone,
            'version': options.get('version', 'v1'),
            'slots': options.get('slots', 6),
            'state': 'ready',
            'coldRemainingMs': 0,
            'sequence': 1,
        }
        self.replicas[id_] = process
        self.list_replica(id_)
        return process

    def list_replica(self, id_, **fields):
        """Write a replica's entry, as it does itself."""
        self.replicas[id_].entry |= fields
        self.put('servers', id_, self.replicas[id_].entry)

    def empty_replica(self, id_, *, reports=True):
        """Have a replica leave: it says so, and its entry is changed.

        One that never reports `draining` loses its entry.
        """
        self.replicas[id_].send_signal(signal.SIGUSR1)
        if reports:
            self.list_replica(id_, state='draining', sequence=2)
        else:
            self.put('servers', id_, None)

    def launch_daemon(self, number, *, store=None, ports=None):
        """Start a daemon by the deploy file's command, without waiting."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = deploy['roles']['edge-daemon']
        template = (ROOT / role['template']).read_text()
        ports = ports or free_ports(6)
        name = f'edge-{ZONES[number % 3]}-{number}'
        seeds = [each.peers for each in self.daemons[:3]]
        peers = f'{HOST}:{ports[1]}'
        settings = self.path / f'{name}.yaml'
        text = fill(
            template,
            node_fields(
                name=name,
                zone=ZONES[number % 3],
                ports=ports,
                seeds=seeds or [peers],
                store=store or self.store,
                cloud=self.cloud,
            ),
        ).replace(f'{HOST}:9464', f'{HOST}:{ports[5]}')
        settings.write_text(text)
        words = [
            str(settings) if word == '/etc/mimosamux/local.toml' else word
            for word in role['run'].split()
        ]
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/'),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'MIMOSAMUX_NODE_FILE': str(settings),
        }
        process = self.start(
            words, until=None, environment=environment, name=name
        )
        process.entry = f'{HOST}:{ports[0]}'
        process.peers = peers
        process.directory = f'{HOST}:{ports[2]}'
        process.readiness = f'{HOST}:{ports[3]}'
        process.settings, process.ports = settings, ports
        process.number = number
        self.daemons.append(process)
        return process

    def start_daemons(self, count):
        """Start daemons, and wait until all of them know each other."""
        for number in range(count):
            self.launch_daemon(number)
        for daemon in self.daemons:
            self.wait_for_text(daemon, 'event=ready')
        time.sleep(1.5)

    def signal(self, process, number):
        """Send a signal to a process that was started here."""
        self.say(f'signal {signal.Signals(number).name} to {process.name}')
        process.send_signal(number)

    def events_of(self, id_):
        """Return what a replica has logged."""
        text = self.replicas[id_].events_log.read_text()
        return [json.loads(line) for line in text.splitlines()]

    def say_replica_logs(self):
        """Write what the replicas ran to the record."""
        for id_ in self.replicas:
            for entry in self.events_of(id_):
                more = [
                    f'{name}={entry[name]}'
                    for name in ('first', 'events')
                    if name in entry
                ]
                at = entry['at'] - self.began_at
                what = entry['what']
                print(
                    f'{at:8.3f} s  {id_} {what} {entry["request"]}',
                    *more,
                    file=self.record,
                )

    def close(self):
        """End all processes that were started, by their ids."""
        for process in reversed(self.processes):
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self.record.close()
        self.temporary.cleanup()


def run_case(folder, play):
    """Play a case; return `BROKEN`, `HELD` or `NOT_RUN`.

    `play` sets it up, plays it and returns one of these.
    """
    case = Case(folder)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        return play(case)
    except Exception as error:  # whatever it is, it is no broken rule
        case.say(f'cannot run: {type(error).__name__} {error}')
        return NOT_RUN
    finally:
        case.close()


def node_fields(*, name, zone, ports, seeds, store, cloud):
    """Return the settings of a small deployment, as DEPLOY.md lists them."""
    entry, peers, discovery, readiness, tunnels, _ = ports
    return {
        'nodeName': name,
        'ip': HOST,
        'zone': zone,
        'region': 'malardalen',
        'internalPortRange': [tunnels, tunnels],
        'seedNodes': seeds,
        'bootstrap': True,
        'listenAddresses': {
            'frontend': f'{HOST}:{entry}',
            'controlPlane': f'{HOST}:{peers}',
            'directoryService': f'{HOST}:{discovery}',
            'readiness': f'{HOST}:{readiness}',
        },
        'limits': {'linkMbps': 1000.0},
        'bounds': {
            'drainTimeoutMs': 2000,
            'gracePeriodS': 8,
            'revocationMs': 5000,
            'leaseDurationMs': 3000,
            'fencingEnforced': True,
            'usageWindowS': 5,
            'usageLatenessS': 10,
            'ttl_max_s': 5,
            'retryBudgetRatio': 0.2,
            'budgetWindowS': 10,
            'retryBudgetExtra': 58,
            'quotaWindowS': 8,
            'quotaOverage': 0.1,
            'quotaTolerance': 140000,
        },
        'platform': {'address': store},
        'cloudApi': {'address': cloud},
    }


def config(version, *, tenants=None):
    """Return a config with each kind of route, like that of a small site."""
    stream = {
        'routeKind': 'streaming',
        'service': 'llm',
        'stickySessions': True,
        'gapTargetMs': 250,
    }
    routes = [
        {
            **stream,
            'name': 'draft',
            'prefix': '/draft/',
            'timeoutMs': 15000,
            'targetLatencyMs': 1000,
            'maxAttempts': 1,
            'streamResume': False,
        },
        {
            **stream,
            'name': 'question',
            'prefix': '/question/',
            'timeoutMs': 15000,
            'targetLatencyMs': 500,
            'maxAttempts': 2,
            'streamResume': True,
        },
        {
            'name': 'slip',
            'prefix': '/slip/',
            'routeKind': 'non_idempotent',
            'service': 'app',
            'timeoutMs': 2500,
            'targetLatencyMs': 200,
            'maxAttempts': 2,
        },
        {
            'name': 'list',
            'prefix': '/list/',
            'routeKind': 'idempotent',
            'service': 'app',
            'timeoutMs': 2500,
            'targetLatencyMs': 200,
            'maxAttempts': 2,
        },
    ]
    for route in routes:
        route |= {'host': 'site.example', 'priority': 0, 'anonymous': False}
    engine = {
        'slots': 64,
        'kvCapacity': 909650,
        'kvTokenBytes': 35136,
        'linkMbps': 350000.0,
        'migrations': True,
        'backups': True,
        'stride': 5,
        'most': 12,
        'handleTtlS': 5.0,
        'models': [{'name': 'm'}],
    }
    common = {
        'healthPath': '/healthz',
        'maxConnections': 370,
        'protocol': 'h1',
        'tls': False,
    }
    return {
        'version': version,
        'routes': routes,
        'services': [
            {'name': 'llm', **common, 'inferenceEngine': engine},
            {'name': 'app', **common},
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': tenants or [{'name': 'school', 'apiKeys': ['key-school']}],
    }

"""Random faults on real processes, and what their callers saw meanwhile.

Daemons are frozen, killed, stopped and started again, the ways to the store
are delayed, cut, silenced one way or both, the store and replicas misbehave.
Faults come in series and overlap. Callers keep their connections.
"""

import heapq
import random
import threading
import time
from dataclasses import dataclass, field

import anyio
import httpx
from mimosamux_daemon.adapters.tcp_network import TcpNetwork
from mimosamux_standins.site import StandInCaller
from mimosamux_standins.site.replica import Fault
from mimosamux_standins.site.store import StoreTrouble

from tests.support.platform_processes import PROMPT, platform_processes

CALLERS = 12
TARGETS = ('/slip/', '/list/', '/draft/', '/question/')
KEYS = {'key-school': 'school', 'key-office': 'office'}
REVOKED_KEY = 'key-office'
FAULT_EVERY_S = 0.6
RECOVERY_S = 12.0
"""Time within which everything serves again after the last fault."""
HEALED = {'delay_s': 0.0}
PROXY_FAULTS = (
    {'blackhole': True},
    {'half_open': True},
    {'refuse': True},
    {'delay_s': 0.3},
    {'drop_answers': 3},
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Sent:
    """One request as a caller sent it, and its answer."""

    target: str
    key: str
    answer: object


@dataclass(kw_only=True)
class Callers:
    """Callers in a thread of their own, until they are told to stop."""

    entries: list
    rng: random.Random
    sent: list = field(default_factory=list)
    _stopping: threading.Event = field(default_factory=threading.Event)
    _thread: threading.Thread | None = None

    def start(self):
        self._thread = threading.Thread(target=lambda: anyio.run(self._run))
        self._thread.start()

    def stop(self):
        self._stopping.set()
        self._thread.join()

    async def _run(self):
        async with anyio.create_task_group() as tasks:
            for _ in range(CALLERS):
                rng = random.Random(self.rng.getrandbits(64))
                tasks.start_soon(self._call, rng)

    async def _call(self, rng):
        caller = StandInCaller(network=TcpNetwork(), patience_s=4.0, rng=rng)
        while not self._stopping.is_set():
            caller.key = rng.choice(list(KEYS))
            target = f'{rng.choice(TARGETS)}{rng.randrange(9)}'
            is_read = target.startswith('/list/')
            is_stream = target.startswith(('/draft/', '/question/'))
            answer = await caller.send(
                rng.choice(self.entries),
                target,
                method='GET' if is_read else 'POST',
                body=b'' if is_read else b'brief',
                headers=PROMPT if is_stream else (),
            )
            self.sent.append(
                Sent(target=target, key=caller.key, answer=answer)
            )
            await anyio.sleep(rng.uniform(0.01, 0.2))
        await caller.channels.close()


@dataclass(kw_only=True)
class Soak:
    """Draws faults, undoes each after a while, and heals all at the end."""

    platform: object
    rng: random.Random
    proxies: dict = field(default_factory=dict)
    """Control address of each daemon's way to the store."""
    log: list = field(default_factory=list)
    revoked_at: float | None = None
    _stopping: set = field(default_factory=set)
    """Names of the daemons that were asked to stop."""
    _due: list = field(default_factory=list)
    _drawn: int = 0

    def start_daemons(self, count):
        for number in range(count):
            proxy = self.platform.started.start_standin(
                'proxy', self.platform.store
            )
            address = proxy.address
            control = proxy.wait_for_line('control').split()[-1]
            self.proxies[number] = control
            self.platform.start_daemon(store=address)

    def run(self, seconds):
        end = time.monotonic() + seconds
        while (now := time.monotonic()) < end:
            while self._due and self._due[0][0] <= now:
                heapq.heappop(self._due)[2]()
            self._draw()
            time.sleep(self.rng.expovariate(1 / FAULT_EVERY_S))

    def heal(self):
        due, self._due = sorted(self._due), []
        for _, _, undo in due:
            undo()
        self._due.clear()
        for number in self.proxies:
            self._spoil(number, HEALED)
        self._set_store(StoreTrouble.NONE)
        for daemon in self.platform.daemons:
            if daemon.name in self._stopping:
                daemon.process.wait()
            self._start_again(daemon)

    def _later(self, undo, most_s):
        self._drawn += 1
        at = time.monotonic() + self.rng.uniform(0.2, most_s)
        heapq.heappush(self._due, (at, self._drawn, undo))

    def _draw(self):
        act = self.rng.choice(
            (
                self._freeze,
                self._kill,
                self._stop,
                self._spoil_way,
                self._spoil_way,
                self._cut_way,
                self._spoil_store,
                self._restore_store,
                self._spoil_replica,
                self._drain_replica,
                self._revoke,
            )
        )
        act()

    def _note(self, *words):
        self.log.append((round(time.monotonic(), 3), *words))

    def _pick_daemon(self):
        number = self.rng.randrange(len(self.platform.daemons))
        daemon = self.platform.daemons[number]
        return daemon if daemon.process.popen.poll() is None else None

    def _freeze(self):
        daemon = self._pick_daemon()
        if daemon is not None:
            self._note('freeze', daemon.name)
            process = daemon.process
            process.freeze()
            self._later(process.thaw, 4.0)

    def _kill(self):
        daemon = self._pick_daemon()
        if daemon is not None:
            self._note('kill', daemon.name)
            daemon.process.kill()
            self._later(lambda: self._start_again(daemon), 1.5)

    def _stop(self):
        daemon = self._pick_daemon()
        if daemon is not None:
            self._note('stop', daemon.name)
            daemon.process.terminate()
            self._stopping.add(daemon.name)
            self._later(lambda: self._start_again(daemon), 3.0)

    def _start_again(self, daemon):
        if daemon.process.popen.poll() is None:
            # It still answers what it has read, and is looked at again.
            if daemon.name in self._stopping:
                self._later(lambda: self._start_again(daemon), 2.0)
            return
        self._stopping.discard(daemon.name)
        self._note('start', daemon.name)
        daemon.process = self.platform.started.start_daemon(**daemon.settings)

    def _spoil(self, number, faults):
        httpx.post(
            f'http://{self.proxies[number]}/control',
            json=faults,
            trust_env=False,
        ).raise_for_status()

    def _spoil_way(self):
        number = self.rng.choice(list(self.proxies))
        faults = self.rng.choice(PROXY_FAULTS)
        self._note('way to the store', number, faults)
        self._spoil(number, faults)
        self._later(lambda: self._spoil(number, HEALED), 4.0)

    def _cut_way(self):
        number = self.rng.choice(list(self.proxies))
        self._note('cut way to the store', number)
        httpx.post(
            f'http://{self.proxies[number]}/control/cut', trust_env=False
        ).raise_for_status()

    def _set_store(self, trouble):
        self.platform.command('/store', trouble=trouble.name)

    def _spoil_store(self):
        trouble = self.rng.choice(list(StoreTrouble))
        self._note('store', trouble.name)
        self._set_store(trouble)
        self._later(lambda: self._set_store(StoreTrouble.NONE), 3.0)

    def _restore_store(self):
        copy_age_s = self.rng.choice([0.5, 2.0, 6.0])
        self._note('store goes back', copy_age_s)
        self._set_store(StoreTrouble.RESET)
        self._later(lambda: self._come_back(copy_age_s), 1.5)

    def _come_back(self, copy_age_s):
        self.platform.command('/store/restore', copy_age_s=copy_age_s)
        self._set_store(StoreTrouble.NONE)

    def _ready_replicas(self):
        return [
            each
            for each in self.platform.seen()['replicas']
            if each['state'] == 'ready'
        ]

    def _spoil_replica(self):
        replica = self.rng.choice(self._ready_replicas())['id']
        fault = self.rng.choice(list(Fault)).name
        self._note('replica', replica, fault)
        self.platform.command('/replica', id=replica, fault=fault)
        self._later(
            lambda: self.platform.command(
                '/replica', id=replica, fault=Fault.NONE.name
            ),
            3.0,
        )

    def _drain_replica(self):
        engines = [
            each for each in self._ready_replicas() if each['service'] == 'llm'
        ]
        if len(engines) < 2:
            return
        replica = self.rng.choice(engines)['id']
        self._note('drain', replica)
        self.platform.command(
            '/replica', id=replica, state='draining', leaves_ms=2000
        )
        self._later(
            lambda: self.platform.command('/replica', id=replica, crash=True),
            4.0,
        )

    def _revoke(self):
        if self.revoked_at is None:
            self._note('revoke', REVOKED_KEY)
            self.platform.command('/revoke', key=REVOKED_KEY)
            self.revoked_at = time.monotonic()


@dataclass(kw_only=True)
class Record:
    """What a soak left behind to be checked."""

    sent: list
    seen: dict
    revoked_at: float | None
    log: list
    serves_again: bool


def play(seed, *, daemons=3, seconds=8.0):
    """Run one soak and return what was seen."""
    rng = random.Random(seed)
    with platform_processes(daemons=0) as platform:
        soak = Soak(platform=platform, rng=rng)
        soak.start_daemons(daemons)
        entries = [daemon.entry for daemon in platform.daemons]
        callers = Callers(entries=entries, rng=rng)
        callers.start()
        try:
            soak.run(seconds)
            soak.heal()
            serves_again = _wait_until_all_serve(platform, entries)
        finally:
            callers.stop()
        return Record(
            sent=callers.sent,
            seen=platform.seen(),
            revoked_at=soak.revoked_at,
            log=soak.log,
            serves_again=serves_again,
        )


def _wait_until_all_serve(platform, entries):
    missing = set(entries)
    end = time.monotonic() + RECOVERY_S
    while missing and time.monotonic() < end:
        for entry in tuple(missing):
            if _is_served(entry):
                missing.discard(entry)
        time.sleep(0.1)
    return not missing


def _is_served(entry):
    try:
        answer = httpx.get(
            f'http://{entry}/list/1',
            headers={
                'Host': 'site.example',
                'X-Key': 'key-school',
                'X-Attempt-Id': f'probe-{time.monotonic_ns()}',
                'X-Deadline-Ms': '1000',
            },
            timeout=1.5,
            trust_env=False,
        )
    except httpx.HTTPError:
        return False
    return answer.status_code == 200

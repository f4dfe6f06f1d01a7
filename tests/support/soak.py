"""Random faults on real processes, and what their callers saw meanwhile.

Daemons are frozen, killed, stopped and started again, the ways to the store
are delayed, cut, silenced one way or both, the store and replicas misbehave.
Faults come in series and overlap. Callers keep their connections.

A large site has more daemons than exchange digests without relays, engines of
few slots and unequal speed, bursts above their capacity, and callers that
disconnect while they wait.
"""

import heapq
import pathlib
import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

import httpx
from mimosamux_daemon.gateway.exchange.groups import LARGEST_GROUP
from mimosamux_standins.site.replica import Fault, ReplicaSpeed
from mimosamux_standins.site.store import StoreTrouble

from tests.support.platform_processes import PROMPT, platform_processes
from tests.support.soak_bad_parts import BAD, BadPartCallers
from tests.support.soak_callers import REVOKED_KEY, STREAM_TARGETS, Callers
from tests.support.soak_crowds import (
    VM_MEMORY_MB,
    CrowdCallers,
    read_peak_bytes,
)
from tests.support.soak_record import (
    EVENTS,
    Absence,
    AbsenceKind,
    Disruption,
    Record,
)
from tests.support.soak_steady_callers import SteadyCallers
from tests.support.soak_stops import START_TIMEOUT_S, Stops

FAULT_EVERY_S = 0.6
WAITING = 'mimosamux_gateway_waiting_requests'
WAITS = 'mimosamux_gateway_waits_total'
RECOVERY_S = 12.0
"""Time within which everything serves again after the last fault."""
COMES_BACK_S = 6.0
SMALL_SITE = 3
LARGE_SITES = (13, 14)
"""Numbers of daemons with which digests pass through relays."""
LONG_STREAMS_EVERY = 3
"""Of so many seeds, one is played with long streams."""
ENGINES_BESIDE_BAD_PARTS = 6
BAD_PARTS_EVERY = 2
"""Of so many seeds, one is played with a prompt part that crashes engines."""
LARGE_SITE_EVERY = 5
"""Of so many seeds, one is played with a large site."""
LARGE_SITE_WAYS = 5
"""Ways to the store that the daemons of a large site share: with one each, a
soak would start 29 processes."""
ENGINE_FACTORS = ((1.0, 1.0, 1.3), (0.7, 0.7, 1.7))
STEADY_CALLERS = 10
"""At each daemon, where streams are long."""
LONG_STREAMS = {
    'events': 80,
    'event_s': 0.05,
    'events_by_prefix': {f'/question/{n}': 5 + 5 * n for n in range(9)},
    'engine_slots': 24,
}
"""Drafts of 4 s, and questions of 0.25 to 2.25 s."""
HANGS_EVERY, HANGS_FROM = 4, 2
"""Of so many seeds, one has engines whose connections end before their
processes do."""
CROWDS_EVERY, CROWDS_FROM = 3, 1
"""Of so many seeds, one has callers that misuse the listeners."""
HANG_FRAMINGS = ('UNFRAMED', 'USUAL')
HANG_EXITS_S = (0.0, 0.04, 0.3, 1.0, 3.0)
BURST_CALLERS = 40
"""With 2 or 3 slots at each of 3 engines, at least four times their slots."""
BURST_S = 1.5
BURST_RECOVERY_S = 5.0
"""Time after a burst within which each daemon has a stream served again.

In 25 runs of large sites, the last daemon had one after 1.2 to 4.4 s: the
requests of the burst that are in flight are served meanwhile."""
QUEUES_EMPTY_S = 2.0
"""Time after which no request of a caller that has gone waits any more."""
STAYS_S = 1.0
"""Time for which callers stay beyond their deadline, to see a late answer."""
HEALED = {'delay_s': 0.0}
PROXY_FAULTS = (
    {'blackhole': True},
    {'half_open': True},
    {'refuse': True},
    {'delay_s': 0.3},
    {'drop_answers': 3},
)


@dataclass(kw_only=True)
class Soak:
    """Draws faults, undoes each after a while, and heals all at the end."""

    platform: object
    rng: random.Random
    proxies: dict = field(default_factory=dict)
    """Control address of each daemon's way to the store."""
    log: list = field(default_factory=list)
    revoked_at: float | None = None
    bursts: list = field(default_factory=list)
    """Callers of each burst."""
    absences: list = field(default_factory=list)
    disruptions: list = field(default_factory=list)
    logs: pathlib.Path | None = None
    """Folder for the logs of the daemons."""
    has_needy_endpoints: bool = False
    """Whether endpoints stand still and say that they are brittle. Seeds that
    are kept draw the same faults as before without it."""
    has_versions: bool = False
    """Whether engines run two software versions, and callers take broken
    streams up."""
    has_long_streams: bool = False
    """Whether streams last for seconds, callers send one request right behind
    the other, and daemons are stopped in series."""
    has_bad_parts: bool = False
    """Whether a prompt part crashes engines, in requests that callers repeat.
    """
    has_rejoins: bool = False
    """Whether all daemons are killed around changes of the software version,
    and callers take up what broke off."""
    has_out_of_step: bool = False
    """Whether a daemon stands still while the software version changes."""
    has_hangs: bool = False
    """Whether connections of engines end in order, and the processes, which
    go on accepting others, a while later."""
    has_crowds: bool = False
    """Whether callers misuse the listeners of the daemons."""
    stops: Stops = field(init=False)
    _readers: list = field(default_factory=list)
    _stopping: set = field(default_factory=set)
    """Names of the daemons that were asked to stop."""
    _due: list = field(default_factory=list)
    _drawn: int = 0
    _releases: int = 0

    def __post_init__(self):
        self.stops = Stops(soak=self, rng=self.rng)

    @property
    def has_bursts(self):
        is_large = len(self.platform.daemons) > LARGEST_GROUP
        return is_large and not self.has_long_streams

    def start_daemons(self, count):
        ways = count if count <= LARGEST_GROUP else LARGE_SITE_WAYS
        addresses = []
        for number in range(ways):
            proxy = self.platform.started.start_standin(
                'proxy', self.platform.store
            )
            addresses.append(proxy.address)
            control = proxy.wait_for_line('control').split()[-1]
            self.proxies[number] = control
        for number in range(count):
            self.platform.launch_daemon(store=addresses[number % ways])
        ready = [self._read_log(each) for each in self.platform.daemons]
        for each in ready:
            if not each.wait(START_TIMEOUT_S):
                raise AssertionError('a daemon did not start')

    def _read_log(self, daemon):
        """Read a daemon's log in a thread; return an event for its start."""
        ready = threading.Event()
        process = daemon.process
        output = process.popen.stdout

        def read():
            lines = []
            for line in output:
                lines.append(line)
                if 'event=ready' in line:
                    ready.set()
                    self._end_absences(daemon, process)
            self._note_gone(process)
            if self.logs is not None:
                with (self.logs / f'{daemon.name}.log').open('a') as file:
                    file.writelines(lines)

        reader = threading.Thread(target=read)
        reader.start()
        self._readers.append(reader)
        return ready

    def kill_daemons(self):
        """Kill the daemons, and read the rest of their logs."""
        self._kill_each()
        # A stop that an error interrupts starts its daemon again.
        self.stops.join()
        self._kill_each()
        for reader in self._readers:
            reader.join()

    def _kill_each(self):
        for daemon in self.platform.daemons:
            daemon.process.kill()

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
        self.stops.join()
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

    def burst(self):
        """Start callers of streams, more than the engines have slots."""
        callers = self.make_callers(
            count=BURST_CALLERS, targets=STREAM_TARGETS, longest_pause_s=0.1
        )
        self._note('burst', len(self.bursts))
        self.bursts.append(callers)
        callers.start()
        return callers

    def mix_versions(self):
        """Have every other engine run another software version."""
        engines = [
            each['id']
            for each in self._ready_replicas()
            if each['service'] == 'llm'
        ]
        for id_ in engines[::2]:
            self.platform.command('/replica', id=id_, version='v2')

    def start_bad_parts(self):
        """Have a prompt part crash engines, and callers ask for it."""
        if not self.has_bad_parts:
            return []
        self._note('prompt part', BAD)
        self.platform.command('/crash-parts', parts=[BAD])
        callers = BadPartCallers(
            entries=[daemon.entry for daemon in self.platform.daemons],
            rng=random.Random(self._drawn),
        )
        callers.start()
        return [callers]

    def start_crowds(self):
        """Have callers misuse the listeners of all daemons."""
        if not self.has_crowds:
            return []
        names = ('entry', 'discovery', 'readiness', 'metrics')
        callers = CrowdCallers(
            addresses=[
                daemon.settings['listen'][name]
                for daemon in self.platform.daemons
                for name in names
            ],
            rng=random.Random(self._drawn),
        )
        callers.start()
        return [callers]

    def make_callers(self, **fields):
        fields |= {'takes_up': self.has_versions}
        if self.has_rejoins or self.has_out_of_step:
            fields |= {'comes_back_s': COMES_BACK_S}
        if self.has_bursts:
            # Only a request with five targets or more to its deadline may
            # wait for an engine: 5 s on the route of drafts.
            fields |= {
                'rng': random.Random(self.rng.getrandbits(64)),
                'patience_s': 6.0,
                'stays_s': STAYS_S,
                'leaving_share': 0.2,
            }
        entries = [daemon.entry for daemon in self.platform.daemons]
        if self.has_long_streams:
            return SteadyCallers(
                entries=entries,
                rng=random.Random(self.rng.getrandbits(64)),
                count=STEADY_CALLERS * len(entries),
            )
        return Callers(entries=entries, **{'rng': self.rng} | fields)

    def _burst(self):
        self._later(self.burst().request_stop, BURST_S)

    def _draw(self):
        self.rng.choice(
            self._long_stream_faults()
            if self.has_long_streams
            else self._faults()
        )()

    def _long_stream_faults(self):
        return (
            self.stops.stop_one,
            self.stops.stop_two,
            self.stops.stop_all_in_turn,
            self.stops.stop_a_starting_one,
            self.stops.kill_one,
            self._freeze,
            self._spoil_way,
            self._spoil_store,
            self._restore_store,
            self._drain_replica,
            *self._hangs(),
        )

    def _hangs(self):
        return (self._hang_engine,) * 3 if self.has_hangs else ()

    def _faults(self):
        return (
            *((self._burst, self._burst) if self.has_bursts else ()),
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
            *(
                (self._silence_replica, self._make_brittle)
                if self.has_needy_endpoints
                else ()
            ),
            *((self._release_and_kill,) * 3 if self.has_rejoins else ()),
            *((self._release_aside,) * 3 if self.has_out_of_step else ()),
            *self._hangs(),
        )

    def _note(self, *words):
        self.log.append((round(time.monotonic(), 3), *words))

    def _pick_daemon(self):
        number = self.rng.randrange(len(self.platform.daemons))
        daemon = self.platform.daemons[number]
        return daemon if daemon.process.popen.poll() is None else None

    def begin_absence(self, daemon, kind, *words):
        """Note that a daemon gets a signal."""
        self._note(kind.name.lower(), daemon.name, *words)
        absence = Absence(
            entry=daemon.entry,
            kind=kind,
            start=time.monotonic(),
            process=daemon.process,
        )
        self.absences.append(absence)
        return absence

    def _end_absences(self, daemon, process):
        """End those of earlier processes: another one serves."""
        for absence in self.absences:
            is_earlier = absence.process is not process
            if absence.entry == daemon.entry and is_earlier:
                absence.end = min(absence.end, time.monotonic())

    def _note_gone(self, process):
        for absence in self.absences:
            if absence.process is process:
                absence.gone_at = min(absence.gone_at, time.monotonic())

    def _begin_disruption(self, place):
        disruption = Disruption(place=place, start=time.monotonic())
        self.disruptions.append(disruption)
        return disruption

    def _command(self, path, disruption, **body):
        """Undo a disruption with a command to the platform."""
        self.platform.command(path, **body)
        disruption.end = time.monotonic()

    def _freeze(self):
        daemon = self._pick_daemon()
        if daemon is not None:
            absence = self.begin_absence(daemon, AbsenceKind.FROZEN)
            process = daemon.process
            process.freeze()
            self._later(lambda: self._thaw(process, absence), 4.0)

    def _thaw(self, process, absence):
        process.thaw()
        absence.end = min(absence.end, time.monotonic())

    def _kill(self):
        daemon = self._pick_daemon()
        if daemon is not None:
            self._kill_daemon(daemon)

    def _kill_daemon(self, daemon):
        self.begin_absence(daemon, AbsenceKind.KILLED)
        daemon.process.kill()
        self._later(lambda: self._start_again(daemon), 1.5)

    def _release_aside(self):
        """Replace all engines while a daemon stands still; kill another."""
        self._freeze()
        time.sleep(self.rng.choice((0.05, 0.3, 1.0)))
        self._release()
        time.sleep(self.rng.choice((0.1, 0.5, 1.5)))
        self._kill()

    def _release_and_kill(self):
        """Replace all engines, and kill all daemons but one at most."""
        self._release()
        time.sleep(self.rng.choice((0.0, 0.4, 1.2)))
        for daemon in self.platform.daemons[self.rng.randrange(2) :]:
            if daemon.process.popen.poll() is None:
                self._kill_daemon(daemon)

    def _release(self):
        self._releases += 1
        self.platform.command(
            '/release',
            version=f'v{self._releases + 1}',
            is_announced=self.rng.random() < 0.5,
        )
        self._note('release', self._releases)

    def _stop(self):
        daemon = self._pick_daemon()
        if daemon is not None:
            self.begin_absence(daemon, AbsenceKind.STOPPING)
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
        self.start(daemon)

    def start(self, daemon):
        """Start a daemon again; return an event for its start."""
        self._note('start', daemon.name)
        daemon.process = self.platform.started.start_daemon(**daemon.settings)
        return self._read_log(daemon)

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
        for daemon in self.platform.daemons[number :: len(self.proxies)]:
            cut = self._begin_disruption(daemon.entry)
            cut.end = cut.start

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
        disruption = self._begin_disruption(replica)
        self.platform.command('/replica', id=replica, fault=fault)
        self._later(
            lambda: self._command(
                '/replica', disruption, id=replica, fault=Fault.NONE.name
            ),
            3.0,
        )

    def _silence_replica(self):
        replica = self.rng.choice(self._ready_replicas())['id']
        silent_s = self.rng.uniform(0.5, 1.5)
        self._note('replica stands still', replica, round(silent_s, 2))
        disruption = self._begin_disruption(replica)
        disruption.end = disruption.start + silent_s
        self.platform.command('/replica', id=replica, silent_s=silent_s)

    def _make_brittle(self):
        service = self.rng.choice(('app', 'llm'))
        per_s = self.rng.choice((2.0, 5.0))
        self._note('brittle', service, per_s)
        self._set_brittle(service, per_s)
        self._later(lambda: self._set_brittle(service, 0.0), 5.0)

    def _set_brittle(self, service, per_s):
        for each in self._ready_replicas():
            if each['service'] == service:
                self.platform.command(
                    '/replica', id=each['id'], brittle_per_s=per_s
                )

    def _ready_engines(self):
        """Return the engines, none if there is only one."""
        engines = [
            each for each in self._ready_replicas() if each['service'] == 'llm'
        ]
        return engines if len(engines) > 1 else []

    def _hang_engine(self):
        """End the connections of the engine that runs most, then itself."""
        engines = self._ready_engines()
        if not engines:
            return
        replica = max(engines, key=lambda each: each['open'])['id']
        exit_s = self.rng.choice(HANG_EXITS_S)
        self._note('engine hangs and exits', replica, exit_s)
        disruption = self._begin_disruption(replica)
        disruption.end = disruption.start + exit_s
        self.platform.command('/replica/hang', id=replica, exit_s=exit_s)

    def _drain_replica(self):
        engines = self._ready_engines()
        if not engines:
            return
        replica = self.rng.choice(engines)['id']
        self._note('drain', replica)
        self.platform.command(
            '/replica', id=replica, state='draining', leaves_ms=2000
        )
        self._later(lambda: self._crash_replica(replica), 4.0)

    def _crash_replica(self, replica):
        crash = self._begin_disruption(replica)
        self._command('/replica', crash, id=replica, crash=True)

    def _revoke(self):
        if self.revoked_at is None:
            self._note('revoke', REVOKED_KEY)
            self.platform.command('/revoke', key=REVOKED_KEY)
            self.revoked_at = time.monotonic()


def choose_daemons(seed):
    """Return the number of daemons that a seed is played with.

    It does not use the seed's generator, so that a seed draws the same faults
    whether or not there are large sites.
    """
    turn, rest = divmod(seed, LARGE_SITE_EVERY)
    return LARGE_SITES[turn % 2] if rest == 0 else SMALL_SITE


def choose_long_streams(seed):
    """Return whether a seed is played with long streams."""
    return seed % LONG_STREAMS_EVERY == 0


def choose_bad_parts(seed):
    """Return whether a prompt part crashes engines where a seed is played."""
    return seed % BAD_PARTS_EVERY == 0


def choose_hangs(seed):
    """Return whether engines hang before they exit where a seed is played."""
    return seed % HANGS_EVERY == HANGS_FROM


def choose_crowds(seed):
    """Return whether callers misbehave where a seed is played."""
    return seed % CROWDS_EVERY == CROWDS_FROM


def play(
    seed,
    *,
    daemons=SMALL_SITE,
    seconds=8.0,
    logs=None,
    has_needy_endpoints=False,
    has_versions=False,
    has_long_streams=False,
    has_bad_parts=False,
    has_rejoins=False,
    has_out_of_step=False,
    has_hangs=False,
    has_crowds=False,
):
    """Run one soak and return what was seen."""
    rng = random.Random(seed)
    options = {}
    if has_long_streams:
        options = LONG_STREAMS
    elif daemons > LARGEST_GROUP:
        options = _draw_large_site(rng)
    if has_bad_parts:
        options = options | {'engines': ENGINES_BESIDE_BAD_PARTS}
    if has_hangs:
        options = options | {'engine_framings': HANG_FRAMINGS}
    if has_crowds:
        options = options | {'daemon_settings': {'memory_mb': VM_MEMORY_MB}}
    with platform_processes(daemons=0, **options) as platform:
        soak = Soak(
            platform=platform,
            rng=rng,
            logs=logs,
            has_needy_endpoints=has_needy_endpoints,
            has_versions=has_versions,
            has_long_streams=has_long_streams,
            has_bad_parts=has_bad_parts,
            has_rejoins=has_rejoins,
            has_out_of_step=has_out_of_step,
            has_hangs=has_hangs,
            has_crowds=has_crowds,
        )
        try:
            if has_versions and not (has_rejoins or has_out_of_step):
                soak.mix_versions()
            soak.start_daemons(daemons)
            return _play(soak, seconds)
        finally:
            soak.kill_daemons()


def _find_speed(soak):
    """Return how many events the streams of the site have."""
    if not soak.has_long_streams:
        return ReplicaSpeed(events=EVENTS)
    return ReplicaSpeed(
        events=LONG_STREAMS['events'],
        events_by_prefix=LONG_STREAMS['events_by_prefix'],
    )


def _draw_large_site(rng):
    return {
        'engine_slots': rng.choice((2, 3)),
        'engine_factors': rng.choice(ENGINE_FACTORS),
        'event_s': 0.02,
        'token_s': 1e-4,
    }


def _play(soak, seconds):
    platform = soak.platform
    entries = [daemon.entry for daemon in platform.daemons]
    pause = {'longest_pause_s': 0.8} if soak.has_bursts else {}
    callers = soak.make_callers(**pause)
    callers.start()
    bad = [*soak.start_bad_parts(), *soak.start_crowds()]
    try:
        soak.run(seconds)
        soak.heal()
        serves_again = _wait_until_all_serve(entries, _is_served, RECOVERY_S)
        serves_after_burst = not soak.has_bursts or _serves_after_burst(soak)
    finally:
        for each in (callers, *bad, *soak.bursts):
            each.stop()
    peaks = [
        read_peak_bytes(daemon.process.popen.pid)
        for daemon in platform.daemons
    ]
    seen = platform.seen()
    soak.disruptions += [
        Disruption(place=each['replica'], start=each['at'], end=each['at'])
        for each in seen['crashes']
    ]
    everyone = (callers, *bad, *soak.bursts)
    return Record(
        sent=[sent for each in everyone for sent in each.sent],
        seen=seen,
        revoked_at=soak.revoked_at,
        log=soak.log,
        serves_again=serves_again,
        serves_after_burst=serves_after_burst,
        absences=soak.absences,
        disruptions=soak.disruptions,
        speed=_find_speed(soak),
        most_memory_bytes=max(peaks),
        still_waiting=_count_left_waiting(platform) if serves_again else 0.0,
        waits=_read_metric(platform, WAITS) if serves_again else 0.0,
    )


def _serves_after_burst(soak):
    """Whether streams are served soon after a burst without faults."""
    burst = soak.burst()
    time.sleep(BURST_S)
    burst.request_stop()
    return _wait_until_all_serve(burst.entries, _has_stream, BURST_RECOVERY_S)


def _wait_until_all_serve(entries, serves, limit_s):
    """Return whether each daemon serves a probe within a time."""
    end = time.monotonic() + limit_s

    def wait(entry):
        while not serves(entry):
            if time.monotonic() > end:
                return False
            time.sleep(0.1)
        return time.monotonic() <= end

    with ThreadPoolExecutor(len(entries)) as pool:
        return all(pool.map(wait, entries))


def _is_served(entry):
    return _probe(entry, 'GET', '/list/1', deadline_ms=1000)


def _has_stream(entry):
    headers = {name.decode(): value.decode() for name, value in PROMPT}
    return _probe(entry, 'POST', '/draft/1', deadline_ms=5000, **headers)


def _probe(entry, method, target, *, deadline_ms, **headers):
    try:
        answer = httpx.request(
            method,
            f'http://{entry}{target}',
            headers={
                'Host': 'site.example',
                'X-Key': 'key-school',
                'X-Attempt-Id': f'probe-{time.monotonic_ns()}',
                'X-Deadline-Ms': str(deadline_ms),
                **headers,
            },
            timeout=deadline_ms / 1000 + 0.5,
            trust_env=False,
        )
    except httpx.HTTPError:
        return False
    return answer.status_code == 200


def _count_left_waiting(platform):
    """Return the requests that wait some time after all callers have gone."""
    end = time.monotonic() + QUEUES_EMPTY_S
    while waiting := _read_metric(platform, WAITING):
        if time.monotonic() > end:
            break
        time.sleep(0.1)
    return waiting


def _read_metric(platform, name):
    """Return the sum of a metric over the daemons."""
    total = 0.0
    for daemon in platform.daemons:
        address = daemon.settings['listen']['metrics']
        text = httpx.get(f'http://{address}/metrics', trust_env=False).text
        total += sum(
            float(line.split()[-1])
            for line in text.splitlines()
            if line.startswith(name + '{')
        )
    return total

"""Stops of daemons in series, which overlap; each is started again at once."""

import random
import signal
import threading
import time
from dataclasses import dataclass, field

from tests.support.soak_record import AbsenceKind

START_TIMEOUT_S = 30.0
LONGEST_START_S = 1.5
"""Of a daemon that is stopped before it is ready."""
FURTHER_SIGNALS = (
    (),
    (),
    (signal.SIGHUP,),
    (signal.SIGTERM,),
    (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP),
)
"""Sent behind the signal that ends the daemon."""
SIGNAL_EVERY_S = 0.7


@dataclass(kw_only=True)
class Stops:
    """Stops daemons, of which one at least goes on, in threads."""

    soak: object
    rng: random.Random
    _is_over: bool = False
    _away: set = field(default_factory=set)
    """Names of the daemons that stop or start."""
    _lock: threading.Lock = field(default_factory=threading.Lock)
    _threads: list = field(default_factory=list)

    def stop_one(self):
        self._begin(self._pick(1))

    def stop_two(self):
        for daemon in self._pick(2):
            self._begin([daemon])

    def stop_all_in_turn(self):
        self._begin(self._pick(len(self.soak.platform.daemons)))

    def stop_a_starting_one(self):
        self._begin(
            self._pick(1), starts_s=self.rng.uniform(0.05, LONGEST_START_S)
        )

    def kill_one(self):
        self._begin(self._pick(1), is_killed=True)

    def join(self):
        """Begin no other stop, and wait until all stopped daemons serve."""
        self._is_over = True
        for thread in self._threads:
            thread.join()

    def _pick(self, count):
        return self.rng.sample(self.soak.platform.daemons, count)

    def _begin(self, daemons, *, starts_s=None, is_killed=False):
        further = self.rng.choice(FURTHER_SIGNALS)
        if is_killed:
            further = ()

        def run():
            for daemon in daemons:
                if not self._is_over and self._may_leave(daemon):
                    self._play(daemon, further, starts_s, is_killed)
                    with self._lock:
                        self._away.discard(daemon.name)

        thread = threading.Thread(target=run)
        thread.start()
        self._threads.append(thread)

    def _may_leave(self, daemon):
        """Note that a daemon leaves, unless it would be the last."""
        with self._lock:
            left = len(self.soak.platform.daemons) - len(self._away)
            if daemon.name in self._away or left < 2:
                return False
            self._away.add(daemon.name)
            return True

    def _play(self, daemon, further, starts_s, is_killed):
        self._end(daemon, further, is_killed)
        ready = self.soak.start(daemon)
        if starts_s is not None:
            time.sleep(starts_s)
            self._end(daemon, further, False)
            ready = self.soak.start(daemon)
        ready.wait(START_TIMEOUT_S)

    def _end(self, daemon, further, is_killed):
        process = daemon.process
        if is_killed:
            self.soak.begin_absence(daemon, AbsenceKind.KILLED)
            process.kill()
            return
        self.soak.begin_absence(daemon, AbsenceKind.STOPPING, *further)
        process.terminate()
        for number in further:
            time.sleep(SIGNAL_EVERY_S)
            process.popen.send_signal(number)
        process.wait()

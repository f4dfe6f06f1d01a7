"""Daemons with real caps and states, and a network that spoils messages."""

import math

from mimosamux_daemon.control.members import MemberState
from mimosamux_daemon.domain.names import AccountId, DaemonId, DataCentreName
from mimosamux_daemon.domain.routes import AccountEntry, UsageCap
from mimosamux_daemon.gateway.exchange.peer_states import (
    DaemonPlace,
    PeerStates,
)
from mimosamux_daemon.gateway.limits.cap_loans import CapLoans
from mimosamux_daemon.gateway.limits.caps import CapRules, UsageCaps
from mimosamux_daemon.ports import PeerUnavailable
from mimosamux_wire import EnvelopeType, StateBatch, encode

RATE, BURST, WINDOW_S = 20.0, 20.0, 8.0
OVERAGE, TOLERANCE = 0.1, 20.0
ALLOWED = (RATE * WINDOW_S + BURST) * (1 + OVERAGE) + TOLERANCE
ACCOUNT = AccountEntry(
    id=AccountId('school'), cap=UsageCap(rate_per_s=RATE, burst=BURST)
)
STEP_S = 0.05
INTERVAL_STEPS = 5


def complete(coroutine):
    """Run a coroutine that waits for nothing."""
    try:
        coroutine.send(None)
    except StopIteration:
        return
    raise AssertionError('it waits')


class Model:
    """Daemons with real caps and states, and a network that spoils."""

    def __init__(
        self,
        rng,
        *,
        lost=0.0,
        late=0.0,
        daemons=4,
        centres=('north',),
        links_mbps=None,
        parts=(),
    ):
        self.rng, self.lost, self.late = rng, lost, late
        self.now = 1000.0
        self.underway = []
        self.links_mbps = links_mbps or {}
        """Bandwidth of links by daemon, endless for those not listed."""
        self.link_free_at = {}
        self.parts = parts
        self.cuts = set()
        self.uses = []
        self.messages = self.sent_bytes = 0
        self.count, self.centres = daemons, centres
        self.dead = set()
        self.daemons = [self.start(number) for number in range(daemons)]

    def start(self, number):
        daemon = Daemon(self, number)
        others = [each for each in range(self.count) if each != number]
        daemon.states.add_daemons(
            [DaemonId(str(each)) for each in others],
            {DaemonId(str(each)): self.centre_of(each) for each in others},
            {DaemonId(str(each)): self.link_of(each) for each in others},
        )
        return daemon

    def centre_of(self, number):
        return DataCentreName(self.centres[number % len(self.centres)])

    def link_of(self, number):
        return self.links_mbps.get(number, 0.0)

    def arrives_at(self, source, target, size):
        """Return when a message of `size` bytes has passed both links."""
        at = self.now
        for way in ((source, 'out'), (target, 'in')):
            mbps = self.link_of(way[0])
            if mbps:
                at = max(at, self.link_free_at.get(way, 0.0))
                at += size * 8 / (mbps * 1e6)
                self.link_free_at[way] = at
        return at

    def restart(self, number):
        self.daemons[number] = self.start(number)
        self.dead.discard(number)

    def step(self, step):
        """Let a twentieth of a second pass."""
        self.now += STEP_S
        self.deliver()
        for daemon in self.daemons:
            is_due = (step + daemon.number) % INTERVAL_STEPS == 0
            if is_due and daemon.number not in self.dead:
                complete(daemon.states.tick())

    def deliver(self):
        due = [each for each in self.underway if each[0] <= self.now]
        self.underway = [each for each in self.underway if each[0] > self.now]
        for _, source, target, message in due:
            if (source, target) not in self.cuts and target not in self.dead:
                handler = self.daemons[target].handlers[type(message)]
                complete(handler(DaemonId(str(source)), message))

    def is_lost(self, source, target):
        return (
            target in self.dead
            or (source, target) in self.cuts
            or self.rng.random() < self.lost
        )

    def most_in_window(self):
        return max(
            sum(
                cost
                for at, cost in self.uses
                if begin <= at < begin + WINDOW_S
            )
            for begin, _ in self.uses
        )


class Daemon:
    """One process; as a set of links it hands messages to the model."""

    def __init__(self, model, number):
        self.model, self.number, self.handlers = model, number, {}
        self.states = PeerStates(
            place=DaemonPlace(
                id=DaemonId(str(number)),
                data_centre=model.centre_of(number),
                region='r',
                entry_address=str(number),
                link_mbps=model.link_of(number),
            ),
            incarnation=model.rng.getrandbits(60),
            peers=self,
            clock=lambda: model.now,
            rng=model.rng,
        )
        self.states.state = MemberState.READY
        self.caps = UsageCaps(
            states=self.states,
            rules=CapRules(
                window_s=WINDOW_S, overage=OVERAGE, tolerance=TOLERANCE
            ),
            clock=lambda: model.now,
        )
        self.loans = CapLoans(
            caps=self.caps,
            states=self.states,
            peers=self,
            clock=lambda: model.now,
            rng=model.rng,
        )
        self.states.parts = [self.caps, *model.parts]

    def handle(self, kind, handler):
        self.handlers[kind] = handler

    def set_address(self, *_):
        pass

    def forget(self, *_):
        pass

    async def borrow(self, parts):
        """Ask for parts one after the other, as nothing here waits."""
        for lender in self.loans._find_lenders(math.ceil(2 * parts) + 1):
            await self.loans._request_loan(lender, ACCOUNT.id, min(parts, 0.5))

    async def call(self, id_, message, *, timeout_s):
        """Have a peer answer at once; the way there or back may be lost."""
        model, target = self.model, int(id_)
        if model.is_lost(self.number, target):
            return PeerUnavailable(daemon=id_, reason='lost')
        handler = model.daemons[target].handlers[type(message)]
        answer = await handler(DaemonId(str(self.number)), message)
        if model.is_lost(target, self.number):
            return PeerUnavailable(daemon=id_, reason='lost')
        return answer

    async def notify(self, id_, message):
        model = self.model
        is_batch = isinstance(message, StateBatch)
        size = len(encode(message, EnvelopeType.ONEWAY, 0))
        model.messages += 1
        model.sent_bytes += size
        if is_batch and model.rng.random() < model.lost:
            return
        delay_s = model.rng.uniform(0.0, model.late)
        at = model.arrives_at(self.number, int(id_), size)
        model.underway.append((at + delay_s, self.number, int(id_), message))

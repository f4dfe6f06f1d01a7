"""The two users' days: classes, requests, prices and what goes wrong.

A day of 24 hours is played in 12 minutes, and the load is that of six and
five replicas with four slots each, not of real engines.
"""

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass

from mimosamux_daemon.control.configuration_models import parse_configuration
from mimosamux_daemon.domain.configuration import Configuration

DAY_S = 720.0
HOUR_S = DAY_S / 24
DATA_CENTRES = ('one', 'two', 'three')
DIGEST = '0' * 64


@dataclass(frozen=True, kw_only=True)
class Flow:
    """Requests of one class; tokens, and requests a second at the peak."""

    work_class: str
    peak_per_s: float
    answer_tokens: int
    prefix_tokens: int
    """Leading part of the prompt that other requests share."""
    own_tokens: int
    prefixes: int
    """Number of different shared parts."""


@dataclass(frozen=True, kw_only=True)
class User:
    """One user's configuration and load."""

    name: str
    file_name: str
    flows: tuple[Flow, ...]
    classes: dict[str, dict[str, object]]
    cost_weight: float
    recompute_weight: float

    def configuration(self) -> Configuration:
        """Return the configuration in force all day."""
        return parse_configuration(
            {
                'classes': self.classes,
                'models': {'model': {'version': '1', 'checks_fencing': True}},
                'accounts': {
                    'client': {'key_digests': [DIGEST], 'max_open': 10_000}
                },
                'data_centres': list(DATA_CENTRES),
                'cost_weight': self.cost_weight,
                'recompute_weight': self.recompute_weight,
            },
            version=1,
        )


KLASSRESAN = User(
    name='Klassresan',
    file_name='klassresan',
    flows=(
        Flow(
            work_class='draft',
            peak_per_s=0.40,
            answer_tokens=1000,
            prefix_tokens=512,
            own_tokens=1500,
            prefixes=1,
        ),
        Flow(
            work_class='lookup',
            peak_per_s=0.9,
            answer_tokens=60,
            prefix_tokens=768,
            own_tokens=100,
            prefixes=20,
        ),
    ),
    classes={
        'draft': {
            'first_token_s': 20.0,
            'deadline_s': 900.0,
            'durable': False,
        },
        'lookup': {
            'first_token_s': 1.4,
            'deadline_s': 60.0,
            'priority': 10,
        },
    },
    cost_weight=3.0,
    recompute_weight=1.0,
)
RASEJUMU = User(
    name='Rasējumu',
    file_name='rasejumu',
    flows=(
        Flow(
            work_class='summary',
            peak_per_s=0.35,
            answer_tokens=500,
            prefix_tokens=3072,
            own_tokens=800,
            prefixes=30,
        ),
        Flow(
            work_class='lookup',
            peak_per_s=2.0,
            answer_tokens=60,
            prefix_tokens=3072,
            own_tokens=60,
            prefixes=30,
        ),
    ),
    classes={
        'summary': {'first_token_s': 12.0, 'deadline_s': 600.0},
        'lookup': {
            'first_token_s': 1.4,
            'deadline_s': 60.0,
            'priority': 10,
            'recompute_weight': 3.0,
        },
    },
    cost_weight=1.0,
    recompute_weight=3.0,
)
USERS = {user.name: user for user in (KLASSRESAN, RASEJUMU)}


def day_share(at: float) -> float:
    """Return the load of a time of day as a share of the peak."""
    hour = at / HOUR_S
    if not 6 <= hour <= 20:
        return 0.12
    return 0.12 + 0.88 * math.sin(math.pi * (hour - 6) / 14)


def arrivals(
    user: User, randomness: random.Random
) -> Iterator[tuple[float, Flow]]:
    """Return the times and flows of a day's requests."""
    peak = sum(flow.peak_per_s for flow in user.flows)
    weights = [flow.peak_per_s for flow in user.flows]
    at = 0.0
    while True:
        at += randomness.expovariate(peak)
        if at >= DAY_S:
            return
        if randomness.random() < day_share(at):
            yield at, randomness.choices(user.flows, weights)[0]


@dataclass(frozen=True, kw_only=True)
class Event:
    """What happens on the platform at a time of the day."""

    at: float
    kind: str
    """`price`, `refuse`, `give`, `wave`, `share` or `single`."""
    data_centre: str = ''
    per_hour: float = 0.0


def platform_events(randomness: random.Random) -> list[Event]:
    """Return a day of price changes, refusals and reclaims."""
    events = []
    for name in DATA_CENTRES:
        price = randomness.uniform(0.25, 0.5)
        for hour in range(0, 24, 2):
            price *= math.exp(randomness.gauss(0, 0.12))
            price = min(max(price, 0.2), 0.7)
            events.append(
                Event(
                    at=hour * HOUR_S,
                    kind='price',
                    data_centre=name,
                    per_hour=price,
                )
            )
    for kind, hour in (('wave', 10), ('share', 14), ('wave', 17)):
        name = randomness.choice(DATA_CENTRES)
        at = (hour + randomness.uniform(-1, 1)) * HOUR_S
        events.append(Event(at=at, kind=kind, data_centre=name))
        events.append(Event(at=at, kind='refuse', data_centre=name))
        events.append(Event(at=at + 2 * HOUR_S, kind='give', data_centre=name))
    for _ in range(4):
        events.append(Event(at=randomness.uniform(0, DAY_S), kind='single'))
    return sorted(events, key=lambda event: event.at)

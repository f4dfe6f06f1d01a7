"""Fleets, requests and reports that tests of routing share."""

import itertools
import random
from typing import Any

from mimosamux_daemon.domain.engine import LoadReport
from mimosamux_daemon.domain.names import (
    AccountId,
    ClassName,
    DataCentreName,
    EndpointId,
    ModelName,
    RequestId,
    ServiceName,
    VMId,
)
from mimosamux_daemon.domain.vms import Endpoint
from mimosamux_daemon.domain.work import ModelRequest, WorkClass
from mimosamux_daemon.serving.fleet import Fleet
from mimosamux_daemon.serving.routing import Router

MODEL = ModelName('register')
SERVICE = ServiceName('portal')
LOOKUP = WorkClass(name=ClassName('lookup'), first_token_s=1.0)
_numbers = itertools.count()


def make_endpoint(name: str, **fields: Any) -> Endpoint:
    fields.setdefault('model', MODEL)
    fields.setdefault('data_centre', DataCentreName('riga-1'))
    return Endpoint(
        id=EndpointId(name), vm=VMId(name), address=f'{name}:1', **fields
    )


def make_fleet(count: int, **fields: Any) -> Fleet:
    fleet = Fleet()
    for number in range(count):
        fleet.add(make_endpoint(f'e{number}', **fields))
    return fleet


def make_request(prompt: str = 'x' * 400, **fields: Any) -> ModelRequest:
    fields.setdefault('work_class', LOOKUP)
    fields.setdefault('account', AccountId('small'))
    return ModelRequest(
        id=RequestId(f'r{next(_numbers)}'),
        model=MODEL,
        prompt=prompt,
        max_tokens=50,
        arrived=0.0,
        **fields,
    )


def make_report(name: str, **fields: Any) -> LoadReport:
    values: dict[str, Any] = {
        'endpoint': EndpointId(name),
        'sequence': next(_numbers),
        'age_s': 0.5,
        'queued_prefill_tokens': 0,
        'running': 0,
        'waiting': 0,
        'slots': 16,
        'prefill_tokens_per_s': 10_000.0,
        'decode_interval_s': 0.03,
    }
    return LoadReport(**{**values, **fields})


def make_router(fleet: Fleet, seed: int = 1, **fields: Any) -> Router:
    return Router(fleet=fleet, rng=random.Random(seed), **fields)

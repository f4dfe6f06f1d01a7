"""Plain ways to choose an endpoint, to compare with."""

import itertools

from mimosamux_daemon.domain.work import ModelRequest
from mimosamux_daemon.serving.fleet import EndpointState, Fleet
from mimosamux_daemon.serving.routing import Choice, Router

from benchmarks.fleet_model import MODEL, Chooser


def round_robin(fleet: Fleet, router: Router) -> Chooser:
    """Return a chooser that takes endpoints in turn."""
    turns = itertools.count(id(fleet) % 997)

    def choose(request: ModelRequest) -> Choice:
        states = list(fleet.serving_model(MODEL))
        state = states[next(turns) % len(states)]
        return Choice(endpoint=state.endpoint, first_token_s=0.0)

    return choose


def least_reported(fleet: Fleet, router: Router) -> Chooser:
    """Return a chooser that believes the latest reports as they are."""

    def load_of(state: EndpointState) -> int:
        report = state.report
        if report is None:
            return 0
        return report.queued_prefill_tokens + report.running + report.waiting

    def choose(request: ModelRequest) -> Choice:
        state = min(fleet.serving_model(MODEL), key=load_of)
        return Choice(endpoint=state.endpoint, first_token_s=0.0)

    return choose

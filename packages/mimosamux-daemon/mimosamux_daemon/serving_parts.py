"""Composition root of the serving plane of one daemon."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio
import anyio.abc

from mimosamux_daemon.control.endpoints import EndpointPoller
from mimosamux_daemon.control.handover_targets import MembershipHandoverTargets
from mimosamux_daemon.control.journal_claims import JournalClaims
from mimosamux_daemon.control.one_way_delays import OneWayDelays
from mimosamux_daemon.control.ownership import Ownership
from mimosamux_daemon.control.planning_exchange import PlanningView
from mimosamux_daemon.control.store_guard import GuardedObjectStore
from mimosamux_daemon.control_parts import ControlParts, guard_table
from mimosamux_daemon.domain.names import (
    DataCentreName,
    EndpointId,
    RequestId,
    ServiceName,
)
from mimosamux_daemon.domain.outcomes import Refused
from mimosamux_daemon.domain.vms import Endpoint
from mimosamux_daemon.domain.work import ModelRequest
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.metrics import Metrics
from mimosamux_daemon.platform import Platform
from mimosamux_daemon.serving.admission import Admission
from mimosamux_daemon.serving.cut_requests import CutRequests
from mimosamux_daemon.serving.fleet import Fleet
from mimosamux_daemon.serving.handover import Handover
from mimosamux_daemon.serving.intake import Intake
from mimosamux_daemon.serving.journal import Journal
from mimosamux_daemon.serving.model_serving import (
    HandedOverRequest,
    ModelServing,
)
from mimosamux_daemon.serving.prices import Distances, PriceBook
from mimosamux_daemon.serving.repeatable_calls import RepeatableCalls
from mimosamux_daemon.serving.requests import RequestRegistry
from mimosamux_daemon.serving.retries import RetryBudget
from mimosamux_daemon.serving.routing import Router
from mimosamux_daemon.serving.service_calls import (
    CountedServices,
    ServiceCalls,
)
from mimosamux_daemon.serving.side_effects import SideEffects
from mimosamux_daemon.settings import Settings

log = get_log('serving')

JOURNAL_DRAIN_S = 5.0
"""Time that a stop waits for a table that does not answer."""


@dataclass(kw_only=True)
class ServingParts:
    """Components that take a request from admission to its answer."""

    fleet: Fleet
    prices: PriceBook
    registry: RequestRegistry
    models: ModelServing
    services: ServiceCalls
    side_effects: SideEffects
    journal: Journal
    claims: JournalClaims
    handover: Handover
    targets: MembershipHandoverTargets
    intake: Intake
    cuts: CutRequests
    endpoint_poller: EndpointPoller
    ownership: Ownership

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start the background tasks of the components."""
        tasks.start_soon(self.side_effects.run)
        tasks.start_soon(self.journal.run)
        tasks.start_soon(self.claims.run)
        tasks.start_soon(self.endpoint_poller.run)
        tasks.start_soon(self.ownership.run)

    def note_cut_requests(self) -> None:
        """Note the model requests that end with this daemon."""
        for active in self.registry.open_requests():
            self.cuts.note_work(active.request)

    def note_cut_answer(
        self, *, request: RequestId, path: str, began_at: float
    ) -> None:
        """Note an answer that the server did not finish sending."""
        # The answer of a request that is still open ends with it.
        if request not in self.registry.open_by_id:
            self.cuts.note_answer(
                request=request, path=path, began_at=began_at
            )

    async def drain(self) -> None:
        """Wait for side effects, then briefly for the journal."""
        await self.side_effects.drain()
        with anyio.move_on_after(JOURNAL_DRAIN_S):
            await self.journal.drain()

    def count_open(self) -> int:
        """Return the number of accepted requests that have not ended."""
        models = sum(1 for _ in self.registry.open_requests())
        return models + len(self.services.open_by_id)


def build_serving(
    *,
    settings: Settings,
    platform: Platform,
    control: ControlParts,
    planning_view: PlanningView,
    metrics: Metrics,
    wall_clock: Callable[[], float],
    tasks: anyio.abc.TaskGroup,
) -> ServingParts:
    """Build the serving components on the ports of `platform`.

    Requests run as tasks of `tasks`.
    """
    membership = control.membership
    fleet = control.fleet
    prices = control.prices
    router = Router(
        fleet=fleet,
        prices=prices,
        distances=Distances(
            own=settings.data_centre,
            one_way_s_by_data_centre=OneWayDelays(membership=membership),
        ),
        configuration=lambda: control.in_force.current,
        metrics=metrics,
    )
    admission = Admission(over_ceiling=planning_view.ceilings.over_ceiling)
    registry = RequestRegistry()
    targets = MembershipHandoverTargets(membership=membership)
    cuts = CutRequests(metrics=metrics)
    intake = Intake(has_peers=targets.has_targets)
    journal_table = guard_table(control.guard, platform, 'journal')
    journal = Journal(
        table=journal_table,
        liveness=control.liveness,
        daemon=settings.daemon,
        incarnation=membership.incarnation,
        daemons=lambda: _count_daemons(control),
    )
    models = ModelServing(
        engines=platform.engines,
        fleet=fleet,
        router=router,
        admission=admission,
        registry=registry,
        tasks=tasks,
        metrics=metrics,
        journal=journal,
        meter=planning_view.meter,
        intake=intake,
    )
    side_effects = _build_side_effects(
        settings=settings,
        platform=platform,
        control=control,
        fleet=fleet,
        router=router,
        wall_clock=wall_clock,
    )
    return ServingParts(
        fleet=fleet,
        prices=prices,
        registry=registry,
        models=models,
        services=ServiceCalls(
            side_effects=side_effects,
            repeatable=RepeatableCalls(
                services=CountedServices(
                    services=platform.services, fleet=fleet
                ),
                choose=_service_chooser(router),
                budget=RetryBudget(),
            ),
            admission=admission,
            metrics=metrics,
            intake=intake,
            cuts=cuts,
        ),
        side_effects=side_effects,
        journal=journal,
        claims=JournalClaims(
            journal=journal,
            table=journal_table,
            membership=membership,
            resume_request=_build_resume_request(models, control),
        ),
        handover=Handover(
            serving=models,
            peers=control.peers,
            targets=targets,
            in_force=control.in_force,
            journal=journal,
            intake=intake,
        ),
        targets=targets,
        intake=intake,
        cuts=cuts,
        endpoint_poller=EndpointPoller(
            cloud=platform.cloud,
            fleet=fleet,
            prices=prices,
            peers=control.peers,
            peer_ids=membership.local_peers,
            is_poller=membership.is_poller,
            data_centres=_fixed_list(settings.endpoint_data_centres),
            configuration=lambda: control.in_force.current,
            metrics=metrics,
        ),
        ownership=Ownership(
            daemon=settings.daemon,
            data_centre=settings.data_centre,
            fleet=fleet,
            engines=platform.engines,
            peers=control.peers,
            members=membership,
            shares=admission.shares,
            group=lambda: (
                settings.endpoint_data_centres or membership.data_centres()
            ),
            metrics=metrics,
        ),
    )


def _fixed_list(
    data_centres: tuple[DataCentreName, ...],
) -> Callable[[], tuple[DataCentreName, ...]] | None:
    return (lambda: data_centres) if data_centres else None


def _build_side_effects(
    *,
    settings: Settings,
    platform: Platform,
    control: ControlParts,
    fleet: Fleet,
    router: Router,
    wall_clock: Callable[[], float],
) -> SideEffects:
    return SideEffects(
        table=guard_table(control.guard, platform, 'side_effects'),
        objects=GuardedObjectStore(
            guard=control.guard, objects=platform.objects
        ),
        services=CountedServices(services=platform.services, fleet=fleet),
        choose=_service_chooser(router),
        liveness=control.liveness,
        daemon=settings.daemon,
        incarnation=control.membership.incarnation,
        wall_clock=wall_clock,
        may_clean=control.membership.is_poller,
    )


def _service_chooser(
    router: Router,
) -> Callable[[ServiceName, frozenset[EndpointId]], Endpoint | Refused]:
    def choose(
        service: ServiceName, excluding: frozenset[EndpointId]
    ) -> Endpoint | Refused:
        return router.choose_service(service, excluding=excluding)

    return choose


def _build_resume_request(
    models: ModelServing, control: ControlParts
) -> Callable[[ModelRequest], Awaitable[None]]:
    async def resume_request(request: ModelRequest) -> None:
        result = await models.take_over(
            HandedOverRequest(request=request), control.in_force.current
        )
        if isinstance(result, Refused):
            log.warning(
                'claim_not_served',
                request=request.id,
                account=request.account,
                reason=result.reason,
            )

    return resume_request


def _count_daemons(control: ControlParts) -> int:
    membership = control.membership
    return sum(
        len(membership.known_members(name))
        for name in membership.data_centres()
    )

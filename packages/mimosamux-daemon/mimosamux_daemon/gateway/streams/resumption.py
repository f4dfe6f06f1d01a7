"""Binds streams that callers resume to the software that began them."""

from collections.abc import Callable
from dataclasses import dataclass

import anyio

from mimosamux_daemon.domain.outcomes import Reason, Refused
from mimosamux_daemon.gateway.jobs import Job
from mimosamux_daemon.gateway.metrics import GatewayMetrics
from mimosamux_daemon.gateway.roster import Roster
from mimosamux_daemon.gateway.streams.origins import (
    KnownOrigin,
    StreamOrigins,
)
from mimosamux_daemon.gateway.streams.version_users import VersionUsers
from mimosamux_daemon.gateway.streams.versions import SoftwareVersions
from mimosamux_daemon.logs import get_log

log = get_log('stream_resumption')

LOOKUP_TIMEOUT_S = 0.3
"""Time to wait for the message that tells where a stream began. It was sent
before the stream's first event, and passes three relays at most."""
UNKNOWN_RETRY_S = 0.3
"""Retry-after time while it is not known where a stream began; another daemon
may know."""
NO_ENDPOINT_RETRY_S = 0.5
"""Retry-after time while no endpoint of a stream's version serves."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamResumption:
    """Decides whether a stream that a caller resumes can go on."""

    origins: StreamOrigins
    versions: SoftwareVersions
    users: VersionUsers
    roster: Roster
    metrics: GatewayMetrics
    list_age_s: Callable[[], float]
    """Age of the endpoint list, which shows the versions."""
    peers_heard: Callable[[], int]
    """Number of peers whose digests are current."""
    clock: Callable[[], float]

    async def bind(self, job: Job) -> Refused | None:
        """Set the origin of a resumed stream; refuse one that cannot go on.

        A guess would join events of two versions wherever a service runs, or
        recently ran, more than one.
        """
        if not (job.is_stream and job.request.last_event_id):
            return None
        began_at = self.clock()
        known = await self._find_known(job)
        job.origin = None if known is None else known.origin
        is_only_version = known is None and self._bind_to_only_version(job)
        is_of_before = job.origin is None and await self._bind_to_before(job)
        refusal, result = self._judge(job)
        if is_only_version and refusal is None:
            result = 'one_version'
        elif is_of_before and refusal is None:
            result = 'version_before'
        self.metrics.resumptions.inc(
            {'service': job.service.name, 'result': result}
        )
        log.info(
            'stream_resumed',
            request=job.request.id,
            resumes=job.request.resumes,
            service=job.service.name,
            software=None if job.origin is None else job.origin.software,
            result=result,
            source=None if known is None else known.source,
            age_s=None if known is None else round(began_at - known.at, 2),
            list_age_s=round(self.list_age_s(), 2),
            peers_heard=self.peers_heard(),
            waited_s=round(self.clock() - began_at, 3),
        )
        return refusal

    async def _find_known(self, job: Job) -> KnownOrigin | None:
        """Return where a stream began; wait where that decides anything."""
        request = job.request.resumes or ''
        if not self.versions.are_several(job.route):
            return self.origins.find_known(request)
        timeout_s = min(LOOKUP_TIMEOUT_S, max(job.left_s(self.clock()), 0.0))
        return await self.origins.wait_for(request, timeout_s)

    def _bind_to_only_version(self, job: Job) -> bool:
        """Bind a stream to the one version at which it can have begun.

        Another one that is listed before the stream is sent did not begin it.
        """
        if self.versions.are_several(job.route):
            return False
        job.origin = next(iter(self.versions.of_route(job.route)), None)
        return job.origin is not None

    async def _bind_to_before(self, job: Job) -> bool:
        """Bind a stream to the one version that ran before there were more."""
        timeout_s = min(LOOKUP_TIMEOUT_S, max(job.left_s(self.clock()), 0.0))
        with anyio.move_on_after(timeout_s):
            job.origin = await self.users.find_unknown(
                job.route, job.request.resumes or ''
            )
        return job.origin is not None

    def _judge(self, job: Job) -> tuple[Refused | None, str]:
        """Return the refusal of a stream, if any, and the result to log."""
        service, origin = job.service.name, job.origin
        if origin is None:
            return Refused(
                reason=Reason.ORIGIN_UNKNOWN,
                message=(
                    f'route {job.route.name} has or had several software '
                    'versions, and it is not known which one began the stream'
                ),
                retry_after_s=UNKNOWN_RETRY_S,
            ), 'unknown'
        serving = self.roster.serving(service)
        if any(origin.allows(record.listed) for record in serving):
            return None, 'bound'
        return Refused(
            reason=Reason.NO_ENDPOINT,
            message=(
                f'the stream began at version {origin.software} of '
                f'{origin.service}, which no endpoint of {service} runs'
            ),
            retry_after_s=NO_ENDPOINT_RETRY_S,
        ), 'no_endpoint'

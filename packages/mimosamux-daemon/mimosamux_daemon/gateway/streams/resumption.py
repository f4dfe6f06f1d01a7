"""Binds streams that callers resume to the software that began them."""

from collections.abc import Callable
from dataclasses import dataclass

from mimosamux_daemon.domain.outcomes import Reason, Refused
from mimosamux_daemon.domain.stream_origins import StreamOrigin
from mimosamux_daemon.gateway.jobs import Job
from mimosamux_daemon.gateway.metrics import GatewayMetrics
from mimosamux_daemon.gateway.roster import Roster
from mimosamux_daemon.gateway.streams.inquiry import (
    Findings,
    StreamInquiry,
)
from mimosamux_daemon.gateway.streams.origins import (
    OWN,
    KnownOrigin,
    StreamOrigins,
)
from mimosamux_daemon.gateway.streams.versions import SoftwareVersions
from mimosamux_daemon.logs import get_log

log = get_log('stream_resumption')

INQUIRY_TIMEOUT_S = 0.7
"""Time to wait for the answers of the table and the peers: a round of
questions that is in progress, and the one behind it."""
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
    inquiry: StreamInquiry
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
        known, findings = self._find_own(job), None
        if known is None:
            findings = await self._ask(job)
            known = await self._find_told(job, findings)
        if known is not None:
            job.origin = known.origin
        elif findings is not None:
            job.origin = self._find_beginning(job, findings)
        refusal, result = self._judge(job)
        if known is None and refusal is None:
            result = self._name_unknown(job)
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
            **_render(findings),
            waited_s=round(self.clock() - began_at, 3),
        )
        return refusal

    def _find_own(self, job: Job) -> KnownOrigin | None:
        """Return where a stream that this daemon served began."""
        known = self.origins.find_known(job.request.resumes or '')
        is_own = known is not None and known.source == OWN
        return known if is_own else None

    async def _ask(self, job: Job) -> Findings:
        timeout_s = min(INQUIRY_TIMEOUT_S, max(job.left_s(self.clock()), 0.0))
        return await self.inquiry.ask(job.request.resumes or '', timeout_s)

    async def _find_told(
        self, job: Job, findings: Findings
    ) -> KnownOrigin | None:
        """Return where others say that a stream began.

        What they said before proves nothing if nobody answers now: word of a
        later attempt, at another version, may not have arrived.
        """
        request = job.request.resumes or ''
        if not findings.is_heard:
            return None
        if not (
            self.versions.are_several(job.route)
            and self.inquiry.may_be_told_later(request, findings)
        ):
            return self.origins.find_known(request)
        timeout_s = min(LOOKUP_TIMEOUT_S, max(job.left_s(self.clock()), 0.0))
        return await self.origins.wait_for(request, timeout_s)

    def _find_beginning(
        self, job: Job, findings: Findings
    ) -> StreamOrigin | None:
        """Return where a stream that nobody told of began, None if unsure."""
        if len(job.route.splits) != 1:
            return None
        return self.inquiry.find_beginning(
            job.request.resumes or '', job.route.splits[0].service, findings
        )

    def _name_unknown(self, job: Job) -> str:
        """Return the result to log for a stream that nobody told of."""
        is_several = self.versions.are_several(job.route)
        return 'version_before' if is_several else 'one_version'

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


def _render(findings: Findings | None) -> dict[str, object]:
    """Return the fields that say what an inquiry found."""
    if findings is None:
        return {}
    return {
        'asked': len(findings.expected | findings.silent),
        'answered': len(findings.answer_by_id),
        'users': None if findings.users is None else len(findings.users),
    }

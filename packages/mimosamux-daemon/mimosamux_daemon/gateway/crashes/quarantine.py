"""Refuses requests whose content is quarantined after endpoint crashes."""

from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import anyio

from mimosamux_daemon.domain.names import ContentKey
from mimosamux_daemon.domain.outcomes import Reason, Refused
from mimosamux_daemon.gateway.crashes.exchange import CrashExchange
from mimosamux_daemon.gateway.crashes.probes import CrashProbes
from mimosamux_daemon.gateway.crashes.suspects import CrashSuspects, join_ids
from mimosamux_daemon.gateway.jobs import Job
from mimosamux_daemon.logs import get_log

log = get_log('crash_quarantine')

PROBE_RETRY_S = 1.0
"""Retry-after time in seconds of requests that are refused while a probe
request decides about their content."""


@dataclass(frozen=True, kw_only=True, slots=True, eq=False)
class AdmittedJob:
    """An admitted request, and the scope that it runs in."""

    job: Job
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)


@dataclass(kw_only=True, slots=True)
class CrashQuarantine:
    """Decides whether a request may be sent, and sent again.

    A request is quarantined if its content is, or a part of its prompt.
    """

    suspects: CrashSuspects
    probes: CrashProbes
    exchange: CrashExchange
    _admitted: set[AdmittedJob] = field(default_factory=set)
    """Requests under way; those that were not sent wait for an endpoint."""

    def __post_init__(self) -> None:
        self.exchange.on_held.append(self._end_waits)

    def find_refusal(self, job: Job) -> Refused | None:
        """Return the refusal of a new request, None if it may be sent."""
        held = self.find_hold(job)
        if held is not None:
            return held
        due = [*filter(self.suspects.is_probe_due, job.suspect_keys)]
        if not due:
            return None
        if not self.probes.begin(due):
            return self._refuse(job, due[0], PROBE_RETRY_S)
        for key in due:
            log.info('content_tried', content=key, request=job.request.id)
        return None

    def find_hold(self, job: Job) -> Refused | None:
        """Return the refusal of a request that is quarantined now."""
        for key in job.suspect_keys:
            left_s = self.suspects.quarantine_left_s(key)
            if left_s > 0:
                return self._refuse(job, key, left_s)
        return None

    @contextmanager
    def ending_wait(self, job: Job) -> Iterator[anyio.CancelScope]:
        """Cancel the block if its request is quarantined before it is sent.

        It would wait for an endpoint that it may not be sent to.
        """
        admitted = AdmittedJob(job=job)
        self._admitted.add(admitted)
        try:
            with admitted.scope:
                yield admitted.scope
        finally:
            self._admitted.discard(admitted)

    def _end_waits(self, content: ContentKey) -> None:
        """End the waits of requests that hold a quarantined content."""
        for admitted in self._admitted:
            job = admitted.job
            if not job.sends and content in job.suspect_keys:
                admitted.scope.cancel()

    def _refuse(self, job: Job, key: ContentKey, left_s: float) -> Refused:
        crashed = sorted(self.suspects.by_content[key].crashed)
        part_id = job.part_id_by_key.get(key)
        what = 'content' if part_id is None else f'prompt part {part_id},'
        return Refused(
            reason=Reason.CRASHES_ENDPOINTS,
            message=(
                f'{len(crashed)} endpoints crashed under {what} {key}, '
                f'which has not run whole since: {join_ids(crashed)}'
            ),
            retry_after_s=left_s,
        )

    def is_suspected(self, job: Job) -> bool:
        """Whether any endpoint crashed while running what a request holds."""
        return any(map(self.suspects.crashes, job.suspect_keys))

    def is_quarantined(self, job: Job) -> bool:
        """Whether a request is quarantined at the moment."""
        return any(map(self.suspects.quarantine_left_s, job.suspect_keys))

    def may_retry(self, job: Job, *, was_not_run: bool) -> bool:
        """Whether a failed request may be sent to another endpoint.

        One that has run and failed just now may have crashed its endpoint,
        which is detected only a moment later.
        """
        if self.is_quarantined(job):
            return False
        return was_not_run or all(
            map(self.suspects.may_retry, job.suspect_keys)
        )

    def note_completion(self, contents: Iterable[ContentKey]) -> None:
        """Record that a request ran from start to end at one endpoint.

        Parts of its prompt may be recorded sooner. A stream that was resumed
        after an endpoint crashed does not count: it may crash each endpoint a
        few events further on and still complete.
        """
        for key in contents:
            if self.suspects.note_completion(key):
                self.exchange.announce_cleared(key, source='a whole run')

    def release(self, content: ContentKey) -> bool:
        """Clear a content for an operator; False if it is not suspected."""
        if not self.suspects.clear(content):
            return False
        self.exchange.announce_cleared(content, source='an operator')
        return True

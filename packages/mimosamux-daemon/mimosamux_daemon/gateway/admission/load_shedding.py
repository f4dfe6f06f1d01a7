"""Load shedding: refuses requests whose first event would come too late.

A request behind a long queue misses its latency target and delays those
behind it. If it is refused at once, its caller can still retry, and the
engines spend their time on requests that are on time.
"""

from collections.abc import Callable
from dataclasses import dataclass

from mimosamux_daemon.domain.outcomes import Reason, Refused
from mimosamux_daemon.gateway.admission.retry_times import (
    MAX_RETRY_AFTER_SHARE,
    MIN_RETRY_AFTER_S,
)
from mimosamux_daemon.gateway.balancing.choice import Choice
from mimosamux_daemon.gateway.jobs import Job
from mimosamux_daemon.serving.fair_shares import FairShares

TARGET_SHARE = 0.9
"""Largest estimated time to the first event, as a share of the latency target.
At 0.6, requests were refused that would have been in time; at 1.2, more were
late than were gained."""
OVERUSE_TARGET_SHARE = 0.5
"""The same for an account that already gets more than its fair share."""
WINDOW_S = 4.0
"""Time window over which the use of accounts is compared."""


@dataclass(kw_only=True, slots=True)
class LoadShedding:
    """Refuses requests that would miss their latency target."""

    shares: FairShares
    clock: Callable[[], float]

    def find_refusal(self, job: Job, choice: Choice) -> Refused | None:
        """Return the refusal of a request, None if it may be sent.

        Only first attempts at model engines are refused.
        """
        prompt = job.request.prompt
        if prompt is None or job.service.engine is None or job.sends:
            return None
        late_s = self.late_s(job, counted_s(choice))
        self.note_offered(job)
        if late_s <= 0:
            self.note_admitted(job)
            return None
        left_s = job.left_s(self.clock())
        return Refused(
            reason=Reason.NO_CAPACITY,
            message=describe_estimate(choice),
            retry_after_s=min(
                max(late_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_SHARE * left_s
            ),
        )

    def late_s(self, job: Job, first_event_s: float) -> float:
        """Return by how much such a first event is too late, in seconds."""
        limit_s = job.route.latency_target_s * self._target_share(job)
        return first_event_s - limit_s

    def note_offered(self, job: Job) -> None:
        """Count a request's demand for the fair shares of accounts."""
        if job.account is None or job.request.prompt is None:
            return
        self.shares.note_offered(
            job.account.id,
            share=1.0,
            tokens=float(job.request.prompt.tokens),
            now=self.clock(),
        )

    def note_admitted(self, job: Job) -> None:
        """Count a request as admitted, after `note_offered`.

        The demand of an account may have been forgotten while its request
        waited.
        """
        if job.account is None or job.request.prompt is None:
            return
        if self.shares.is_known(job.account.id):
            tokens = float(job.request.prompt.tokens)
            self.shares.note_admitted(job.account.id, tokens=tokens)

    def _target_share(self, job: Job) -> float:
        """Return the share of the latency target for a job's account."""
        if job.account is None or not self.shares.is_known(job.account.id):
            return TARGET_SHARE
        is_over = self.shares.is_over(job.account.id)
        return OVERUSE_TARGET_SHARE if is_over else TARGET_SHARE


def counted_s(choice: Choice) -> float:
    """Return the part of the time to the first event that counts.

    Prefill of the request's own prompt beyond the usual does not count as
    lateness.
    """
    return choice.first_event_s - choice.own_prefill_excess_s


def describe_estimate(choice: Choice) -> str:
    """Return the message of a refusal for lateness."""
    return f'it would begin after {choice.first_event_s:.2f} s'

"""When a request is turned away because no endpoint has room in time.

A request that waits behind a long queue is late, and makes those behind it
late as well. Turned away at once, its caller can still come again, and the
engines stay with work that is on time.
"""

from collections.abc import Callable
from dataclasses import dataclass

from mimosamux_daemon.domain.outcomes import Reason, Refused
from mimosamux_daemon.gateway.choice import Choice
from mimosamux_daemon.gateway.jobs import Job
from mimosamux_daemon.serving.fair_shares import FairShares

FULL_SHARE = 0.9
"""Share of its latency target that the first event may take. At 0.6 requests
were refused that would have been in time, at 1.2 more came late than were
gained."""
OVER_SHARE = 0.5
"""The same for an account that gets more than its fair part already."""
WINDOW_S = 4.0
"""Time over which the use of accounts is compared."""
LEAST_WAIT_S = 0.2
MOST_PATIENCE_SHARE = 0.3
"""Part of what is left of a caller's patience after which it is asked to
come again at the latest; it would not wait for longer."""


@dataclass(kw_only=True, slots=True)
class Overload:
    """Turns requests away that would be late."""

    shares: FairShares
    clock: Callable[[], float]

    def find_refusal(self, job: Job, choice: Choice) -> Refused | None:
        """Return why a request is not sent, None if it may be."""
        prompt = job.request.prompt
        if prompt is None or job.service.engine is None or job.sends:
            return None
        limit_s = job.route.target_s * self._limit_share(job)
        late_s = choice.first_event_s - limit_s - choice.own_prefill_excess_s
        if late_s <= 0:
            self._note(job, is_admitted=True)
            return None
        self._note(job, is_admitted=False)
        left_s = job.left_s(self.clock())
        return Refused(
            reason=Reason.NO_CAPACITY,
            message=f'it would begin after {choice.first_event_s:.2f} s',
            retry_after_s=min(
                max(late_s, LEAST_WAIT_S), MOST_PATIENCE_SHARE * left_s
            ),
        )

    def _limit_share(self, job: Job) -> float:
        if job.account is None or not self.shares.is_known(job.account.id):
            return FULL_SHARE
        is_over = self.shares.is_over(job.account.id)
        return OVER_SHARE if is_over else FULL_SHARE

    def _note(self, job: Job, *, is_admitted: bool) -> None:
        if job.account is None or job.request.prompt is None:
            return
        tokens = float(job.request.prompt.tokens)
        self.shares.note_offered(
            job.account.id, share=1.0, tokens=tokens, now=self.clock()
        )
        if is_admitted:
            self.shares.note_admitted(job.account.id, tokens=tokens)

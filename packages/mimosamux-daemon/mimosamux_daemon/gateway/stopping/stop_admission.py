"""Refuses requests that a stopping daemon cannot finish."""

from collections.abc import Callable
from dataclasses import dataclass

from mimosamux_daemon.domain.gateway import AnswerTruncated
from mimosamux_daemon.domain.outcomes import Failed, Reason, Refused
from mimosamux_daemon.gateway.jobs import Job
from mimosamux_daemon.gateway.stopping.answer_times import AnswerTimes
from mimosamux_daemon.stop_window import StopWindow

ELSEWHERE_RETRY_S = 0.0
"""Retry-after time of a request that another daemon can take at once."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StopAdmission:
    """Decides before each send whether the request can still be finished."""

    window: StopWindow
    answer_times: AnswerTimes
    clock: Callable[[], float]

    def find_refusal(self, job: Job) -> Refused | Failed | None:
        """Return the outcome of a request that would be cut, else None.

        A stream whose answer has begun goes on: it cannot be refused.
        """
        if not self.window.is_stopping or job.sink.is_started:
            return None
        now = self.clock()
        limit_s = job.left_s(now)
        expected_s = self.answer_times.expected_s(job.route.name)
        if self.window.can_finish(
            now=now,
            limit_s=limit_s,
            expected_s=expected_s,
            may_have_run=job.may_have_run,
        ):
            return None
        return job.give_up(
            Reason.STOPPING,
            f'the daemon stops in {max(self.window.ends_at - now, 0.0):.1f} s,'
            f' and it may take {limit_s:.1f} s (usually {expected_s:.1f} s)',
            retry_after_s=ELSEWHERE_RETRY_S,
        )

    def refuse_unadmitted(self) -> Refused:
        """Return the refusal of a request that waits when the stop ends."""
        return Refused(
            reason=Reason.STOPPING,
            message=self._describe_end(),
            retry_after_s=ELSEWHERE_RETRY_S,
        )

    def cut(self, job: Job) -> Refused | Failed | AnswerTruncated:
        """Return the outcome of a request that is open when the stop ends."""
        message = self._describe_end()
        if job.sink.is_started:
            return AnswerTruncated(reason=message, cause=Reason.STOPPING)
        return job.give_up(
            Reason.STOPPING, message, retry_after_s=ELSEWHERE_RETRY_S
        )

    def _describe_end(self) -> str:
        behind_s = self.window.behind_s(self.clock())
        return f'the daemon stopped, {behind_s:.1f} s behind the signal'

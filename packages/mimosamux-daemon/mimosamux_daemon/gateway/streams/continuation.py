"""Sends a moved stream to its copy again if it is turned down there."""

from dataclasses import dataclass

import anyio

from mimosamux_daemon.gateway.attempts import Attempt
from mimosamux_daemon.gateway.jobs import Job
from mimosamux_daemon.gateway.limits.retry_budget import RetryBudget
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports.endpoint_calls import RequestRejected

log = get_log('continuation')

MAX_CONTINUATIONS = 5
"""Most times that a stream is sent to its copies once more."""
PAUSE_S = 0.2


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamContinuation:
    """Decides whether a moved stream may try its copy again."""

    budget: RetryBudget

    async def wait(
        self, job: Job, attempt: Attempt, answer: RequestRejected
    ) -> bool:
        """Prepare the next try after a pause; False if there is none.

        The run of a moved stream has been stopped, and its copy is all that
        is left of it. An endpoint that turns it down has not used the copy.
        """
        if (
            attempt.copy_source is None
            or not answer.is_full
            or job.continuations >= MAX_CONTINUATIONS
            or not self.budget.take(job.service.name)
        ):
            return False
        job.continuations += 1
        log.info(
            'continuation_turned_down',
            request=job.request.id,
            endpoint=attempt.endpoint.id,
            tries=job.continuations,
        )
        await anyio.sleep(PAUSE_S)
        job.kv_source = attempt.copy_source
        job.move_target = attempt.endpoint.id
        return True

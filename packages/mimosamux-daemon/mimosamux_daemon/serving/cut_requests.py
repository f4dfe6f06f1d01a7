"""Record of the requests that the end of a stop cuts."""

from dataclasses import dataclass
from enum import StrEnum

import anyio

from mimosamux_daemon.domain.work import ModelRequest, ServiceCall
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.metrics import Metrics

log = get_log('stopping')

MAX_LINES = 100
"""Cut requests that are logged one by one; all are counted."""


class CutReason(StrEnum):
    """Why a stop could not wait for a request."""

    NOT_HANDED_OVER = 'not_handed_over'
    """No peer has taken it over in time."""
    NOT_REPEATABLE = 'not_repeatable'
    """It could not move to a peer and had not ended in time."""
    UNANSWERED = 'unanswered'
    """The service had not answered in time."""
    UNREAD = 'unread'
    """Its caller had not read the answer in time."""


@dataclass(kw_only=True, slots=True)
class CutRequests:
    """Logs and counts the requests that a stop has cut."""

    metrics: Metrics
    count: int = 0

    def note_work(self, work: ModelRequest | ServiceCall) -> None:
        """Note an accepted request that has no outcome."""
        if not work.work_class.repeatable:
            reason = CutReason.NOT_REPEATABLE
        elif isinstance(work, ModelRequest):
            reason = CutReason.NOT_HANDED_OVER
        else:
            reason = CutReason.UNANSWERED
        self._note(
            reason,
            work.arrived,
            request=work.id,
            account=work.account,
            work_class=work.work_class.name,
        )

    def note_answer(self, *, request: str, path: str, began_at: float) -> None:
        """Note an answer that was not sent completely.

        `request` is empty if the answer named none.
        """
        self._note(CutReason.UNREAD, began_at, request=request, path=path)

    def _note(self, reason: CutReason, began_at: float, **fields: str) -> None:
        self.count += 1
        self.metrics.requests_cut.inc(
            {
                'work_class': fields.get('work_class', ''),
                'reason': str(reason),
            }
        )
        if self.count <= MAX_LINES:
            log.warning(
                'request_cut',
                reason=str(reason),
                age_s=round(anyio.current_time() - began_at, 3),
                **fields,
            )

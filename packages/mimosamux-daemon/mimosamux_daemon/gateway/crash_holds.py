"""Decides whether a request may be sent, from the crashes of its content.

Contents that repeatedly crash endpoints are quarantined; see crash_suspects.
"""

from dataclasses import dataclass

from mimosamux_daemon.domain.names import ContentKey
from mimosamux_daemon.domain.outcomes import Reason, Refused
from mimosamux_daemon.gateway.crash_exchange import CrashExchange
from mimosamux_daemon.gateway.crash_suspects import CrashSuspects, join_ids
from mimosamux_daemon.gateway.crash_trials import CrashTrials
from mimosamux_daemon.logs import get_log

log = get_log('crash_holds')

TRIAL_RETRY_S = 1.0
"""Retry-after time in seconds of requests that are refused while a probe
request decides about their content."""


@dataclass(kw_only=True, slots=True)
class CrashHolds:
    """Decides whether a content may be sent, and sent again."""

    suspects: CrashSuspects
    trials: CrashTrials
    exchange: CrashExchange

    def find_refusal(self, content: ContentKey) -> Refused | None:
        """Return the refusal of a new request, None if it may be sent."""
        left_s = self.suspects.held_s(content)
        if left_s <= 0 and not self.suspects.is_on_trial(content):
            return None
        if left_s <= 0:
            if self.trials.begin(content):
                log.info('content_tried', content=content)
                return None
            left_s = TRIAL_RETRY_S
        crashed = sorted(self.suspects.by_content[content].crashed)
        return Refused(
            reason=Reason.CRASHES_ENDPOINTS,
            message=(
                f'{len(crashed)} endpoints crashed under content {content}, '
                f'which has not run whole since: {join_ids(crashed)}'
            ),
            retry_after_s=left_s,
        )

    def is_suspected(self, content: ContentKey) -> bool:
        """Whether any endpoint crashed while running a content."""
        return self.suspects.crashes(content) > 0

    def is_held(self, content: ContentKey) -> bool:
        """Whether a content is in quarantine."""
        return self.suspects.held_s(content) > 0

    def may_go_on(self, content: ContentKey, *, is_unrun: bool) -> bool:
        """Whether a failed request may be sent to another endpoint.

        `is_unrun` says that the endpoint did not run the request. If it did,
        the request may have crashed the endpoint, which is detected only a
        moment later.
        """
        if self.is_held(content):
            return False
        return is_unrun or self.suspects.may_go_on(content)

    def note_whole(self, content: ContentKey) -> None:
        """Record that a content ran from start to end at one endpoint.

        A stream that was resumed after an endpoint crashed does not count:
        it may crash each endpoint a few events further on and still complete.
        """
        if self.suspects.note_whole(content):
            self.exchange.tell_cleared(content, source='a whole run')

    def release(self, content: ContentKey) -> bool:
        """Clear a content for an operator; False if it is no suspect."""
        if not self.suspects.clear(content):
            return False
        self.exchange.tell_cleared(content, source='an operator')
        return True

"""Which requests are held back, as those who pass them on ask."""

from dataclasses import dataclass

from mimosamux_daemon.domain.names import ContentKey
from mimosamux_daemon.domain.outcomes import Reason, Refused
from mimosamux_daemon.gateway.crash_exchange import CrashExchange
from mimosamux_daemon.gateway.crash_suspects import CrashSuspects, join_ids
from mimosamux_daemon.gateway.crash_trials import CrashTrials
from mimosamux_daemon.logs import get_log

log = get_log('crash_holds')

TRIAL_RETRY_S = 1.0
"""When to come again while a content is tried."""


@dataclass(kw_only=True, slots=True)
class CrashHolds:
    """Decides whether a content may be sent, and sent on."""

    suspects: CrashSuspects
    trials: CrashTrials
    exchange: CrashExchange

    def find_refusal(self, content: ContentKey) -> Refused | None:
        """Return why a request is not begun now, None if it may be."""
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
        """Whether endpoints crashed under a content."""
        return self.suspects.crashes(content) > 0

    def is_held(self, content: ContentKey) -> bool:
        """Whether a content is held back at the moment."""
        return self.suspects.held_s(content) > 0

    def may_go_on(self, content: ContentKey, *, is_unrun: bool) -> bool:
        """Whether a content may go on at a further endpoint.

        One that has run and failed just now may have crashed its endpoint,
        which is known only a moment later.
        """
        if self.is_held(content):
            return False
        return is_unrun or self.suspects.may_go_on(content)

    def note_whole(self, content: ContentKey) -> None:
        """Note that a content has run from its start to its end.

        One that went on behind the events of a crashed endpoint has not:
        it may end what it begins each time, a few events further.
        """
        if self.suspects.note_whole(content):
            self.exchange.tell_cleared(content, source='a whole run')

    def release(self, content: ContentKey) -> bool:
        """Let go a content for an operator; False if it is not known."""
        if not self.suspects.clear(content):
            return False
        self.exchange.tell_cleared(content, source='an operator')
        return True

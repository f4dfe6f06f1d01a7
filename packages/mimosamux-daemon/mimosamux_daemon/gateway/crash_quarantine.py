"""Refuses requests whose content is quarantined after endpoint crashes."""

from dataclasses import dataclass

from mimosamux_daemon.domain.names import ContentKey
from mimosamux_daemon.domain.outcomes import Reason, Refused
from mimosamux_daemon.gateway.crash_exchange import CrashExchange
from mimosamux_daemon.gateway.crash_probes import CrashProbes
from mimosamux_daemon.gateway.crash_suspects import CrashSuspects, join_ids
from mimosamux_daemon.logs import get_log

log = get_log('crash_quarantine')

PROBE_RETRY_S = 1.0
"""Retry-after time in seconds of requests that are refused while a probe
request decides about their content."""


@dataclass(kw_only=True, slots=True)
class CrashQuarantine:
    """Decides whether a content may be sent, and sent again."""

    suspects: CrashSuspects
    probes: CrashProbes
    exchange: CrashExchange

    def find_refusal(self, content: ContentKey) -> Refused | None:
        """Return the refusal of a new request, None if it may be sent."""
        left_s = self.suspects.quarantine_left_s(content)
        if left_s <= 0 and not self.suspects.is_probe_due(content):
            return None
        if left_s <= 0:
            if self.probes.begin(content):
                log.info('content_tried', content=content)
                return None
            left_s = PROBE_RETRY_S
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

    def is_quarantined(self, content: ContentKey) -> bool:
        """Whether a content is quarantined at the moment."""
        return self.suspects.quarantine_left_s(content) > 0

    def may_retry(self, content: ContentKey, *, was_not_run: bool) -> bool:
        """Whether a failed request may be sent to another endpoint.

        One that has run and failed just now may have crashed its endpoint,
        which is detected only a moment later.
        """
        if self.is_quarantined(content):
            return False
        return was_not_run or self.suspects.may_retry(content)

    def note_completion(self, content: ContentKey) -> None:
        """Record that a content ran from start to end at one endpoint.

        A stream that was resumed after an endpoint crashed does not count:
        it may crash each endpoint a few events further on and still complete.
        """
        if self.suspects.note_completion(content):
            self.exchange.announce_cleared(content, source='a whole run')

    def release(self, content: ContentKey) -> bool:
        """Clear a content for an operator; False if it is not suspected."""
        if not self.suspects.clear(content):
            return False
        self.exchange.announce_cleared(content, source='an operator')
        return True

"""A judge of new versions by fixed shares, to compare others with."""

from mimosamux_daemon.gateway.trial_judge import (
    FINAL_ELAPSED,
    MIN_ANSWERS,
    MIN_ELAPSED,
    Evidence,
    Group,
    Judgement,
    Verdict,
    group_tallies,
)


class ThresholdJudge:
    """Judges by fixed shares after fixed numbers of answers."""

    def __init__(
        self,
        *,
        fewest_answers: int = 30,
        further_share: float = 0.15,
        min_elapsed: float = MIN_ELAPSED,
        final_elapsed: float = FINAL_ELAPSED,
    ) -> None:
        self._fewest_answers = fewest_answers
        self._further_share = further_share
        self._min_elapsed = min_elapsed
        self._final_elapsed = final_elapsed

    def judge(self, evidence: Evidence) -> Judgement:
        """Return what the answers so far say of the new version."""
        whole = group_tallies(evidence.by_source).get(None, Group())
        reason = f'{whole.new.answers} answers, {whole.new.bad} bad'
        answers = whole.new.answers
        is_last = evidence.elapsed >= self._final_elapsed
        if answers < (MIN_ANSWERS if is_last else self._fewest_answers):
            return Judgement(verdict=Verdict.OPEN, reason=reason)
        control = whole.control.bad / max(whole.control.answers, 1)
        if whole.new.bad / answers > control + self._further_share:
            return Judgement(verdict=Verdict.BAD, reason=reason)
        if evidence.elapsed < self._min_elapsed and not evidence.is_urgent:
            return Judgement(verdict=Verdict.OPEN, reason=reason)
        return Judgement(verdict=Verdict.GOOD, reason=reason)

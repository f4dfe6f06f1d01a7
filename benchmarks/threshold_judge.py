"""A judge of new versions by fixed shares, to compare others with."""

from mimosamux_daemon.gateway.trial_judge import (
    FEWEST_ANSWERS,
    LAST_PART,
    LEAST_PART,
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
        least_part: float = LEAST_PART,
        last_part: float = LAST_PART,
    ) -> None:
        self._fewest_answers = fewest_answers
        self._further_share = further_share
        self._least_part = least_part
        self._last_part = last_part

    def judge(self, evidence: Evidence) -> Judgement:
        """Return what the answers so far say of the new version."""
        whole = group_tallies(evidence.by_kind).get(None, Group())
        reason = f'{whole.new.answers} answers, {whole.new.bad} bad'
        answers = whole.new.answers
        is_last = evidence.passed >= self._last_part
        if answers < (FEWEST_ANSWERS if is_last else self._fewest_answers):
            return Judgement(verdict=Verdict.OPEN, reason=reason)
        control = whole.control.bad / max(whole.control.answers, 1)
        if whole.new.bad / answers > control + self._further_share:
            return Judgement(verdict=Verdict.BAD, reason=reason)
        if evidence.passed < self._least_part and not evidence.is_urgent:
            return Judgement(verdict=Verdict.OPEN, reason=reason)
        return Judgement(verdict=Verdict.GOOD, reason=reason)

"""What is known of the end of an endpoint's answer."""

from dataclasses import dataclass
from enum import StrEnum

from mimosamux_daemon.domain.http_messages import BodyFraming


class EndEvidence(StrEnum):
    """What an answer that has ended was taken for whole, or for cut, by."""

    FRAMED = 'framed'
    """Its length or its last chunk marks the end."""
    PROCESS_ANSWERED = 'process_answered'
    """Only its connection ended, and its process has answered since."""
    RUN_STOPPED = 'run_stopped'
    """Its run may have been stopped for a move: the answer is cut."""
    PROCESS_ENDED = 'process_ended'
    """No process listens any more: the answer is cut."""
    PROCESS_REPLACED = 'process_replaced'
    """Another process is at its address: the answer is cut."""
    PROCESS_UNIDENTIFIED = 'process_unidentified'
    """What answers is not known to be its process: it may be cut."""
    PROCESS_SILENT = 'process_silent'
    """Its process has not answered since: the answer may be cut."""


@dataclass(frozen=True, kw_only=True, slots=True)
class AnswerEnd:
    """The end of an answer, as received."""

    framing: BodyFraming
    via: str
    """Address of the peer's tunnel that it came through, empty: none."""
    evidence: EndEvidence
    wait_s: float
    """Time that the caller waited for the evidence."""

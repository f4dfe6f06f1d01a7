"""Refusals and outcomes that callers of non-repeatable calls receive."""

from mimosamux_daemon.domain.outcomes import (
    Answered,
    Failed,
    InDoubt,
    Outcome,
    Reason,
    Refused,
    Unknown,
)
from mimosamux_daemon.domain.work import ServiceCall
from mimosamux_daemon.serving.side_effect_rows import (
    MAX_KEY_LENGTH,
    BodyLocation,
    StoredAnswer,
)

IN_DOUBT_RETRY_AFTER_S = 2.0
"""Retry-After of in-doubt answers that replace a refusal without one."""


def check_key(call: ServiceCall) -> Refused | None:
    """Return a refusal if the idempotency key is missing or too long."""
    key = call.idempotency_key
    if key and len(key) <= MAX_KEY_LENGTH:
        return None
    return Refused(
        reason=Reason.BAD_REQUEST,
        message=(
            f'Idempotency-Key: calls of class {call.work_class.name!r} may'
            ' not be repeated, so they need a key of 1 to'
            f' {MAX_KEY_LENGTH} characters'
        ),
    )


def refuse_unchecked(call: ServiceCall, refused: Refused) -> Refused | InDoubt:
    """Return the answer to a call refused without a look at its row.

    An earlier call with the same key may have run, for example through a
    daemon that died before it could answer. If the caller were told that
    it did not run, it would send the call under another key, and the
    call would run twice. Only the first call with a key gets the refusal
    itself; a later one gets an in-doubt answer.
    """
    if call.is_first:
        return refused
    return InDoubt(
        request=call.id,
        message=(
            f'{refused.message}; whether an earlier call with this key ran'
            ' cannot be told now, so come again with the same key'
        ),
        retry_after_s=(
            IN_DOUBT_RETRY_AFTER_S
            if refused.retry_after_s is None
            else refused.retry_after_s
        ),
    )


def key_reused() -> Refused:
    """Return the refusal of a key reused for another path or body."""
    return Refused(
        reason=Reason.CONFLICT,
        message='Idempotency-Key: it was used for another path or body',
    )


def deadline_passed() -> Refused:
    """Return the refusal of a call whose deadline passed unsent."""
    return Refused(
        reason=Reason.DEADLINE,
        message='the deadline of its class passed before it could be sent',
    )


def store_unavailable(reason: str, retry_after_s: float) -> Refused:
    """Return the refusal of a call that could not be recorded."""
    return Refused(
        reason=Reason.STORE_UNAVAILABLE,
        message=f'the platform cannot record the call now: {reason}',
        retry_after_s=retry_after_s,
    )


def not_running(retry_after_s: float) -> Refused:
    """Return the refusal of a daemon that does not accept calls."""
    return Refused(
        reason=Reason.STOPPING,
        message='this daemon is not running; use another one',
        retry_after_s=retry_after_s,
    )


def in_doubt(call: ServiceCall, retry_after_s: float) -> InDoubt:
    """Return the answer while an earlier call with the key is open."""
    return InDoubt(
        request=call.id,
        message='an earlier call with this key is not settled yet',
        retry_after_s=retry_after_s,
    )


def unknown_outcome(call: ServiceCall) -> Unknown:
    """Return the final outcome of a call that may have run or not."""
    return Unknown(
        request=call.id,
        message=(
            'the call may have run or not; this answer is final, so look'
            ' at the service before you send it under another key'
        ),
    )


def replayed_outcome(
    call: ServiceCall, stored: StoredAnswer, body: bytes
) -> Outcome:
    """Return the stored answer as the outcome of a duplicate call."""
    if stored.body_place is BodyLocation.NOT_STORED:
        return Failed(
            request=call.id,
            reason=Reason.ENDPOINT_FAILED,
            message=(
                f'the call ran and was answered with status {stored.status},'
                ' but the answer was too large to be kept'
            ),
        )
    return Answered(
        request=call.id,
        status=stored.status,
        headers=stored.headers,
        body=body,
    )

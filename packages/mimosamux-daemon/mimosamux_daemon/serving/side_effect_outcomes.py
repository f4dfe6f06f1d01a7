"""What callers are told about calls that may not be repeated."""

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
    BodyPlace,
    KeptAnswer,
)

DOUBT_RETRY_AFTER_S = 2.0
"""When to come again after a doubt for which no time was given."""


def check_key(call: ServiceCall) -> Refused | None:
    """Return why a call's idempotency key will not do, if it won't."""
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


def refuse_unseen(call: ServiceCall, refused: Refused) -> Refused | InDoubt:
    """Return the refusal of a call whose row this daemon has not seen.

    An earlier call with the same key may have run, for example through a
    daemon that died before it could answer. A caller who is told 'not
    run' would send the call under another key, and it would run twice.
    """
    if call.is_first:
        return refused
    return InDoubt(
        request=call.id,
        message=(
            f'{refused.message}; whether an earlier call with this key ran'
            ' cannot be told now, so come again with the same key'
        ),
        retry_after_s=refused.retry_after_s or DOUBT_RETRY_AFTER_S,
    )


def key_reused() -> Refused:
    """Return the refusal of a key that came with another body."""
    return Refused(
        reason=Reason.CONFLICT,
        message='Idempotency-Key: it was used for another path or body',
    )


def deadline_passed() -> Refused:
    """Return the refusal of a call that came too late to be sent."""
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
    """Return the refusal of a daemon that takes no calls."""
    return Refused(
        reason=Reason.STOPPING,
        message='this daemon is not running; use another one',
        retry_after_s=retry_after_s,
    )


def in_doubt(call: ServiceCall, retry_after_s: float) -> InDoubt:
    """Return that an earlier call with the key is still open."""
    return InDoubt(
        request=call.id,
        message='an earlier call with this key is not settled yet',
        retry_after_s=retry_after_s,
    )


def unknown_outcome(call: ServiceCall) -> Unknown:
    """Return the final answer of a call that may or may not have run."""
    return Unknown(
        request=call.id,
        message=(
            'the call may have run or not; this answer is final, so look'
            ' at the service before you send it under another key'
        ),
    )


def replayed_outcome(
    call: ServiceCall, kept: KeptAnswer, body: bytes
) -> Outcome:
    """Return a kept answer as the outcome of the call that asks again."""
    if kept.body_place is BodyPlace.NOWHERE:
        return Failed(
            request=call.id,
            reason=Reason.ENDPOINT_FAILED,
            message=(
                f'the call ran and was answered with status {kept.status},'
                ' but the answer was too large to be kept'
            ),
        )
    return Answered(
        request=call.id,
        status=kept.status,
        headers=kept.headers,
        body=body,
    )

"""Client of plain services that retries a call until its outcome is known."""

import uuid
from collections.abc import Callable
from dataclasses import dataclass

import httpx
from mimosamux_daemon.adapters.http_framing import is_unframed

from mimosamux_cli.addresses import EntryAddresses
from mimosamux_cli.errors import (
    CommandError,
    RefusedError,
    UnavailableError,
    UnknownOutcomeError,
)
from mimosamux_cli.operators import parse_error_message

SERVICES_PATH = '/v1/services/'
FIRST_ATTEMPT_HEADERS = {'X-Mimosamux-Attempt': '1'}
"""Header that marks the idempotency key as new.

A daemon that refuses such a call can report that it has not run.
"""
MAX_ATTEMPTS = 10
RETRY_DELAY_S = 0.5
MAX_RETRY_DELAY_S = 30.0
TIMEOUT = httpx.Timeout(60.0, connect=3.0)


@dataclass(kw_only=True)
class ServiceCaller:
    """Sends one call under one idempotency key to the daemons in turn."""

    addresses: EntryAddresses
    headers: dict[str, str]
    sleep: Callable[[float], None]

    def call(self, service: str, path: str, data: str, *, key: str) -> str:
        """Return the service's answer.

        Raise a CommandError if the call fails, is refused, has an unknown
        outcome or reaches no daemon within the permitted attempts.
        """
        headers = {**self.headers, 'Idempotency-Key': key or uuid.uuid4().hex}
        error: CommandError = UnavailableError('no daemon answers')
        attempt_headers = FIRST_ATTEMPT_HEADERS if not key else {}
        for attempt in range(MAX_ATTEMPTS):
            urls = self.addresses.current()
            url = f'{urls[attempt % len(urls)]}{SERVICES_PATH}{service}/{path}'
            answer = self._send(url, data, {**headers, **attempt_headers})
            # Even a failed attempt may have recorded the key at a daemon.
            attempt_headers = {}
            if answer is None:
                self.addresses.expire()
                self.sleep(RETRY_DELAY_S)
                continue
            if answer.is_success:
                return answer.text
            error = _as_error(answer)
            retry_after = answer.headers.get('Retry-After')
            if retry_after is None:
                break
            self.sleep(min(float(retry_after), MAX_RETRY_DELAY_S))
        raise error

    def _send(
        self, url: str, data: str, headers: dict[str, str]
    ) -> httpx.Response | None:
        try:
            answer = httpx.post(
                url, content=data, headers=headers, timeout=TIMEOUT
            )
        except httpx.TransportError:
            return None
        return None if is_unframed(answer) else answer


def _as_error(answer: httpx.Response) -> CommandError:
    message = parse_error_message(answer)
    try:
        body = answer.json()
    except ValueError:
        return CommandError(message)
    if not isinstance(body, dict):
        return CommandError(message)
    if body.get('not_run'):
        return RefusedError(f'not run: {message}')
    if body.get('outcome') in ('unknown', 'in_doubt'):
        return UnknownOutcomeError(message)
    return CommandError(message)

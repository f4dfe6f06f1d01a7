"""A caller of plain services, which sends a call until it is settled."""

import uuid
from collections.abc import Callable
from dataclasses import dataclass

import httpx

from mimosamux_cli.addresses import EntryAddresses
from mimosamux_cli.errors import (
    CommandError,
    RefusedError,
    UnavailableError,
    UnknownOutcomeError,
)
from mimosamux_cli.operators import message_of

SERVICES_PATH = '/v1/services/'
FIRST_ATTEMPT = {'X-Mimosamux-Attempt': '1'}
"""Says that the key is new, so that a refusal can be called not run."""
MAX_TRIES = 10
TRY_AGAIN_S = 0.5
MAX_WAIT_S = 30.0
TIMEOUT = httpx.Timeout(60.0, connect=3.0)


@dataclass(kw_only=True)
class ServiceCaller:
    """Sends one call under one key, to one daemon after the other."""

    addresses: EntryAddresses
    headers: dict[str, str]
    sleep: Callable[[float], None]

    def call(self, service: str, path: str, data: str, *, key: str) -> str:
        """Return the service's answer, or raise how it ended instead."""
        headers = {**self.headers, 'Idempotency-Key': key or uuid.uuid4().hex}
        problem: CommandError = UnavailableError('no daemon answers')
        first = FIRST_ATTEMPT if not key else {}
        for count in range(MAX_TRIES):
            urls = self.addresses.current()
            url = f'{urls[count % len(urls)]}{SERVICES_PATH}{service}/{path}'
            answer = self._send(url, data, {**headers, **first})
            # Whatever came of it, the key may be known from now on.
            first = {}
            if answer is None:
                self.addresses.forget()
                self.sleep(TRY_AGAIN_S)
                continue
            if answer.is_success:
                return answer.text
            problem = _as_error(answer)
            retry_after = answer.headers.get('Retry-After')
            if retry_after is None:
                break
            self.sleep(min(float(retry_after), MAX_WAIT_S))
        raise problem

    def _send(
        self, url: str, data: str, headers: dict[str, str]
    ) -> httpx.Response | None:
        try:
            return httpx.post(
                url, content=data, headers=headers, timeout=TIMEOUT
            )
        except httpx.TransportError:
            return None


def _as_error(answer: httpx.Response) -> CommandError:
    message = message_of(answer)
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

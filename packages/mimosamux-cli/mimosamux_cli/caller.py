"""Client of the chat API that resumes interrupted answers.

It follows handovers between daemons, reconnects after connection failures
and retries refusals that carry a Retry-After header.
"""

import json
import uuid
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import httpx

from mimosamux_cli.addresses import EntryAddresses
from mimosamux_cli.errors import (
    CommandError,
    RefusedError,
    UnavailableError,
    UnknownOutcomeError,
)
from mimosamux_cli.events import ServerSentEvent, read_events

CHAT_PATH = '/v1/chat/completions'
REQUESTS_PATH = '/v1/requests/'
END_MARKER = '[DONE]'
STOPPING = 'stopping'
"""Error code of a daemon that other daemons no longer name."""
MAX_ATTEMPTS = 12
RETRY_DELAY_S = 0.5
MAX_RETRY_DELAY_S = 30.0
SILENCE_TIMEOUT_S = 30.0
"""Read timeout: a daemon sends a keep-alive every 10 s. After three such
intervals without data it counts as failed, and the request is sent to
another daemon.
"""
TIMEOUT = httpx.Timeout(SILENCE_TIMEOUT_S, connect=3.0)


@dataclass(kw_only=True)
class Answer:
    """The answer received so far; a new request id discards its text."""

    request: str = ''
    last_event_id: str = ''
    text: str = ''
    is_complete: bool = False

    def add_event(self, event: ServerSentEvent) -> str:
        """Add an event's text to the answer and return the added text."""
        request, _, _ = event.id.rpartition(':')
        if request and request != self.request:
            self.request = request
            self.text = ''
        if event.data == END_MARKER:
            self.is_complete = True
            return ''
        self.last_event_id = event.id or self.last_event_id
        new_text = _parse_text(json.loads(event.data))
        self.text += new_text
        return new_text


@dataclass(frozen=True, kw_only=True, slots=True)
class HandedOver:
    """The daemon handed the request over to the daemon at `url`."""

    url: str


@dataclass(frozen=True, kw_only=True, slots=True)
class FailedAttempt:
    """An attempt ended without a complete answer and can be retried.

    `refusal` is the message to report if no attempt is left; it is empty
    after a connection failure.
    """

    retry_after_s: float = RETRY_DELAY_S
    refresh_addresses: bool = True
    refusal: str = ''


@dataclass(kw_only=True)
class Caller:
    """Sends one request under one idempotency key until it is settled.

    `on_text` receives the text of the answer as it arrives, `on_notice`
    messages about handovers, restarts and connection failures.
    """

    addresses: EntryAddresses
    headers: dict[str, str]
    sleep: Callable[[float], None]
    on_text: Callable[[str], None] = field(default=lambda text: None)
    on_notice: Callable[[str], None] = field(default=lambda text: None)

    def complete(self, body: dict[str, Any], *, key: str = '') -> Answer:
        """Return the complete answer.

        Raise a CommandError if the request fails, is refused, has an unknown
        outcome or has no complete answer after MAX_ATTEMPTS.
        """
        headers = {
            **self.headers,
            'Idempotency-Key': key or uuid.uuid4().hex,
        }
        answer = Answer()
        handover_url: str | None = None
        last_failure = FailedAttempt()
        for attempt in range(MAX_ATTEMPTS):
            url = handover_url or self._pick_url(attempt)
            outcome = self._send(
                url, bool(handover_url), body, headers, answer
            )
            if outcome is None:
                return answer
            if isinstance(outcome, HandedOver):
                self.on_notice(f'moved to {outcome.url}')
                handover_url = outcome.url
                continue
            handover_url, last_failure = None, outcome
            if outcome.refresh_addresses:
                self.addresses.expire()
            self.sleep(min(outcome.retry_after_s, MAX_RETRY_DELAY_S))
        if last_failure.refusal:
            raise RefusedError(last_failure.refusal)
        raise UnavailableError('no daemon has given the whole answer')

    def _pick_url(self, attempt: int) -> str:
        urls = self.addresses.current()
        return urls[attempt % len(urls)]

    def _send(
        self,
        url: str,
        is_handed_over: bool,
        body: dict[str, Any],
        headers: dict[str, str],
        answer: Answer,
    ) -> HandedOver | FailedAttempt | None:
        attempt_headers = {'Accept': 'text/event-stream'}
        if answer.last_event_id:
            attempt_headers['Last-Event-ID'] = answer.last_event_id
        method, path, content = 'POST', CHAT_PATH, body
        if is_handed_over and answer.request:
            method, path = 'GET', REQUESTS_PATH + answer.request
        try:
            with httpx.stream(
                method,
                url + path,
                json=content if method == 'POST' else None,
                headers={**headers, **attempt_headers},
                timeout=TIMEOUT,
            ) as response:
                return self._read(response, answer)
        except httpx.TransportError as error:
            self.on_notice(f'{url}: {error or type(error).__name__}')
            return FailedAttempt()

    def _read(
        self, response: httpx.Response, answer: Answer
    ) -> HandedOver | FailedAttempt | None:
        if response.status_code != httpx.codes.OK:
            response.read()
            return _parse_failure(response)
        previous_request = answer.request
        for event in read_events(response.iter_lines()):
            if event.name == 'moved':
                return HandedOver(url=_parse_handover_url(event, response))
            if event.name == 'error':
                raise _as_error(json.loads(event.data))
            new_text = answer.add_event(event)
            if previous_request and answer.request != previous_request:
                self.on_notice('the answer starts afresh')
                previous_request = answer.request
            self.on_text(new_text)
            if answer.is_complete:
                return None
        return FailedAttempt()


def _parse_handover_url(
    event: ServerSentEvent, response: httpx.Response
) -> str:
    address = str(json.loads(event.data)['address'])
    if '://' in address:
        return address
    return f'{response.url.scheme}://{address}'


def _parse_text(chunk: dict[str, Any]) -> str:
    return str(chunk['choices'][0]['delta'].get('content', ''))


def _parse_failure(response: httpx.Response) -> FailedAttempt:
    try:
        body = response.json()
    except ValueError:
        return FailedAttempt()
    retry_after = response.headers.get('Retry-After')
    if retry_after is None:
        raise _as_error(body)
    error = body.get('error', {})
    message = str(error.get('message', ''))
    return FailedAttempt(
        retry_after_s=float(retry_after),
        refresh_addresses=error.get('code') == STOPPING,
        refusal=f'{message}; come again in {retry_after} s',
    )


def _as_error(body: dict[str, Any]) -> CommandError:
    message = str(body.get('error', {}).get('message', body))
    if body.get('not_run'):
        return RefusedError(f'not run: {message}')
    if body.get('outcome') in ('unknown', 'in_doubt'):
        return UnknownOutcomeError(message)
    return CommandError(message)

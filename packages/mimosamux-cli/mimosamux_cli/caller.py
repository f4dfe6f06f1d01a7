"""A caller that follows its request through moves, cuts and refusals."""

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
MAX_TRIES = 12
TRY_AGAIN_S = 0.5
MAX_WAIT_S = 30.0
SILENCE_S = 30.0
"""A daemon sends a sign of life each 10 s; after three times that it
counts as gone and the request is sent to another one."""
TIMEOUT = httpx.Timeout(SILENCE_S, connect=3.0)


@dataclass(kw_only=True)
class Answer:
    """What has come of an answer; a new request id starts it afresh."""

    request: str = ''
    last_event_id: str = ''
    text: str = ''
    is_complete: bool = False

    def take(self, event: ServerSentEvent) -> str:
        """Add an event's text and return what is new."""
        request, _, _ = event.id.rpartition(':')
        if request and request != self.request:
            self.request = request
            self.text = ''
        if event.data == END_MARKER:
            self.is_complete = True
            return ''
        self.last_event_id = event.id or self.last_event_id
        new = _text_of(json.loads(event.data))
        self.text += new
        return new


@dataclass(frozen=True, kw_only=True, slots=True)
class Moved:
    """The daemon has handed the request to the one at `url`."""

    url: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Cut:
    """The connection ended before the answer did."""

    retry_after_s: float = TRY_AGAIN_S
    wrong_address: bool = True
    refusal: str = ''


@dataclass(kw_only=True)
class Caller:
    """Sends one request under one key until its outcome is known."""

    addresses: EntryAddresses
    headers: dict[str, str]
    sleep: Callable[[float], None]
    show: Callable[[str], None] = field(default=lambda text: None)
    note: Callable[[str], None] = field(default=lambda text: None)

    def complete(self, body: dict[str, Any], *, key: str = '') -> Answer:
        """Return the whole answer, or raise how it ended instead."""
        headers = {
            **self.headers,
            'Idempotency-Key': key or uuid.uuid4().hex,
        }
        answer = Answer()
        moved: str | None = None
        last = Cut()
        for count in range(MAX_TRIES):
            url = moved or self._pick_url(count)
            end = self._try_once(url, bool(moved), body, headers, answer)
            if end is None:
                return answer
            if isinstance(end, Moved):
                self.note(f'moved to {end.url}')
                moved = end.url
                continue
            moved, last = None, end
            if end.wrong_address:
                self.addresses.forget()
            self.sleep(min(end.retry_after_s, MAX_WAIT_S))
        if last.refusal:
            raise RefusedError(last.refusal)
        raise UnavailableError('no daemon has given the whole answer')

    def _pick_url(self, count: int) -> str:
        urls = self.addresses.current()
        return urls[count % len(urls)]

    def _try_once(
        self,
        url: str,
        is_moved: bool,
        body: dict[str, Any],
        headers: dict[str, str],
        answer: Answer,
    ) -> Moved | Cut | None:
        extra = {'Accept': 'text/event-stream'}
        if answer.last_event_id:
            extra['Last-Event-ID'] = answer.last_event_id
        method, path, content = 'POST', CHAT_PATH, body
        if is_moved and answer.request:
            method, path = 'GET', REQUESTS_PATH + answer.request
        try:
            with httpx.stream(
                method,
                url + path,
                json=content if method == 'POST' else None,
                headers={**headers, **extra},
                timeout=TIMEOUT,
            ) as response:
                return self._read(response, answer)
        except httpx.TransportError as error:
            self.note(f'{url}: {error or type(error).__name__}')
            return Cut()

    def _read(
        self, response: httpx.Response, answer: Answer
    ) -> Moved | Cut | None:
        if response.status_code != httpx.codes.OK:
            response.read()
            return _end_of_error(response)
        before = answer.request
        for event in read_events(response.iter_lines()):
            if event.name == 'moved':
                return Moved(url=_url_of(event, response))
            if event.name == 'error':
                raise _as_error(json.loads(event.data))
            new = answer.take(event)
            if before and answer.request != before:
                self.note('the answer starts afresh')
                before = answer.request
            self.show(new)
            if answer.is_complete:
                return None
        return Cut()


def _url_of(event: ServerSentEvent, response: httpx.Response) -> str:
    address = str(json.loads(event.data)['address'])
    if '://' in address:
        return address
    return f'{response.url.scheme}://{address}'


def _text_of(chunk: dict[str, Any]) -> str:
    return str(chunk['choices'][0]['delta'].get('content', ''))


def _end_of_error(response: httpx.Response) -> Cut:
    try:
        body = response.json()
    except ValueError:
        return Cut()
    retry_after = response.headers.get('Retry-After')
    if retry_after is None:
        raise _as_error(body)
    message = str(body.get('error', {}).get('message', ''))
    return Cut(
        retry_after_s=float(retry_after),
        wrong_address=False,
        refusal=f'{message}; come again in {retry_after} s',
    )


def _as_error(body: dict[str, Any]) -> CommandError:
    message = str(body.get('error', {}).get('message', body))
    if body.get('not_run'):
        return RefusedError(f'not run: {message}')
    if body.get('outcome') in ('unknown', 'in_doubt'):
        return UnknownOutcomeError(message)
    return CommandError(message)

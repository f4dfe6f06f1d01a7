"""Calls to the operator API, which go on at another daemon."""

import uuid
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import httpx

from mimosamux_cli.addresses import EntryAddresses
from mimosamux_cli.errors import (
    CommandError,
    ConflictError,
    InvalidFile,
    UnavailableError,
)

OPERATOR_PATH = '/v1/operator/'
DRAIN_PATH = OPERATOR_PATH + 'drain'
TRY_ELSEWHERE = (
    httpx.codes.SERVICE_UNAVAILABLE,
    httpx.codes.GATEWAY_TIMEOUT,
)
AUDIT_PAGE = 500
MAX_ROUNDS = 3
TRY_AGAIN_S = 0.5
TIMEOUT = httpx.Timeout(60.0, connect=3.0)


@dataclass(kw_only=True)
class OperatorClient:
    """Asks one daemon after the other until one has answered."""

    addresses: EntryAddresses
    headers: dict[str, str]
    sleep: Callable[[float], None]

    def get(self, path: str, **params: Any) -> Any:
        """Return what the operator API shows at a path."""
        given = {
            name: value for name, value in params.items() if value is not None
        }
        return self._ask('GET', path, params=given)

    def change(self, path: str, body: dict[str, Any]) -> Any:
        """Make a change, at most once however often it is sent.

        A lost answer is settled by sending the same operation id again.
        """
        operation = uuid.uuid4().hex
        return self._ask('POST', path, json={**body, 'operation': operation})

    def read_audit(self, **filters: Any) -> list[dict[str, Any]]:
        """Return every entry of the audit trail that filters let pass."""
        entries: list[dict[str, Any]] = []
        cursor: str | None = None
        while cursor != '':
            page = self.get('audit', after=cursor, limit=AUDIT_PAGE, **filters)
            entries.extend(page['entries'])
            cursor = page['next']
        return entries

    def drain(self, daemon: str) -> Any:
        """Have one daemon stop gracefully, asked at its own address."""
        for member in self.get('status')['daemons']:
            if member['daemon'] == daemon and member['address']:
                url = self.addresses.as_url(member['address'])
                answer = self._ask_one('POST', f'{url}{DRAIN_PATH}', {})
                if isinstance(answer, str):
                    raise UnavailableError(answer)
                return answer.json()
        raise CommandError(f'there is no daemon {daemon!r}')

    def release(self, content: str) -> Any:
        """Let a held request run again."""
        return self._ask('POST', f'release/{content}')

    def _ask(self, method: str, path: str, **content: Any) -> Any:
        problem = 'no daemon answers'
        for _ in range(MAX_ROUNDS):
            for url in self.addresses.current():
                answer = self._ask_one(
                    method, url + OPERATOR_PATH + path, content
                )
                if isinstance(answer, httpx.Response):
                    return answer.json()
                problem = answer
            self.sleep(TRY_AGAIN_S)
        raise UnavailableError(problem)

    def _ask_one(
        self, method: str, url: str, content: dict[str, Any]
    ) -> httpx.Response | str:
        try:
            answer = httpx.request(
                method, url, headers=self.headers, timeout=TIMEOUT, **content
            )
        except httpx.TransportError as error:
            return f'{url}: {error or type(error).__name__}'
        if answer.is_success:
            return answer
        if answer.status_code in TRY_ELSEWHERE:
            return message_of(answer)
        raise error_of(answer)


def error_of(answer: httpx.Response) -> CommandError:
    """Return the error that ends the command for an answer."""
    message = message_of(answer)
    if answer.status_code == httpx.codes.CONFLICT:
        return ConflictError(message)
    if answer.status_code in (
        httpx.codes.BAD_REQUEST,
        httpx.codes.UNPROCESSABLE_ENTITY,
    ):
        return InvalidFile(message)
    return CommandError(message)


def message_of(answer: httpx.Response) -> str:
    """Return the message of an error answer, with its details."""
    try:
        body = answer.json()
        message = str(body['error']['message'])
    except (ValueError, KeyError, TypeError):
        return f'{answer.status_code} {answer.reason_phrase}'
    changes = [_describe(change) for change in body.get('changes', ())]
    return '\n  '.join([message, *changes])


def _describe(change: dict[str, Any]) -> str:
    why = change.get('why') or 'no reason given'
    return f'{change["who"]}: {change["what"]} ({why})'

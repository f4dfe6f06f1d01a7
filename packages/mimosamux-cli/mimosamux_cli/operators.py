"""Client of the operator API with failover between daemons."""

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
FAILOVER_STATUSES = (
    httpx.codes.SERVICE_UNAVAILABLE,
    httpx.codes.GATEWAY_TIMEOUT,
)
AUDIT_PAGE_ENTRIES = 500
MAX_ROUNDS = 3
RETRY_DELAY_S = 0.5
TIMEOUT = httpx.Timeout(60.0, connect=3.0)


@dataclass(kw_only=True)
class OperatorClient:
    """Sends each call to the entry daemons in turn until one answers."""

    addresses: EntryAddresses
    headers: dict[str, str]
    sleep: Callable[[float], None]

    def get(self, path: str, **params: Any) -> Any:
        """Return the JSON resource at a path; omit None parameters."""
        query = {
            name: value for name, value in params.items() if value is not None
        }
        return self._send('GET', path, params=query)

    def change(self, path: str, body: dict[str, Any]) -> Any:
        """Make a change that takes effect at most once.

        Every retry carries the same operation id, so a retry after a lost
        answer is safe.
        """
        operation = uuid.uuid4().hex
        return self._send('POST', path, json={**body, 'operation': operation})

    def read_audit(self, **filters: Any) -> list[dict[str, Any]]:
        """Return all entries of the audit trail that match the filters."""
        entries: list[dict[str, Any]] = []
        cursor: str | None = None
        while cursor != '':
            page = self.get(
                'audit', after=cursor, limit=AUDIT_PAGE_ENTRIES, **filters
            )
            entries.extend(page['entries'])
            cursor = page['next']
        return entries

    def drain(self, daemon: str) -> Any:
        """Stop one daemon gracefully by a call to its own address."""
        for member in self.get('status')['daemons']:
            if member['daemon'] == daemon and member['address']:
                url = self.addresses.as_url(member['address'])
                answer = self._send_to('POST', f'{url}{DRAIN_PATH}', {})
                if isinstance(answer, str):
                    raise UnavailableError(answer)
                return answer.json()
        raise CommandError(f'there is no daemon {daemon!r}')

    def release(self, content: str) -> Any:
        """Release a request's content key from quarantine."""
        return self._send('POST', f'release/{content}')

    def _send(self, method: str, path: str, **content: Any) -> Any:
        problem = 'no daemon answers'
        for _ in range(MAX_ROUNDS):
            for url in self.addresses.current():
                answer = self._send_to(
                    method, url + OPERATOR_PATH + path, content
                )
                if isinstance(answer, httpx.Response):
                    return answer.json()
                problem = answer
            self.sleep(RETRY_DELAY_S)
        raise UnavailableError(problem)

    def _send_to(
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
        if answer.status_code in FAILOVER_STATUSES:
            return parse_error_message(answer)
        raise to_error(answer)


def to_error(answer: httpx.Response) -> CommandError:
    """Map an error response to the error that ends the command."""
    message = parse_error_message(answer)
    if answer.status_code == httpx.codes.CONFLICT:
        return ConflictError(message)
    if answer.status_code in (
        httpx.codes.BAD_REQUEST,
        httpx.codes.UNPROCESSABLE_ENTITY,
    ):
        return InvalidFile(message)
    return CommandError(message)


def parse_error_message(answer: httpx.Response) -> str:
    """Return the message of an error response.

    A conflict also lists the concurrent changes, one per line.
    """
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

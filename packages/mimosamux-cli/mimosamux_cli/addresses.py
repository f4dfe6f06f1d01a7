"""Addresses of entry VMs, kept for the time that the answer is good."""

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import httpx

from mimosamux_cli.errors import UnavailableError

ADDRESSES_PATH = '/v1/entry-addresses'
CONNECT_TIMEOUT_S = 3.0


@dataclass(kw_only=True)
class EntryAddresses:
    """Asks the system which addresses to use, and keeps the answer."""

    seeds: Sequence[str]
    headers: dict[str, str]
    scheme: str = 'http'
    now: Callable[[], float] = time.monotonic
    _kept: tuple[str, ...] = ()
    _good_until: float = field(default=float('-inf'))

    def current(self) -> tuple[str, ...]:
        """Return base URLs, best first; seeds if nobody answers."""
        if self.now() >= self._good_until:
            self._ask()
        return self._kept or self._seed_urls()

    def forget(self) -> None:
        """Ask again next time: an address of the answer has failed."""
        self._good_until = float('-inf')

    def _ask(self) -> None:
        for url in dict.fromkeys((*self._kept, *self._seed_urls())):
            answer = self._ask_one(url)
            if answer is not None:
                addresses, ttl_s = answer
                self._kept = tuple(map(self.as_url, addresses))
                self._good_until = self.now() + ttl_s
                return

    def _ask_one(self, url: str) -> tuple[list[str], float] | None:
        try:
            answer = httpx.get(
                url + ADDRESSES_PATH,
                headers=self.headers,
                timeout=CONNECT_TIMEOUT_S,
            )
            body = answer.raise_for_status().json()
            found = [str(item['address']) for item in body['addresses']]
            return found, float(body['ttl_s'])
        except (httpx.HTTPError, ValueError, KeyError, TypeError):
            return None

    def _seed_urls(self) -> tuple[str, ...]:
        return tuple(map(self.as_url, self.seeds))

    def as_url(self, address: str) -> str:
        """Return the base URL of an address."""
        return address if '://' in address else f'{self.scheme}://{address}'


def parse_seeds(text: str | Sequence[str] | None) -> tuple[str, ...]:
    """Return addresses from a comma-separated text or a list."""
    parts = text.split(',') if isinstance(text, str) else (text or ())
    seeds = tuple(str(part).strip() for part in parts if str(part).strip())
    if not seeds:
        raise UnavailableError(
            'name a daemon with --entry HOST:PORT or MIMOSAMUX_ENTRY'
        )
    return seeds

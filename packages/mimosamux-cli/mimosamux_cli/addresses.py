"""Discovers the addresses of entry VMs and caches them for their TTL."""

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import httpx

from mimosamux_cli.errors import UnavailableError

ADDRESSES_PATH = '/v1/entry-addresses'
CONNECT_TIMEOUT_S = 3.0


@dataclass(kw_only=True)
class EntryAddresses:
    """Fetches entry addresses from a daemon and caches them.

    Cached addresses are queried first, then the seed addresses.
    """

    seeds: Sequence[str]
    headers: dict[str, str]
    scheme: str = 'http'
    now: Callable[[], float] = time.monotonic
    _cached_urls: tuple[str, ...] = ()
    _expires_at: float = field(default=float('-inf'))

    def current(self) -> tuple[str, ...]:
        """Return base URLs, best first.

        If no daemon answers, expired cached URLs are returned, or the seeds
        if there are none.
        """
        if self.now() >= self._expires_at:
            self._refresh()
        return self._cached_urls or self._seed_urls()

    def expire(self) -> None:
        """Expire the cache after a cached address has failed."""
        self._expires_at = float('-inf')

    def _refresh(self) -> None:
        for url in dict.fromkeys((*self._cached_urls, *self._seed_urls())):
            answer = self._fetch_from(url)
            if answer is not None:
                addresses, ttl_s = answer
                self._cached_urls = tuple(map(self.as_url, addresses))
                self._expires_at = self.now() + ttl_s
                return

    def _fetch_from(self, url: str) -> tuple[list[str], float] | None:
        try:
            answer = httpx.get(
                url + ADDRESSES_PATH,
                headers=self.headers,
                timeout=CONNECT_TIMEOUT_S,
            )
            body = answer.raise_for_status().json()
            addresses = [str(item['address']) for item in body['addresses']]
            return addresses, float(body['ttl_s'])
        except (httpx.HTTPError, ValueError, KeyError, TypeError):
            return None

    def _seed_urls(self) -> tuple[str, ...]:
        return tuple(map(self.as_url, self.seeds))

    def as_url(self, address: str) -> str:
        """Return the base URL of an address; keep an address that is a URL."""
        return address if '://' in address else f'{self.scheme}://{address}'


def parse_seeds(text: str | Sequence[str] | None) -> tuple[str, ...]:
    """Parse seed addresses from a comma-separated string or a list."""
    parts = text.split(',') if isinstance(text, str) else (text or ())
    seeds = tuple(str(part).strip() for part in parts if str(part).strip())
    if not seeds:
        raise UnavailableError(
            'name a daemon with --entry HOST:PORT or MIMOSAMUX_ENTRY'
        )
    return seeds

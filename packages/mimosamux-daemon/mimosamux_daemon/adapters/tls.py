"""TLS towards callers, with certificates that are read again."""

import pathlib
import ssl
from collections.abc import Iterable

import anyio

from mimosamux_daemon.logs import get_log
from mimosamux_daemon.settings import TLSFiles

log = get_log('tls')

RELOAD_INTERVAL_S = 30.0
ALPN_PROTOCOLS = ('h2', 'http/1.1')


class ReloadingCertificate:
    """A server context whose certificate is replaced without a cut.

    New connections get the new certificate; open ones keep theirs.
    """

    def __init__(self, *, files: TLSFiles) -> None:
        self._files = files
        self.context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self.context.minimum_version = ssl.TLSVersion.TLSv1_2
        self.context.set_alpn_protocols(list(ALPN_PROTOCOLS))
        self._load()
        self._seen = _read_stamps((files.certificate, files.key))

    async def run(self) -> None:
        """Look at the files every now and then."""
        while True:
            await anyio.sleep(RELOAD_INTERVAL_S)
            self.reload_if_changed()

    def reload_if_changed(self) -> bool:
        """Read the files again if they changed; keep the old if bad."""
        stamps = _read_stamps((self._files.certificate, self._files.key))
        if stamps == self._seen:
            return False
        try:
            self._load()
        except OSError as error:
            # A certificate and a key that are written one after the other
            # do not match for a moment: handshakes would fail with the
            # half-new pair, so the old one stays until the next look.
            log.warning('certificate_not_loaded', problem=str(error))
            return False
        self._seen = stamps
        log.info('certificate_loaded', path=str(self._files.certificate))
        return True

    def _load(self) -> None:
        probe = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        probe.load_cert_chain(self._files.certificate, self._files.key)
        self.context.load_cert_chain(self._files.certificate, self._files.key)


def _read_stamps(paths: Iterable[pathlib.Path]) -> tuple[int, ...]:
    return tuple(
        path.stat().st_mtime_ns if path.exists() else 0 for path in paths
    )

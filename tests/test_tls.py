"""TLS towards callers, and a certificate that is replaced."""

import os
import pathlib
import ssl
import tempfile
import unittest
from dataclasses import replace

import httpx
import trustme
from mimosamux_daemon.adapters.tls import ReloadingCertificate
from mimosamux_daemon.settings import TLSFiles, parse_settings

from tests.support.examples import EMBEDDED_SETTINGS
from tests.support.running import running_daemon


class TestTLS(unittest.TestCase):
    def setUp(self):
        self.authority = trustme.CA()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.files = TLSFiles(
            certificate=self.folder / 'cert.pem',
            key=self.folder / 'key.pem',
        )
        self.write_certificate()

    def write_certificate(self):
        issued = self.authority.issue_cert('127.0.0.1')
        issued.private_key_pem.write_to_path(self.files.key)
        issued.cert_chain_pems[0].write_to_path(self.files.certificate)

    def test_callers_are_served_over_tls(self):
        context = ssl.create_default_context()
        self.authority.configure_trust(context)
        settings = replace(parse_settings(EMBEDDED_SETTINGS), tls=self.files)
        with running_daemon(settings) as daemon:
            answer = httpx.get(
                f'https://{daemon.address}/readyz', verify=context
            )
        self.assertEqual(answer.status_code, 200)

    def test_a_new_certificate_is_taken(self):
        certificate = ReloadingCertificate(files=self.files)
        self.assertFalse(certificate.reload_if_changed())
        self.write_certificate()
        self.touch()
        self.assertTrue(certificate.reload_if_changed())

    def test_a_key_that_does_not_match_keeps_the_old_certificate(self):
        """The new certificate is written before its key is.

        Callers would meet failing handshakes with the half-new pair.
        """
        certificate = ReloadingCertificate(files=self.files)
        issued = self.authority.issue_cert('127.0.0.1')
        issued.cert_chain_pems[0].write_to_path(self.files.certificate)
        self.touch()
        self.assertFalse(certificate.reload_if_changed())
        issued.private_key_pem.write_to_path(self.files.key)
        self.touch()
        self.assertTrue(certificate.reload_if_changed())

    def touch(self):
        later = self.files.key.stat().st_mtime + 10
        for path in (self.files.certificate, self.files.key):
            os.utime(path, (later, later))

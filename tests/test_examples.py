"""The example files of the two users are valid and say what they need."""

import hashlib
import pathlib
import unittest

from mimosamux_daemon.control.configuration_models import parse_configuration
from mimosamux_daemon.settings import parse_settings

EXAMPLES = pathlib.Path(__file__).parents[1] / 'examples'
USERS = ('klassresan', 'rasejumu')


def read(user):
    settings = parse_settings((EXAMPLES / f'{user}.yaml').read_text())
    return settings, parse_configuration(settings.configuration, version=1)


class TestExamples(unittest.TestCase):
    def test_each_has_three_data_centres_and_five_accounts(self):
        for user in USERS:
            settings, configuration = read(user)
            self.assertTrue(settings.embedded)
            self.assertEqual(len(configuration.data_centres), 3)
            self.assertIn(settings.data_centre, configuration.data_centres)
            self.assertEqual(len(configuration.accounts), 5)

    def test_each_has_drafts_lookups_and_side_effects(self):
        for user in USERS:
            classes = read(user)[1].classes.values()
            self.assertTrue(any(item.durable for item in classes))
            self.assertTrue(any(item.first_token_s < 2 for item in classes))
            effects = [item for item in classes if not item.repeatable]
            self.assertTrue(effects)
            served = {
                service.work_class
                for service in read(user)[1].services.values()
            }
            self.assertEqual(served, {item.name for item in effects})

    def test_what_weighs_more_differs(self):
        klassresan = read('klassresan')[1]
        rasejumu = read('rasejumu')[1]
        self.assertGreater(klassresan.cost_weight, klassresan.recompute_weight)
        self.assertGreater(rasejumu.recompute_weight, rasejumu.cost_weight)

    def test_comments_name_the_keys_behind_the_digests(self):
        for user in USERS:
            for name, account in read(user)[1].accounts.items():
                key = f'{name}-key'.encode()
                digest = hashlib.sha256(key).hexdigest()
                self.assertEqual(account.key_digests, (digest,))

"""What daemons share, with nine real processes in three data centres."""

import unittest

from tests.support.processes import processes
from tests.support.site import RealSite


class TestNineDaemons(unittest.TestCase):
    def setUp(self):
        started = processes()
        self.site = RealSite(
            processes=started.__enter__(), daemons={'a': 3, 'b': 3, 'c': 3}
        )
        self.addCleanup(started.__exit__, None, None, None)
        self.site.start()

    def accept(self, name, seconds, operation):
        answer = self.site.set_target(name, seconds, operation)
        self.assertEqual(answer.status_code, 200, answer.text)
        return answer.json()['version']

    def wait_everywhere(self, name, version):
        answer = self.site.operate(
            name,
            'GET',
            'configuration/wait',
            params={'version': version, 'timeout_s': 20},
        )
        self.assertEqual(answer.status_code, 200, answer.text)

    def test_two_thirds_replaced_in_an_outage_keep_the_version(self):
        """Six of nine entry VMs are lost while the platform's table is down.

        Their successors cannot read the configuration from the table. One
        that started from nothing, or from an older version, would serve
        under targets that operators have replaced.
        """
        site = self.site
        version = self.accept('a1', 4.0, 'operation-1')
        self.wait_everywhere('b1', version)
        site.control_platform('table', down=True)
        lost = ['a2', 'a3', 'b2', 'b3', 'c2', 'c3']
        for name in lost:
            site.daemons[name].kill()
        site.start(*lost)
        self.assertEqual(set(site.versions().values()), {version})
        refused = site.set_target('a2', 3.0, 'operation-2')
        self.assertEqual(refused.status_code, 503)
        site.control_platform('table')
        self.wait_everywhere('c3', self.accept('b2', 3.0, 'operation-3'))

    def test_a_data_centre_that_stood_still_catches_up(self):
        """All daemons of a data centre are frozen and go on later.

        Changes were accepted meanwhile; the frozen daemons wake up with
        an old version, which must not come back anywhere.
        """
        site = self.site
        frozen = [site.daemons[name] for name in ('c1', 'c2', 'c3')]
        for daemon in frozen:
            daemon.freeze()
        version = self.accept('a1', 4.0, 'operation-1')
        version = max(version, self.accept('b1', 3.0, 'operation-2'))
        for daemon in frozen:
            daemon.thaw()
        self.wait_everywhere('c2', version)
        self.wait_everywhere('a1', version)
        self.assertEqual(set(site.versions().values()), {version})

    def test_a_lost_answer_of_the_table_makes_one_change(self):
        """The table commits a change and its answer is lost.

        The operator sends the same operation again, to another daemon. A
        second version would be a change that nobody made.
        """
        site = self.site
        site.control_platform('table', lose_next_answers=1)
        first = site.set_target('a1', 4.0, 'operation-1')
        version = self.accept('b1', 4.0, 'operation-1')
        if first.status_code == 200:
            self.assertEqual(first.json()['version'], version)
        history = site.operate('c1', 'GET', 'configuration/history').json()
        operations = [
            change['operation']
            for item in history['versions']
            for change in item['changes']
        ]
        self.assertEqual(operations.count('operation-1'), 1)
        audit = site.operate('c1', 'GET', 'audit').json()['entries']
        entries = [
            entry for entry in audit if 'first_token_s' in entry['what']
        ]
        self.assertEqual(len(entries), 1)

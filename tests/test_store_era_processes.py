"""Real daemons, and a store that comes back from an older copy."""

import unittest

import httpx

from tests.support.platform_processes import platform_processes, send_one

COPY_AGE_S = 2.0


def read_metric(daemon, name):
    address = daemon.settings['listen']['metrics']
    text = httpx.get(f'http://{address}/metrics', trust_env=False).text
    for line in text.splitlines():
        if line.startswith(name):
            return float(line.split()[-1])
    return None


class TestStoreEra(unittest.TestCase):
    def test_daemons_serve_and_report_on_when_the_store_went_back(self):
        # Guards against daemons that stay stuck with what the store lost.
        with platform_processes() as platform:
            platform.wait_for_holder()
            platform.command('/store', trouble='RESET')
            for daemon in platform.daemons:
                daemon.process.wait_for_text('event=feed_lost')
            platform.command('/store/restore', copy_age_s=COPY_AGE_S)
            platform.command('/store', trouble='NONE')
            for daemon in platform.daemons:
                daemon.process.wait_for_text('event=store_era_began')
                self.assertEqual(
                    read_metric(daemon, 'mimosamux_gateway_store_era'), 2
                )
            known = len(platform.seen()['duty_calls'])
            for daemon in platform.daemons:
                answer = send_one(daemon.entry, '/slip/1')
                self.assertEqual(answer.status, 200)
            platform.wait_for(
                lambda: len(platform.seen()['duty_calls']) > known,
                'duty call in the new era',
            )
            holder_by_fencing = {}
            for call in platform.seen()['duty_calls']:
                holder = holder_by_fencing.setdefault(
                    call['fencing'], call['holder']
                )
                self.assertEqual(holder, call['holder'])


if __name__ == '__main__':
    unittest.main()

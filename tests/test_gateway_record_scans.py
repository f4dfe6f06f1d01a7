"""Records of the table are read whole."""

import unittest
from types import SimpleNamespace

from mimosamux_daemon.domain.store import Row
from mimosamux_daemon.gateway.records.scans import PAGE_ROWS, scan_all

from tests.support.clock import run_paused


class TestScans(unittest.TestCase):
    # Guards against rows that are missed where an answer ends for its size.
    def test_rows_of_any_size_and_number_are_read(self):
        for count, size, page_rows in (
            (0, 1, PAGE_ROWS),
            (7, 1, PAGE_ROWS),
            (1200, 1, PAGE_ROWS),
            (90, 30_000, 20),
        ):
            rows = [
                Row(key=f's/{number:04}', value=b'x' * size, version=1)
                for number in range(count)
            ]

            async def scan(prefix, *, after, limit, rows=rows, most=page_rows):
                left = [row for row in rows if row.key > after]
                return tuple(left[: min(limit, most)])

            table = SimpleNamespace(scan=scan)
            found = run_paused(scan_all, table, 's/')
            self.assertEqual(len(found), count)


if __name__ == '__main__':
    unittest.main()

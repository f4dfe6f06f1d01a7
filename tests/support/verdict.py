"""A nose2 plugin that prints the verdict and honours KNOWN-RED.txt."""

import pathlib
import sys
from typing import Any

from nose2 import events

KNOWN_RED = pathlib.Path(__file__).parents[2] / 'KNOWN-RED.txt'


def read_known_red() -> frozenset[str]:
    """Return the names of the tests that are listed as red."""
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text().splitlines()
    return frozenset(
        line.split()[0]
        for line in lines
        if line.strip() and not line.startswith('#')
    )


class Verdict(events.Plugin):
    """Counts outcomes, and fails a run in which no test ran."""

    configSection = 'verdict'  # noqa: N815 - the name nose2 looks for

    def __init__(self) -> None:
        self.passed = 0
        self.failed = 0
        self.known: list[str] = []
        self.known_red = read_known_red()

    def testOutcome(self, event: Any) -> None:  # noqa: N802
        """Count one outcome; a known red one does not fail the run."""
        is_failed_part = event.outcome == 'subtest' and event.exc_info
        if event.outcome not in ('failed', 'error') and not is_failed_part:
            self.passed += event.outcome == 'passed'
            return
        # The id of a part of a test goes on behind a space.
        name = event.test.id().split()[0]
        if name in self.known_red:
            self.known.append(name)
            event.outcome = 'skipped'
            event.reason = 'known red'
            return
        self.failed += 1

    def afterSummaryReport(self, event: Any) -> None:  # noqa: N802
        """Print the closing line that CI reads."""
        for name in self.known:
            print(f'known red: {name}')
        sys.stdout.flush()
        print(f'{self.passed} passed, {self.failed} failed', flush=True)
        if not self.passed + self.failed:
            raise SystemExit('no test ran')

"""Only the adapter knows the platform's names, and it decides nothing."""

import ast
import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).parents[1]
ADAPTER = ROOT / 'platform' / 'mimosamux_platform'
PRODUCT = (
    ROOT / 'packages' / 'mimosamux-daemon',
    ROOT / 'packages' / 'mimosamux-cli',
    ROOT / 'packages' / 'mimosamux-wire',
)
"""What stands in for the platform itself is left out."""

HEADERS = [
    'X-Attempt-Id',
    'X-Deadline-Ms',
    'X-Prompt-Prefix',
    'X-Replica-Signature',
    'X-Tenant',
    'X-Expected-Replica',
    'X-Not-Executed',
    'X-Duty-Holder',
    'X-Fencing-Token',
    'X-Replica-Id',
    'X-Model',
    'X-Token-Usage',
    'X-Request-Priority',
    'X-Weight-Versions',
    'X-Expected-Version',
    'X-Cache-Pin-Ms',
    'X-Cache-Retention',
    'X-Length-Hint',
    'X-Kv-Backup',
    'X-Key',
    'Kv-From',
    'Kv-Fetch',
    'Server-Leaving',
]
CALLS = [
    '/api/readyz',
    '/api/resolution',
    '/api/report',
    '/api/kv-events',
    '/api/kv-list',
    '/api/kv-handle',
    '/api/kv-pin',
    '/api/hold-take',
    '/api/hold-drop',
    '/api/kv-move',
    '/api/rows-tx',
    '/api/rows-get',
    '/api/rows-feed',
    '/api/rows-parts',
    '/api/blob-put',
    '/scaling',
    '/usage',
]
FIELDS = [
    'trafficSplit',
    'routeKind',
    'timeoutMs',
    'targetLatencyMs',
    'maxAttempts',
    'stickySessions',
    'streamResume',
    'apiKeys',
    'ratePerS',
    'healthPath',
    'maxConnections',
    'maxHeaderBytes',
    'maxBodyBytes',
    'headerTimeoutMs',
    'idleTimeoutMs',
    'desiredCount',
    'windowNumber',
    'minReplicas',
    'maxReplicas',
    'bootS',
    'nodeName',
    'machineClass',
    'listenAddresses',
    'directoryService',
    'internalPortRange',
    'seedNodes',
    'cloudApi',
    'fencingEnforced',
    'configApplyMs',
    'rollbackSlackMs',
    'revocationMs',
    'retryBudgetRatio',
    'spotInstances',
    'spotPrice',
    'zonePrices',
    'quotaWindowS',
    'quotaOverage',
    'quotaTolerance',
    'leaseDurationMs',
    'usageWindowS',
    'usageTolerance',
    'usageLatenessS',
    'expectedRevision',
    'waitTimeoutMs',
    'kvHandle',
    'kvCapacity',
    'kvTokenBytes',
    'gapTargetMs',
    'uncachedTokens',
    'tableName',
    'rowVersion',
    'maxResults',
    'nowMs',
    'createdRevision',
    'coldRemainingMs',
    'handleTtlS',
    'ttlS',
]
NAMES = re.compile(
    '|'.join(
        [rf'(?i:{re.escape(name)})' for name in (*HEADERS, *CALLS)]
        + [rf'\b{name}\b' for name in FIELDS]
    )
)

PORTS = re.compile(
    r'mimosamux_daemon\.(ports|domain|adapters|decoding|errors|logs'
    r'|gateway\.settings)(\.|$)'
)
"""What the adapter may import: ports, data, plumbing, and settings."""


def sources(*folders):
    for folder in folders:
        yield from folder.rglob('*.py')
        yield from folder.rglob('*.thrift')


class TestPlatformNames(unittest.TestCase):
    def test_no_module_of_the_product_uses_a_name_of_the_platform(self):
        found = [
            f'{path.relative_to(ROOT)}: {match[0]}'
            for path in sources(*PRODUCT)
            for match in NAMES.finditer(path.read_text())
        ]
        self.assertEqual(found, [])

    def test_check_finds_a_name_where_there_is_one(self):
        text = "headers['X-Tenant'] = row.get('desiredCount')"
        self.assertEqual(NAMES.findall(text), ['X-Tenant', 'desiredCount'])

    def test_adapter_imports_ports_and_data_but_no_decisions(self):
        found = []
        for path in ADAPTER.glob('*.py'):
            for node in ast.walk(ast.parse(path.read_text())):
                module = getattr(node, 'module', None) or ''
                if not module.startswith('mimosamux_daemon'):
                    continue
                if not PORTS.match(module):
                    found.append(f'{path.name}: {module}')
        self.assertEqual(found, [])

    def test_adapter_stays_small(self):
        lines = sum(
            len(path.read_text().splitlines())
            for path in ADAPTER.rglob('*.py')
        )
        self.assertLess(lines, 2000)

"""Accepting changes of the configuration, and the log of them."""

import random
import unittest

import anyio
import orjson
from hypothesis import given, settings
from hypothesis import strategies as st
from mimosamux_daemon.adapters.memory_table import MemoryTable
from mimosamux_daemon.control.configuration import (
    AdvanceResult,
    ConfigurationInForce,
    ConfigurationReplica,
    Snapshot,
    parse_snapshot,
)
from mimosamux_daemon.control.configuration_acceptor import (
    ConfigurationAcceptor,
)
from mimosamux_daemon.control.configuration_changes import (
    Change,
    Edit,
    VersionRecord,
    apply_edits,
    digest_after,
    digest_of,
    find_differences,
    parse_record,
)
from mimosamux_daemon.control.configuration_log import (
    CHANGE_PREFIX,
    KEPT_ROWS,
)
from mimosamux_daemon.control.proposals import (
    Accepted,
    ApplyDocument,
    Invalid,
    StoreUnavailable,
    Undecided,
    VersionConflict,
)
from mimosamux_daemon.control.store_guard import StoreGuard
from mimosamux_daemon.domain.audit import AUDIT_PREFIX, parse_entry
from mimosamux_daemon.domain.configuration import Configuration
from mimosamux_daemon.metrics import Metrics

from tests.support.clock import run_paused
from tests.support.configuration import DOCUMENT, Participant, Store

JSON_KEYS = st.one_of(
    st.sampled_from(['classes', 'draft', 'accounts', 'first_token_s', '']),
    st.integers(0, 3),
)
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-5, 5) | st.just('text'),
    lambda inner: (
        st.lists(inner, max_size=2)
        | st.dictionaries(st.sampled_from(['draft', 'a']), inner, max_size=2)
    ),
    max_leaves=4,
)
DRAFT_TARGET = 'classes.draft.first_token_s'


async def make_first(store=None, guard=None):
    """Return a participant whose first document is accepted."""
    anna = Participant(store=store or Store(), guard=guard)
    decision = await anna.acceptor.propose(
        ApplyDocument(
            operation='first',
            who='anna',
            document=DOCUMENT,
            expected_version=0,
        )
    )
    assert decision == Accepted(version=1), decision
    return anna


class TestConfigurationInForce(unittest.TestCase):
    def test_older_or_equal_version_changes_nothing(self):
        """A version arrives late, after a newer one.

        Put in force, it would bring back targets and keys that operators
        replaced.
        """
        in_force = ConfigurationInForce()
        newer = Configuration(version=4)
        self.assertTrue(in_force.update(newer))
        for version in (3, 4, 0):
            self.assertFalse(in_force.update(Configuration(version=version)))
            self.assertIs(in_force.current, newer)
        self.assertTrue(in_force.update(Configuration(version=5)))


class TableThatGoesDown(MemoryTable):
    """Goes down right after a commit, if asked to."""

    goes_down = False

    async def commit(self, checks, writes):
        outcome = await super().commit(checks, writes)
        self.faults.down = self.faults.down or self.goes_down
        return outcome


async def make_second(store):
    bo = Participant(store=store, name='bo')
    await bo.log.catch_up(bo.replica)
    return bo


class TestAcceptance(unittest.TestCase):
    def test_accepted_change_is_committed_audited_and_in_force(self):
        async def check():
            anna = await make_first()
            decision = await anna.set('op-1', DRAFT_TARGET, 4.0)
            self.assertEqual(decision, Accepted(version=2))
            bo = await make_second(anna.store)
            draft = bo.replica.in_force.current.classes['draft']
            self.assertEqual(draft.first_token_s, 4.0)
            rows = anna.store.table.rows_by_key
            entry = parse_entry(
                next(
                    row.value
                    for key, row in rows.items()
                    if key.startswith(AUDIT_PREFIX) and key.endswith('op-1')
                )
            )
            self.assertEqual((entry.who, entry.version), ('anna', 2))
            self.assertIn('5.0', entry.before)
            self.assertIn('4.0', entry.after)

        run_paused(check)

    def test_whole_result_is_checked_and_the_field_named(self):
        async def check():
            anna = await make_first()
            decision = await anna.set('op-1', DRAFT_TARGET, -1)
            self.assertIsInstance(decision, Invalid)
            self.assertEqual(decision.path, DRAFT_TARGET)
            decision = await anna.set(
                'op-2', 'services.slips', {'work_class': 'none'}
            )
            self.assertEqual(decision.path, 'services.slips.work_class')
            self.assertEqual(anna.replica.version, 1)

        run_paused(check)

    def test_operators_who_race_on_one_field_see_who_was_first(self):
        """Two operators change the same target, each having seen version 1.

        The later one is told what the earlier one changed; nothing is
        lost without notice.
        """

        async def check():
            anna = await make_first()
            bo = await make_second(anna.store)
            await anna.set('op-1', DRAFT_TARGET, 4.0, expected=1)
            decision = await bo.set('op-2', DRAFT_TARGET, 6.0, expected=1)
            self.assertIsInstance(decision, VersionConflict)
            self.assertEqual(decision.changes[0].who, 'anna')
            self.assertIn(DRAFT_TARGET, decision.changes[0].what)
            document = {**DOCUMENT, 'cost_weight': 2.0}
            decision = await bo.acceptor.propose(
                ApplyDocument(
                    operation='op-3',
                    who='bo',
                    document=document,
                    expected_version=1,
                )
            )
            self.assertIsInstance(decision, VersionConflict)

        run_paused(check)

    def test_changes_of_different_fields_both_go_in(self):
        """Two operators change different fields through two daemons.

        Neither is sent back, and both changes are in the result.
        """

        async def check():
            anna = await make_first()
            bo = await make_second(anna.store)
            decisions = []

            async def change(who, *arguments):
                decisions.append(await who.set(*arguments, expected=1))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(change, anna, 'op-1', DRAFT_TARGET, 4.0)
                tasks.start_soon(
                    change, bo, 'op-2', 'classes.lookup.first_token_s', 0.4
                )
            self.assertEqual(
                {decision.version for decision in decisions}, {2, 3}
            )
            await anna.log.catch_up(anna.replica)
            classes = anna.replica.in_force.current.classes
            self.assertEqual(classes['draft'].first_token_s, 4.0)
            self.assertEqual(classes['lookup'].first_token_s, 0.4)

        run_paused(check)

    def test_proposals_that_wait_together_share_a_commit(self):
        async def check():
            anna = await make_first()
            anna.store.table.faults.delay_s = 0.1
            before = anna.store.table.commits
            async with anyio.create_task_group() as tasks:
                for number in range(20):
                    tasks.start_soon(
                        anna.set,
                        f'op-{number}',
                        f'models.m{number}',
                        {'version': '1'},
                    )
            self.assertLessEqual(anna.store.table.commits - before, 2)
            self.assertEqual(len(anna.replica.document['models']), 21)
            self.assertEqual(len(set(anna.store.audited_ids())), 21)

        run_paused(check)

    def test_target_that_cannot_be_met_is_refused_with_its_path(self):
        """An operator asks for a first token sooner than any VM gives it.

        The planner's check says so, and nothing is committed.
        """

        async def check():
            anna = await make_first()
            problem = Invalid(path=DRAFT_TARGET, problem='cannot be met')
            strict = ConfigurationAcceptor(
                replica=anna.replica,
                log=anna.log,
                broadcast=anna.spread.extend,
                check=lambda configuration: problem,
            )
            anna.acceptor = strict
            decision = await anna.set('op-1', DRAFT_TARGET, 0.001)
            self.assertEqual(decision, problem)
            self.assertEqual(anna.store.audited_ids(), ['first'])

        run_paused(check)


class TestStoreTrouble(unittest.TestCase):
    def test_lost_answer_is_settled_by_reading_back(self):
        """The commit takes effect and its answer is lost.

        The operator is told that the change is accepted, and it stands
        once in the log and in the audit trail, also when repeated.
        """

        async def check():
            anna = await make_first()
            anna.store.table.faults.lose_next_answers = 1
            decision = await anna.set('op-1', DRAFT_TARGET, 4.0)
            self.assertEqual(decision, Accepted(version=2))
            bo = await make_second(anna.store)
            decision = await bo.set('op-1', DRAFT_TARGET, 4.0)
            self.assertEqual(decision, Accepted(version=2))
            self.assertEqual(anna.store.audited_ids(), ['first', 'op-1'])
            self.assertEqual([r.version for r in anna.spread], [1, 2])

        run_paused(check)

    def test_change_is_refused_while_the_store_is_down(self):
        """The table is down and an operator proposes a change.

        It is refused as not made, and what is in force stays.
        """

        async def check():
            anna = await make_first()
            anna.store.table.faults.down = True
            decision = await anna.set('op-1', DRAFT_TARGET, 4.0)
            self.assertIsInstance(decision, StoreUnavailable)
            self.assertEqual(anna.replica.in_force.current.version, 1)

        run_paused(check)

    def test_change_is_made_at_once_when_the_store_is_back(self):
        # Guards against a circuit that refuses operators until its next probe.
        async def check():
            anna = await make_first(
                guard=StoreGuard(metrics=Metrics(), rng=random.Random(1))
            )
            anna.store.table.faults.down = True
            for _ in range(60):
                await anna.log.catch_up(anna.replica)
                await anyio.sleep(1.0)
            refused = await anna.set('op-1', DRAFT_TARGET, 4.0)
            self.assertIsInstance(refused, StoreUnavailable)
            await anyio.sleep(0.5)
            anna.store.table.faults.down = False
            decision = await anna.set('op-2', DRAFT_TARGET, 4.0)
            self.assertEqual(decision, Accepted(version=2))

        run_paused(check)

    def test_change_in_doubt_is_said_so_and_spread_by_nobody(self):
        """The answer to a commit is lost and then the table goes down.

        Nobody can tell whether the change was made. The operator hears
        just that, and the same operation id settles it afterwards.
        """

        async def check():
            table = TableThatGoesDown()
            anna = await make_first(Store(table=table))
            table.faults.lose_next_answers = 1
            table.goes_down = True
            decision = await anna.set('op-1', DRAFT_TARGET, 4.0)
            self.assertEqual(decision, Undecided(operation='op-1'))
            self.assertEqual(anna.replica.version, 1)
            self.assertEqual([r.version for r in anna.spread], [1])
            table.faults.down = False
            table.goes_down = False
            decision = await anna.set('op-1', DRAFT_TARGET, 4.0)
            self.assertEqual(decision, Accepted(version=2))
            self.assertEqual([r.version for r in anna.spread], [1, 2])

        run_paused(check)

    def test_store_that_hangs_does_not_hang_the_operator(self):
        """The table takes a minute for each answer.

        The operator has an answer within seven seconds, and it is not
        a refusal, since the commit may still be made.
        """

        async def check():
            anna = await make_first()
            anna.store.table.faults.delay_s = 60
            start = anyio.current_time()
            decision = await anna.set('op-1', DRAFT_TARGET, 4.0)
            self.assertEqual(decision, Undecided(operation='op-1'))
            self.assertLess(anyio.current_time() - start, 7)

        run_paused(check)


class TestLog(unittest.TestCase):
    def test_new_daemon_reads_snapshot_and_tail_after_compaction(self):
        async def check():
            anna = await make_first()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(anna.acceptor.run)
                for number in range(1100):
                    await anna.set(
                        f'op-{number}', DRAFT_TARGET, 1 + number / 10
                    )
                await anyio.sleep(1)
                tasks.cancel_scope.cancel()
            rows = [
                key
                for key in anna.store.table.rows_by_key
                if key.startswith(CHANGE_PREFIX)
            ]
            self.assertLess(len(rows), KEPT_ROWS + 256 + 1)
            bo = await make_second(anna.store)
            self.assertEqual(bo.replica.version, 1101)
            self.assertEqual(bo.replica.document, anna.replica.document)
            decision = await bo.set('op-3', DRAFT_TARGET, 4)
            self.assertEqual(decision, Accepted(version=5))
            self.assertEqual(len(anna.store.audited_ids()), 1101)

        run_paused(check)

    def test_version_never_goes_down(self):
        async def check():
            anna = await make_first()
            first = anna.replica.snapshot()
            await anna.set('op-1', DRAFT_TARGET, 4.0)
            self.assertFalse(anna.replica.replace(first))
            self.assertEqual(
                anna.replica.advance(anna.spread[0]),
                AdvanceResult.ALREADY_APPLIED,
            )
            self.assertEqual(anna.replica.version, 2)

        run_paused(check)

    def test_spoilt_snapshot_and_record_are_not_taken(self):
        """A byte of a document was changed on its way.

        A daemon that took it would serve with other targets than the
        ones accepted, so the digest is checked first.
        """

        async def check():
            anna = await make_first()
            data = anna.replica.snapshot().as_bytes()
            self.assertIsNotNone(parse_snapshot(data))
            self.assertIsNone(parse_snapshot(data.replace(b'5.0', b'6.0')))
            await anna.set('op-1', DRAFT_TARGET, 4.0)
            spoilt = anna.spread[1].as_bytes().replace(b'4.0', b'4.5')
            bo = Participant(store=anna.store)
            bo.replica.replace(parse_snapshot(data))
            self.assertEqual(
                bo.replica.advance(parse_record(spoilt)), AdvanceResult.CORRUPT
            )

        run_paused(check)

    def test_older_daemon_takes_what_a_newer_one_accepted(self):
        """A newer daemon accepts a field that an older one does not know.

        That happens during a rolling replacement. The older one must not
        stay behind, so it leaves the field out and takes the rest.
        """

        async def check():
            anna = await make_first()
            document = {
                **anna.replica.document,
                'classes': {'draft': {'first_token_s': 3.0, 'newer': 1}},
            }
            edits = find_differences(anna.replica.document, document)
            record = VersionRecord(
                version=2,
                digest=digest_of(document),
                changes=(
                    Change(
                        operation='op-1',
                        who='bo',
                        what='set',
                        why='',
                        at=0.0,
                        edits=edits,
                    ),
                ),
            )
            fields = orjson.loads(record.as_bytes())
            fields['newer'] = fields['changes'][0]['newer'] = True
            received = parse_record(orjson.dumps(fields))
            self.assertEqual(
                anna.replica.advance(received), AdvanceResult.APPLIED
            )
            draft = anna.replica.in_force.current.classes['draft']
            self.assertEqual(draft.first_token_s, 3.0)
            self.assertEqual(anna.replica.document, document)

        run_paused(check)

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(
        path=st.lists(JSON_KEYS, max_size=3),
        value=JSON_VALUES,
        spoilt=st.one_of(st.none(), JSON_VALUES),
    )
    def test_no_record_from_a_peer_ends_a_daemon(self, path, value, spoilt):
        """A faulty peer sends records that nobody would have accepted.

        They are taken or left, and the daemon goes on with a document
        that is as committed.
        """
        replica = ConfigurationReplica(in_force=ConfigurationInForce())
        replica.replace(
            Snapshot(
                version=1,
                digest=digest_of(DOCUMENT),
                document=DOCUMENT,
                operations=(),
            )
        )
        edit = {'path': path, 'value': value}
        try:
            after = apply_edits(
                DOCUMENT, [Edit(path=tuple(path), value=value)]
            )
            digest = digest_of(after)
        except (TypeError, IndexError):
            digest = 0
        change = {
            'operation': 'op-1',
            'who': 'anna',
            'what': 'set',
            'why': '',
            'at': 0.0,
            'edits': [edit] if spoilt is None else spoilt,
        }
        fields = {'version': 2, 'digest': str(digest), 'changes': [change]}
        record = parse_record(orjson.dumps(fields))
        if record is not None:
            replica.advance(record)
        self.assertEqual(replica.digest, digest_of(replica.document))

    def test_digest_of_a_change_equals_that_of_the_whole(self):
        before = DOCUMENT
        after = {
            'classes': {'draft': {'first_token_s': 1.0}, 'new': {'a': 1}},
            'data_centres': ['one'],
            'cost_weight': 3.0,
        }
        edits = find_differences(before, after)
        self.assertEqual(apply_edits(before, edits), after)
        self.assertEqual(
            digest_after(digest_of(before), before, after, edits),
            digest_of(after),
        )
        whole = (Edit(path=('classes',), value={}), *edits)
        self.assertEqual(
            digest_after(digest_of(before), before, after, whole),
            digest_of(after),
        )

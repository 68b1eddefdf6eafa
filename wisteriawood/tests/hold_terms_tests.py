"""Tests of until when the leases of a holder may run.

docs/design/hold-terms.md states what each host knows; there is a test for
each line of its table.
"""

import math
import unittest

import anyio

from wisteriawood.cells import claims
from wisteriawood.cells import former_holders
from wisteriawood.cells import hold_terms
from wisteriawood.cells import leases
from wisteriawood.cells import tables
from wisteriawood.links import messages
from wisteriawood.machines import witnesses
from wisteriawood.telemetry import job_events
from wisteriawood.telemetry import job_metrics
from wisteriawood.tests import builders
from wisteriawood.tests import handover_tests
from wisteriawood.tests import hold_terms_builders as term_builders
from wisteriawood.tests import ownership_builders
from wisteriawood.tests import recut_builders

CELL = term_builders.CELL
LEASE_S = term_builders.LEASE_S
LAPSE_S = leases.lapse_s(LEASE_S)
EDGE_S = 0.01
# Latest restart after the loss of the worker, and after that of its holder.
WORKER_BOUND_S = 9.0
HOLDER_BOUND_S = 7.0
LONGEST_WAIT_S = (
    former_holders.RENEW_WITHOUT_STORE_S + LAPSE_S + handover_tests.EXIT_S
)


class SignTests(unittest.TestCase):
    """Which heartbeats count, on both sides of each bound."""

    def _basis_s(self, *beats, claimed_s=0.0, checked_s=None):
        async def _main():
            term, signs, _sets = term_builders.make_term(
                claimed_s=claimed_s, read_s=100.0
            )
            for sent_s, answered_s in beats:
                signs.record(sent_s=sent_s, answered_s=answered_s)
            if checked_s is not None:
                term.record_check(checked_s)
            return term.basis_s(), term.needs_check()

        return builders.run_virtual(_main)

    def test_the_claim_counts(self):
        self.assertEqual(self._basis_s(), (0.0, False))

    def test_a_heartbeat_in_time_counts(self):
        sent_s = hold_terms.SIGN_GAP_S - EDGE_S
        found = self._basis_s((sent_s, sent_s + 0.1))
        self.assertEqual(found, (sent_s, False))

    def test_a_late_heartbeat_needs_a_check(self):
        """Guards against a holder that goes on after its successor (TWICE)."""
        sent_s = hold_terms.SIGN_GAP_S + EDGE_S
        found = self._basis_s((sent_s, sent_s + 0.1))
        self.assertEqual(found, (0.0, True))
        found = self._basis_s((sent_s, sent_s + 0.1), checked_s=sent_s)
        self.assertEqual(found, (0.0, True))
        found = self._basis_s((sent_s, sent_s + 0.1), checked_s=sent_s + 0.1)
        self.assertEqual(found, (sent_s, False))

    def test_a_late_answer_does_not_count(self):
        sent_s = 1.0
        for took_s, expected_s in (
            (hold_terms.SIGN_ANSWER_S - EDGE_S, sent_s),
            (hold_terms.SIGN_ANSWER_S + EDGE_S, 0.0),
        ):
            found_s, _needs = self._basis_s((sent_s, sent_s + took_s))
            self.assertEqual(found_s, expected_s)

    def test_a_chain_that_breaks_later_needs_a_check(self):
        beats = [(1.0, 1.1), (3.0, 3.1), (6.0, 6.1), (7.0, 7.1)]
        self.assertEqual(self._basis_s(*beats), (0.0, True))
        found = self._basis_s(*beats, checked_s=6.1)
        self.assertEqual(found, (7.0, False))


class LeaseLengthTests(unittest.TestCase):
    """How long a lease may be."""

    def test_it_ends_with_the_basis(self):
        """Guards against a lease that outlasts what a successor waits for."""

        async def _check():
            now_s = anyio.current_time()
            term, signs, _sets = term_builders.make_term(
                claimed_s=now_s, read_s=now_s
            )
            await anyio.sleep(1.0)
            signs.record(sent_s=now_s + 1.0, answered_s=now_s + 1.0)
            await anyio.sleep(2.0)
            self.assertAlmostEqual(term.left_s(LEASE_S), LEASE_S - 2, 2)
            lease = leases.Lease(length_s=LEASE_S, term=term)
            lease.record_clock(1000, anyio.current_time())
            self.assertAlmostEqual(
                lease.grant(anyio.current_time()), 1000 + 4000, delta=10
            )
            granted_ms = lease.granted_until_ms
            await anyio.sleep(2.0)
            lease.grant(anyio.current_time())
            self.assertAlmostEqual(
                lease.granted_until_ms, granted_ms, delta=10
            )
            await anyio.sleep(2.0 + EDGE_S)
            self.assertLessEqual(term.left_s(LEASE_S), 0)
            lease.grant(anyio.current_time())
            self.assertAlmostEqual(
                lease.granted_until_ms, granted_ms, delta=10
            )

        builders.run_virtual(_check)

    def test_nothing_is_granted_when_the_claims_are_old(self):
        async def _check():
            now_s = anyio.current_time()
            for age_s, is_granted in (
                (hold_terms.RENEW_WITHOUT_STORE_S - EDGE_S, True),
                (
                    hold_terms.RENEW_WITHOUT_STORE_S + LEASE_S + EDGE_S,
                    False,
                ),
            ):
                term, signs, _sets = term_builders.make_term(
                    claimed_s=now_s, read_s=now_s - age_s
                )
                signs.record(sent_s=now_s, answered_s=now_s)
                self.assertEqual(term.left_s(LEASE_S) > 0, is_granted)

        builders.run_virtual(_check)


class WitnessSetTests(unittest.TestCase):
    """Whose confirmations are needed."""

    def _needed(self, acknowledged, *unanswered, age_s=0.0):
        async def _main():
            sets = hold_terms.WitnessSets()
            for found in unanswered:
                sets.record_sent(found)
            await anyio.sleep(age_s)
            sets.record_sent(acknowledged)
            sets.record_answered()
            return sets.needed()

        return builders.run_virtual(_main)

    def test_those_of_unanswered_heartbeats_are_needed_too(self):
        """Guards against a successor that asks others than the holder."""
        found = self._needed({"p": "1"}, {"q": "1"})
        self.assertEqual(found, {"p": ["1"], "q": ["1"]})

    def test_those_that_come_late_are_needed_for_a_time(self):
        bound_s = hold_terms.LATE_WRITE_S
        found = self._needed({"p": "1"}, {"q": "1"}, age_s=bound_s - EDGE_S)
        self.assertEqual(found, {"p": ["1"], "q": ["1"]})
        found = self._needed({"p": "1"}, {"q": "1"}, age_s=bound_s + EDGE_S)
        self.assertEqual(found, {"p": ["1"]})

    def test_none_count_if_the_store_may_show_none(self):
        self.assertEqual(self._needed({}, {"p": "1"}), {})
        self.assertEqual(self._needed({"p": "1"}, {}), {})

    def _basis_s(self, needed, *confirmations):
        async def _main():
            term, _signs, _sets = term_builders.make_term(
                witnesses=needed, read_s=100.0
            )
            for confirmation in confirmations:
                term.record_confirmation(*confirmation)
            return term.basis_s()

        return builders.run_virtual(_main)

    def test_all_have_to_confirm(self):
        needed = {"p": "1", "q": "1"}
        self.assertEqual(self._basis_s(needed, ("p", "1", 9.0)), 0.0)
        found_s = self._basis_s(needed, ("p", "1", 9.0), ("q", "1", 8.0))
        self.assertEqual(found_s, 8.0)

    def test_another_process_does_not_count(self):
        """Guards against a witness that has forgotten what it promised."""
        self.assertEqual(self._basis_s({"p": "1"}, ("p", "2", 9.0)), 0.0)

    def test_two_processes_of_one_host_can_not_confirm(self):
        found = self._needed({"p": "1"}, {"p": "2"})
        self.assertEqual(found, {"p": ["1", "2"]})


class WitnessTests(unittest.TestCase):
    """What a witness answers."""

    def _run(self, check):
        async def _main():
            view = term_builders.make_view(name="p")
            witness = witnesses.Witness(
                known_members=view, counters=job_metrics.JobMetrics()
            )
            await anyio.sleep(30)
            await check(witness, view)

        builders.run_virtual(_main)

    def _confirm(self, witness, version):
        request = messages.WitnessRequest(
            host="former", claims={CELL: version}
        )
        return witness.confirm(request).confirmed == [CELL]

    def _ask(self, witness, *, version=5, former_version=1):
        question = messages.TermQuestion(
            cell=CELL,
            host="new",
            version=version,
            former_version=former_version,
        )
        return witness.answer(question).unconfirmed_s

    def test_it_tells_the_last_confirmation_and_gives_no_more(self):
        async def _check(witness, _view):
            self.assertTrue(self._confirm(witness, 1))
            await anyio.sleep(2)
            self.assertAlmostEqual(self._ask(witness), 2.0, 2)
            self.assertFalse(self._confirm(witness, 1))
            await anyio.sleep(1)
            self.assertAlmostEqual(self._ask(witness), 3.0, 2)
            self.assertTrue(self._confirm(witness, 5))

        self._run(_check)

    def test_it_has_never_confirmed(self):
        async def _check(witness, _view):
            self.assertAlmostEqual(self._ask(witness), 30.0, 1)

        self._run(_check)

    def test_a_later_hold_was_confirmed(self):
        """Guards against an earlier hold that counts as never confirmed."""

        async def _check(witness, _view):
            self._confirm(witness, 1)
            await anyio.sleep(2)
            self._confirm(witness, 3)
            self.assertAlmostEqual(self._ask(witness), 0.0, 2)

        self._run(_check)

    def test_a_newer_claim_that_it_has_read(self):
        async def _check(witness, view):
            row = claims.ClaimRow(holder="new", incarnation="n", epoch=2)
            view.record_claim(claims.Claim(cell=CELL, row=row, version=4))
            self.assertFalse(self._confirm(witness, 1))

        self._run(_check)


class LastSignTests(unittest.TestCase):
    """When the next holder takes a heartbeat for the last one."""

    def _last_sign_s(self, age_s, *, since_s=0.0, **fields):
        async def _main():
            view = term_builders.make_view(
                **({"witnesses": {}} | fields), written_by_s=1.0
            )
            view.heartbeat_feed.unverified = set()
            await anyio.sleep(age_s + 1.0)
            view.heartbeat_feed.confirmed_at_s = anyio.current_time()
            return view.last_sign_s(term_builders.make_claim(), since_s)

        return builders.run_virtual(_main)

    def test_none_may_follow(self):
        least_s = hold_terms.SIGN_GAP_S + hold_terms.SIGN_ANSWER_S
        self.assertGreaterEqual(hold_terms.LAST_SIGN_S, least_s)
        after_s = hold_terms.LAST_SIGN_S + EDGE_S
        self.assertEqual(self._last_sign_s(after_s), 1.0)

    def test_one_may_follow(self):
        before_s = hold_terms.LAST_SIGN_S - EDGE_S
        self.assertEqual(self._last_sign_s(before_s), math.inf)

    def test_the_claim_is_a_sign(self):
        after_s = hold_terms.LAST_SIGN_S + EDGE_S
        found_s = self._last_sign_s(after_s, since_s=2.0)
        self.assertEqual(found_s, math.inf)
        self.assertEqual(self._last_sign_s(after_s + 1, since_s=2.0), 2.0)

    def test_holder_of_an_earlier_release(self):
        """Guards against a bound on leases that nobody bounds."""
        self.assertEqual(self._last_sign_s(20, witnesses=None), math.inf)

    def test_history_is_lost(self):
        """Guards against a heartbeat from a stale read that counts as last."""

        async def _check():
            view = term_builders.make_view(witnesses={}, written_by_s=1.0)
            await anyio.sleep(20)
            view.heartbeat_feed.confirmed_at_s = anyio.current_time()
            claim = term_builders.make_claim()
            at = tables.host_row("former")
            view.heartbeat_feed.unverified = {at}
            self.assertEqual(view.last_sign_s(claim, 0.0), math.inf)
            view.heartbeat_feed.unverified = set()
            self.assertEqual(view.last_sign_s(claim, 0.0), 1.0)

        builders.run_virtual(_check)

    def test_reads_are_old(self):
        async def _check():
            view = term_builders.make_view(witnesses={}, written_by_s=1.0)
            await anyio.sleep(20)
            claim = term_builders.make_claim()
            for read_s, expected_s in (
                (1.0 + hold_terms.LAST_SIGN_S + EDGE_S, 1.0),
                (1.0 + hold_terms.LAST_SIGN_S - EDGE_S, math.inf),
            ):
                view.heartbeat_feed.confirmed_at_s = read_s
                self.assertEqual(view.last_sign_s(claim, 0.0), expected_s)

        builders.run_virtual(_check)


class BasisTests(unittest.TestCase):
    """What the next holder concludes from the answers of witnesses."""

    def _basis_s(self, *answers, witnesses):
        async def _main():
            view = term_builders.make_view(
                witnesses=witnesses, written_by_s=1.0
            )
            await anyio.sleep(20)
            view.heartbeat_feed.confirmed_at_s = anyio.current_time()
            hold = term_builders.make_hold()
            asked = view.unasked_witnesses(hold)
            for answer in answers:
                hold.record_witness(answer)
            return asked, view.term_basis_s(hold)

        return builders.run_virtual(_main)

    def test_no_witness_is_named(self):
        self.assertEqual(self._basis_s(witnesses={}), ([], 1.0))

    def test_no_witness_has_answered(self):
        """Guards against a zone that is cut off and goes on (TWICE)."""
        found = self._basis_s(witnesses={"p": "1", "q": "1"})
        self.assertEqual(found, (["p", "q"], math.inf))

    def test_one_answer_is_enough(self):
        answer = term_builders.make_answer("p", process="1", unconfirmed_s=9)
        _asked, found_s = self._basis_s(answer, witnesses={"p": "1", "q": "1"})
        self.assertAlmostEqual(found_s, 20 - 9, 1)

    def test_witness_restarts(self):
        """The named process had ended when the one that answers began."""
        answer = term_builders.make_answer(
            "p", process="2", unconfirmed_s=3, age_s=5
        )
        _asked, found_s = self._basis_s(answer, witnesses={"p": "1"})
        self.assertAlmostEqual(found_s, 20 - 5, 1)

    def test_the_new_holder_is_a_witness(self):
        asked, found_s = self._basis_s(witnesses={"new": "new-1"})
        self.assertEqual((asked, found_s), ([], 1.0))


class OutOfTouchTests(handover_tests.HandOverCase):
    """Worlds in which a holder is lost or cut off; nothing may run twice."""

    def run_world(self, check, **fields):
        values = {"has_host_links": True, "hosts_per_zone": 3}
        super().run_world(check, **(values | fields))

    async def _check_restart(self, world, name, until_s):
        """Check that a task waits for its run and restarts in time."""
        while world.workers[name].runs:
            self.assertEqual(handover_tests.restarts(world, name), [])
            await anyio.sleep(0.02)
        await self.wait_for_restart(world, name, until_s)

    def _lose_both(self, distance_s, lost_with=0):
        """Lose a worker, and its holder some seconds after or before it."""

        async def _check(world, directory, name):
            # Orders that a young worker may have got late count for longer.
            await anyio.sleep(15)
            holder = world.holder_of(CELL)
            others = sorted(world.hosts.keys() - {holder})[:lost_with]

            def _lose_hosts():
                for host in (holder, *others):
                    world.kill_host(host)
                return anyio.current_time()

            holder_at_s = -math.inf
            if distance_s <= 0:
                holder_at_s = _lose_hosts()
                await anyio.sleep(-distance_s)
            lost_at_s = self.lose_worker(world, directory, name)
            if distance_s > 0:
                await anyio.sleep(distance_s)
                holder_at_s = _lose_hosts()
            until_s = max(
                lost_at_s + WORKER_BOUND_S, holder_at_s + HOLDER_BOUND_S
            )
            await self.wait_for_restart(world, name, until_s)
            await anyio.sleep(3)

        self.run_world(_check, hosts_per_zone=3 + lost_with)

    def test_holder_is_lost(self):
        """Regression: LOST, review case 15, at each distance of the losses."""
        for distance_s in (
            *(-10, -5, -4.5, -4, -3.5, -3, -2.6, -2, -1.5, -1, -0.5, -0.2),
            *(0, 0.1, 0.2, 0.4, 0.6, 0.8, 1, 1.3, 1.7, 1.9, 2.2, 2.5, 2.8),
            *(3, 4, 5, 5.5, 6, 6.2, 6.5, 8, 10, 12),
        ):
            with self.subTest(distance_s=distance_s):
                self._lose_both(distance_s)

    def test_holder_and_a_witness_are_lost(self):
        for distance_s in (-2, -0.2, 0.2, 1, 2):
            with self.subTest(distance_s=distance_s):
                self._lose_both(distance_s, lost_with=1)

    def test_holder_and_all_witnesses_are_lost(self):
        """Nobody can tell whether their zone is only cut off."""

        async def _check(world, directory, name):
            await anyio.sleep(15)
            zone = world.workers[name].registration.zone
            zone_hosts = [n for n, h in world.hosts.items() if h.zone == zone]
            lost_at_s = self.lose_worker(world, directory, name)
            for host in zone_hosts:
                world.kill_host(host)
            await anyio.sleep(WORKER_BOUND_S)
            self.assertEqual(handover_tests.restarts(world, name), [])
            await self.wait_for_restart(
                world, name, lost_at_s + LONGEST_WAIT_S + 8.0
            )

        self.run_world(_check, zones=["a", "b"])

    def test_holder_is_frozen(self):
        """It hears and sends nothing for a time, and goes on then."""
        for frozen_s in (2.0, 3.5, 5.0, 7.0):
            with self.subTest(frozen_s=frozen_s):
                self.run_world(self._make_freeze(frozen_s))

    def _make_freeze(self, frozen_s):
        async def _check(world, _directory, name):
            holder = world.holder_of(CELL)
            world.store.cut_hosts.add(holder)
            world.cut_host_links(holder)
            for worker in world.workers.values():
                worker.cut_from.add(holder)
            await anyio.sleep(frozen_s)
            world.heal()
            await anyio.sleep(10)
            self.assertEqual(len(world.running()), 1)

        return _check

    def test_holder_is_cut_off_alone(self):
        """Its worker answers it, but no host does."""

        async def _check(world, directory, name):
            holder = world.holder_of(CELL)
            term_builders.hold_together(world, name, holder)
            directory.stop_writing(name)
            world.store.cut_hosts.add(holder)
            world.cut_host_links(holder)
            cut_at_s = anyio.current_time()
            await term_builders.wait_for_other_claim(world, [holder])
            await self._check_restart(world, name, cut_at_s + WORKER_BOUND_S)

        self.run_world(_check)

    def test_holder_is_cut_off_with_one_witness(self):
        async def _check(world, directory, name):
            holder = world.holder_of(CELL)
            witness = min(world.hosts.keys() - {holder})
            near = {holder, witness}
            term_builders.hold_together(world, name, holder)
            world.workers["other"].cut_from.add(witness)
            directory.stop_writing(name)
            world.store.cut_hosts.update(near)
            term_builders.cut_links(world, near, world.hosts.keys() - near)
            cut_at_s = anyio.current_time()
            await term_builders.wait_for_other_claim(world, near)
            await self._check_restart(world, name, cut_at_s + WORKER_BOUND_S)

        self.run_world(_check)

    def test_holder_is_linked_to_its_witnesses_only(self):
        """They confirm its hold until its successor asks them."""

        async def _check(world, directory, name):
            holder = world.holder_of(CELL)
            member = world.hosts[holder].members.by_name[holder]
            near = {holder, *member.heartbeat.witnesses}
            (successor,) = world.hosts.keys() - near
            term_builders.hold_together(world, name, holder)
            directory.stop_writing(name)
            world.store.cut_hosts.update(near)
            term_builders.cut_links(world, [holder], [successor])
            with builders.record_events(job_events.HOLD_TERM_TOLD) as told:
                found = await term_builders.wait_for_other_claim(world, near)
                claimed_at_s = anyio.current_time()
                self.assertEqual(found, successor)
                self.assertTrue(world.workers[name].runs)
                await self._check_restart(
                    world, name, claimed_at_s + WORKER_BOUND_S
                )
            self.assertGreater(len(told), 0)
            self.assertLess(told[0]["unconfirmed_s"], 1.5)

        self.run_world(_check, hosts_per_zone=4)

    def test_zone_is_cut_off(self):
        """Guards against runs that lapse where a zone serves on by itself."""

        async def _check(world, _directory, name):
            worker = world.workers[name]
            world.cut_zone(worker.registration.zone)
            for _number in range(120):
                await anyio.sleep(0.1)
                self.assertEqual(len(worker.runs), 1)
            world.heal()
            await anyio.sleep(10)
            self.assertEqual(len(worker.runs), 1)

        self.run_world(_check, zones=["a", "b"])

    def test_store_is_away_for_all(self):
        """Guards against runs that lapse although nobody can claim."""

        async def _check(world, _directory, name):
            worker = world.workers[name]
            world.store.is_down = True
            await anyio.sleep(12)
            self.assertEqual(len(worker.runs), 1)
            world.store.is_down = False
            await anyio.sleep(10)
            self.assertEqual(len(worker.runs), 1)

        self.run_world(_check)

    def test_store_is_away_for_long(self):
        """Nobody may go on for longer than a successor counts with."""

        async def _check(world, _directory, name):
            world.store.is_down = True
            await anyio.sleep(LONGEST_WAIT_S)
            self.assertEqual(len(world.workers[name].runs), 0)

        self.run_world(_check)

    def test_answers_are_lost(self):
        async def _check(world, _directory, name):
            world.store.lost_table = tables.HOSTS
            world.store.lost_answers = 1000
            await anyio.sleep(10)
            self.assertEqual(len(world.running()), 1)
            world.store.lost_answers = 0
            await anyio.sleep(5)
            self.assertEqual(len(world.running()), 1)

        self.run_world(_check)

    def test_heartbeats_come_late(self):
        for delay_s in (1.0, 1.5, 2.0, 3.0):
            with self.subTest(delay_s=delay_s):
                self.run_world(self._make_late_heartbeats(delay_s))

    def _make_late_heartbeats(self, delay_s):
        async def _check(world, _directory, name):
            world.store.slow_keys[world.holder_of(CELL)] = delay_s
            await anyio.sleep(15)
            self.assertEqual(len(world.running()), 1)

        return _check

    def test_new_holder_has_just_started(self):
        """The heartbeat of the lost one may come from a stale read."""

        async def _check(world, directory, name):
            await anyio.sleep(15)
            (holder,) = world.hosts
            self.lose_worker(world, directory, name)
            world.kill_host(holder)
            await anyio.sleep(1)
            directory.start_host("host-new", "a")
            started_at_s = anyio.current_time()
            restarted_at_s = await self.wait_for_restart(
                world, name, started_at_s + LONGEST_WAIT_S
            )
            self.assertGreater(restarted_at_s, started_at_s + LEASE_S)

        self.run_world(_check, hosts_per_zone=1)

    def test_history_is_lost_with_the_holder(self):
        async def _check(world, directory, name):
            holder = world.holder_of(CELL)
            lost_at_s = self.lose_worker(world, directory, name)
            world.kill_host(holder)
            world.store.compact_history()
            await self.wait_for_restart(
                world, name, lost_at_s + LONGEST_WAIT_S + 4.0
            )

        self.run_world(_check)

    def test_a_claim_that_was_taken_over_ends_the_hold(self):
        """Guards against signs that count again without a check (TWICE).

        The holder does not read the new claim, and its heartbeats are
        answered again.
        """

        async def _check(world, directory, name):
            holder = world.holder_of(CELL)
            host = world.hosts[holder]
            term_builders.hold_together(world, name, holder)
            directory.stop_writing(name)
            world.store.cut_hosts.add(holder)
            world.cut_host_links(holder)
            with term_builders.keep_claims_unknown(host):
                await term_builders.wait_for_other_claim(world, [holder])
                world.store.cut_hosts.clear()
                await self._check_restart(
                    world, name, anyio.current_time() + WORKER_BOUND_S
                )

        self.run_world(_check)


class UntoldStartTests(unittest.TestCase):
    """Starts without an answer of a holder that could not tell of them."""

    def _is_untold(self, *, assigned_s_ago=1.0, version=5, **load):
        async def _main():
            await anyio.sleep(100)
            hold = term_builders.make_hold()
            hold.basis_s = anyio.current_time() - 5.0
            if load:
                hold.last_load = claims.CellLoad(**load)
            adopted = former_holders.AdoptedRun(
                version=version, written_by_s=hold.basis_s - assigned_s_ago
            )
            until_s = hold.untold_start_until_s("t", adopted)
            self.assertIn(
                until_s,
                (-math.inf, hold.basis_s + former_holders.LATE_ORDER_S),
            )
            return until_s > -math.inf

        return builders.run_virtual(_main)

    def test_heartbeat_tells(self):
        """Guards against a late start beside the next run (TWICE).

        recut_grid with a holder that is killed for good showed it.
        """
        self.assertFalse(self._is_untold(as_of=5, unanswered=[]))
        self.assertFalse(self._is_untold(as_of=5, unanswered=["u"]))
        self.assertTrue(self._is_untold(as_of=5, unanswered=["t"]))
        self.assertTrue(self._is_untold(as_of=4, unanswered=[]))

    def test_leases_that_outlast_the_term(self):
        """Guards against runs under a lease of the worker's longest length.

        The next instance of a worker takes the end of a renewal for one on
        its own clock, which starts anew.
        """

        async def _check():
            view = term_builders.make_view(witnesses={}, written_by_s=1.0)
            heartbeat = view.by_name["former"].heartbeat
            heartbeat.cells[CELL] = claims.CellLoad(long_leases_s={"w": 10.0})
            former = former_holders.FormerHolder(
                claim=term_builders.make_claim(),
                stored=None,
                known_members=view,
                lease_s=LEASE_S,
                claimed_by_s=0.0,
            )
            await anyio.sleep(8)
            view.heartbeat_feed.confirmed_at_s = anyio.current_time()
            former.update()
            self.assertAlmostEqual(
                former.holds[-1].lapsed_at_s_of("w"), 11.0, 2
            )
            self.assertAlmostEqual(
                former.holds[-1].lapsed_at_s_of("v"), 1.0 + LAPSE_S, 2
            )
            heartbeat.cells[CELL].long_leases_s = None
            former = former_holders.FormerHolder(
                claim=term_builders.make_claim(),
                stored=None,
                known_members=view,
                lease_s=LEASE_S,
                claimed_by_s=0.0,
            )
            self.assertGreater(former.lapsed_at_s_of("v"), 20.0)

        builders.run_virtual(_check)

    def test_lease_beyond_the_term_is_named(self):
        async def _check():
            now_s = anyio.current_time()
            term, signs, _sets = term_builders.make_term(
                claimed_s=now_s, read_s=now_s
            )
            signs.record(sent_s=now_s, answered_s=now_s)
            lease = leases.Lease(length_s=LEASE_S, longest_s=10.0, term=term)
            lease.record_clock(1000, now_s)
            lease.grant(now_s)
            await anyio.sleep(0.5)
            self.assertEqual(lease.beyond_term_s(anyio.current_time()), 0.0)
            lease.include_longest(anyio.current_time())
            left_s = lease.beyond_term_s(anyio.current_time())
            self.assertAlmostEqual(left_s, leases.lapse_s(10.0), 2)

        builders.run_virtual(_check)

    def test_heartbeat_does_not_tell(self):
        """The time of the assignment decides."""
        bound_s = former_holders.UNTOLD_START_S
        for load in ({}, {"as_of": 9, "unanswered": None}):
            for assigned_s_ago, expected in (
                (bound_s - EDGE_S, True),
                (bound_s + EDGE_S, False),
            ):
                found = self._is_untold(assigned_s_ago=assigned_s_ago, **load)
                self.assertEqual(found, expected)

    def test_holder_and_worker_are_lost_after_a_start(self):
        """Its order outlives the worker's process; see recut_grid."""
        for killed_s, seen_s in ((0.0, 0.05), (0.1, 0.5), (0.4, 2.0)):
            with self.subTest(killed_s=killed_s, seen_s=seen_s):
                overlaps = []

                async def _main(world):
                    recut = recut_builders.RecutWorld(world=world)
                    await self._play(world, recut, killed_s, seen_s)
                    overlaps.extend(ownership_builders.find_overlaps(world))

                builders.run_job_world(
                    _main,
                    zones=["a"],
                    hosts_per_zone=3,
                    workers_per_zone=4,
                    longest_lease_s=LEASE_S,
                )
                self.assertEqual(overlaps, [])

    async def _play(self, world, recut, killed_s, seen_s):
        hosts = set(world.hosts)
        async with anyio.create_task_group() as group:
            await anyio.sleep(3)
            group.start_soon(recut.submit)
            await anyio.sleep(0.3)
            for worker in recut.victims:
                worker.keep_orders = True
                worker.lost_answers, worker.lost_answer_delay_s = 3, 2.0
            await anyio.sleep(0.3)
            for worker in recut.victims:
                worker.crash()
            await anyio.sleep(killed_s)
            world.kill_host(world.holder_of(CELL))
            for worker in recut.victims:
                worker.restart()
                worker.lost_answers = 0
            await anyio.sleep(seen_s)
            for worker in recut.victims:
                worker.cut_from |= hosts
            await anyio.sleep(14)
            for worker in recut.victims:
                worker.cut_from.clear()
            await anyio.sleep(2)

"""Tests of waits for the lease of a lost worker when its cell changes hands.

A standing task may be away for 9 s after its last run, and the lease of its
worker takes 6.3 s of them, whoever holds the cell meanwhile.
"""

import unittest
from unittest import mock

import anyio

from wisteriawood.cells import claims
from wisteriawood.cells import former_holders
from wisteriawood.cells import lease_ledgers
from wisteriawood.cells import lease_rows
from wisteriawood.cells import members
from wisteriawood.cells import tables
from wisteriawood.jobs import specs
from wisteriawood.links import stores
from wisteriawood.standins import job_worlds
from wisteriawood.tests import builders
from wisteriawood.tests import directory_builders

JOB = "0123456789abcdef"
CELL = "shop@a"
# Longest time for which a standing task may be away after its last run.
AWAY_BOUND_S = 9.0
# Time between SIGTERM and the end of an idle host.
EXIT_S = 1.2
ONE_ZONE = {"zones": ["a"], "hosts_per_zone": 3, "workers_per_zone": 2}


class HandOverCase(unittest.TestCase):
    """A task runs on a worker of a cell with three hosts."""

    def run_world(self, check, *, is_single=True, **fields):
        """Run a check with a world, its directory and the task's worker.

        Then check whether the task ran on one worker at a time.
        """

        async def _main(world, directory):
            world.work_s[JOB] = 600.0
            step = specs.StepSpec(
                task_count=1, cpu_millicores=4000, memory_mb=100
            )
            await world.submit(JOB, [step])
            await anyio.sleep(2)
            (name,) = (n for n, w in world.workers.items() if w.runs)
            await check(world, directory, name)
            self.assertEqual(not _find_double_runs(world), is_single)

        directory_builders.run_followed_world(
            _main, settle_s=3.0, **(ONE_ZONE | fields)
        )

    def lose_worker(self, world, directory, name):
        """Let a worker crash; return when, in seconds."""
        world.workers[name].crash()
        directory.stop_writing(name)
        return anyio.current_time()

    async def terminate(self, world, host):
        """End a host as SIGTERM does."""
        await world.hosts[host].drain()
        await anyio.sleep(EXIT_S)
        world.kill_host(host)

    async def wait_for_restart(self, world, name, until_s):
        """Return when the task ran again on another worker, in seconds."""
        while anyio.current_time() < until_s:
            found = restarts(world, name)
            if found:
                return found[0]
            await anyio.sleep(0.1)
        self.fail(f"the task did not run again by {until_s} s")

    def hold_together(self, world, name, other_hosts):
        """Cut a worker off from some hosts, and from no others."""
        world.workers[name].cut_from.clear()
        world.workers[name].cut_from.update(other_hosts)


def restarts(world, name):
    """Return when tasks started on workers other than one, in seconds."""
    return [
        at_s
        for other, worker in world.workers.items()
        for _task, _run, at_s in worker.starts
        if other != name
    ]


def _find_double_runs(world):
    """Return the tasks that started while an earlier run went on."""
    found = []
    for task, starts in world.starts().items():
        ends_s = {run: at_s for run, _how, at_s in world.ends().get(task, [])}
        ordered = sorted(starts, key=lambda start: start[1])
        for (run, _at_s, _worker), (_next, at_s, _on) in zip(
            ordered, ordered[1:]
        ):
            if at_s < ends_s.get(run, at_s + 1):
                found.append(task)
    return found


class ReleaseTests(HandOverCase):
    """The holder releases its cell while tasks wait for a lost worker."""

    def test_holder_gets_sigterm_during_the_wait(self):
        """Regression: LOST, the next holder began a new wait of 6.3 s."""

        async def _check(world, directory, name):
            lost_at_s = self.lose_worker(world, directory, name)
            await anyio.sleep(3.5)
            await self.terminate(world, world.holder_of(CELL))
            await self.wait_for_restart(world, name, lost_at_s + AWAY_BOUND_S)

        self.run_world(_check)

    def test_two_holders_get_sigterm_during_the_wait(self):
        """Guards against figures that get lost at the second release."""

        async def _check(world, directory, name):
            lost_at_s = self.lose_worker(world, directory, name)
            for _holder in range(2):
                await anyio.sleep(1.5)
                await self.terminate(world, world.holder_of(CELL))
            await self.wait_for_restart(world, name, lost_at_s + AWAY_BOUND_S)

        self.run_world(_check)

    def test_better_host_comes_during_the_wait(self):
        """Regression: LOST, the cell went to a stronger host, which waited."""

        async def _check(world, directory, name):
            lost_at_s = self.lose_worker(world, directory, name)
            await anyio.sleep(3)
            directory.start_host("host-a-strong", "a", cores=2.0)
            await self.wait_for_restart(world, name, lost_at_s + AWAY_BOUND_S)
            await anyio.sleep(5)
            self.assertEqual(world.holder_of(CELL), "host-a-strong")

        self.run_world(_check)

    def test_silent_worker_runs_on_beyond_the_release(self):
        """Guards against a figure that ends before the worker's lease."""

        async def _check(world, directory, name):
            worker = world.workers[name]
            worker.cut_from.update(world.hosts)
            await anyio.sleep(3)
            await self.terminate(world, world.holder_of(CELL))
            while worker.runs:
                self.assertEqual(restarts(world, name), [])
                await anyio.sleep(0.02)
            until_s = anyio.current_time() + 1.5
            await self.wait_for_restart(world, name, until_s)

        self.run_world(_check)

    async def _release_unanswered(self, world, directory, name):
        """Release a cell without an answer; its worker is back meanwhile.

        Only the former holder reaches the worker, and nothing tells it that
        the release has taken effect.
        """
        holder = world.holder_of(CELL)
        others = world.hosts.keys() - {holder}
        for worker in world.workers.values():
            worker.cut_from.add(holder)
        world.workers[name].cut_from.update(others)
        directory.stop_writing(name)
        await anyio.sleep(2)
        world.store.lost_table = tables.CLAIMS
        world.store.lost_answers = 1
        # The host is cut off from the store before it can read its release.
        world.store.lost_answer_delay_s = 0.2
        async with anyio.create_task_group() as group:
            group.start_soon(world.hosts[holder].release, CELL)
            while world.store.lost_answers:
                await anyio.sleep(0.01)
            world.store.cut_hosts.add(holder)
            self.hold_together(world, name, others)
            while not restarts(world, name):
                await anyio.sleep(0.02)

    def test_release_without_answer_and_the_worker_is_back(self):
        """Guards against a renewal after the figures were taken (TWICE)."""
        self.run_world(self._release_unanswered)

    def test_such_a_renewal_is_seen_if_nothing_keeps_it_back(self):
        """Proof of the test above: with renewals, the task runs twice."""

        async def _check(world, directory, name):
            with mock.patch.object(
                lease_ledgers.LeaseLedger, "is_withheld", _is_never_withheld
            ):
                await self._release_unanswered(world, directory, name)

        def _is_never_withheld(_ledger, _worker_id):
            return False

        self.run_world(_check, is_single=False)

    def test_release_that_fails_leaves_the_leases_as_they_were(self):
        """Guards against runs that lapse as their holder renews no more."""

        async def _check(world, _directory, name):
            holder = world.holder_of(CELL)
            world.store.is_down = True
            await world.hosts[holder].release(CELL)
            world.store.is_down = False
            await anyio.sleep(2 * job_worlds.LEASE_S)
            self.assertEqual(world.holder_of(CELL), holder)
            self.assertEqual(len(world.workers[name].runs), 1)

        self.run_world(_check)

    def test_runs_outlast_a_release_without_answer(self):
        """Guards against runs that lapse as nobody holds their cell."""

        async def _check(world, _directory, name):
            holder = world.holder_of(CELL)
            world.store.lost_table = tables.CLAIMS
            world.store.lost_answers = 1
            await world.hosts[holder].release(CELL)
            await anyio.sleep(2 * job_worlds.LEASE_S)
            self.assertNotEqual(world.holder_of(CELL), "")
            self.assertEqual(len(world.workers[name].runs), 1)

        self.run_world(_check)


class ReleaseRowTests(unittest.TestCase):
    """What a release tells a new holder."""

    def _wait_s(self, row, *, row_version=3, seen_s_ago=0.0):
        """Return the waits for the leases of workers w and other.

        The cell was released at version 3, with a row of leases if one is
        given.
        """
        claim_row = claims.ClaimRow(holder="", incarnation="x", epoch=1)

        async def _main():
            view = members.Members(
                store=None, name="new", zone="a", incarnation="n"
            )
            released = claims.Claim(cell=CELL, row=claim_row, version=3)
            view.record_claim(released)
            if row is not None:
                stored = stores.StoredRow(
                    at=tables.leases_row(CELL),
                    value=lease_rows.leases_to_bytes(row),
                    version=row_version,
                )
                view.process_claims([stored])
            await anyio.sleep(seen_s_ago)
            former = former_holders.FormerHolder(
                claim=released,
                stored=view.leases.get(CELL),
                known_members=view,
                lease_s=6.0,
            )
            now_s = anyio.current_time()
            return (
                former.lapsed_at_s_of("w") - now_s,
                former.lapsed_at_s_of("other") - now_s,
            )

        return builders.run_virtual(_main)

    def test_row_without_figures(self):
        """Guards against rows of older hosts that can't be read.

        Such a host renews until its release is answered.
        """
        data = b'{"holder":"","incarnation":"x","epoch":1}'
        at = tables.claim_row(CELL)
        row = stores.StoredRow(at=at, value=data, version=1)
        claim = claims.read_claim(row)
        self.assertEqual(claim.row.holder, "")
        waits_s = self._wait_s(None, seen_s_ago=2.0)
        self.assertGreater(min(waits_s), 6.0)

    def test_figures_count_from_the_first_sight_of_the_release(self):
        """Guards against clocks of two hosts that are compared."""
        row = lease_rows.LeasesRow(
            withheld_s={"w": 3.0}, former=[_former_hold(lapses_in_s=6.3)]
        )
        waits_s = self._wait_s(row, seen_s_ago=2.0)
        self.assertAlmostEqual(waits_s[0], 1.0, places=2)
        self.assertAlmostEqual(waits_s[1], 4.3, places=2)

    def test_others_wait_for_earlier_holders(self):
        """Guards against a holder that released before it had read the jobs.

        It did not know then which workers are silent.
        """
        row = lease_rows.LeasesRow(
            withheld_s={"w": 3.0},
            former=[
                _former_hold(lapses_in_s=17.0),
                _former_hold(lapses_in_s=6.3),
            ],
        )
        waits_s = self._wait_s(row)
        self.assertAlmostEqual(waits_s[0], 3.0, places=2)
        self.assertAlmostEqual(waits_s[1], 17.0, places=2)

    def test_odd_figure_is_bounded(self):
        """Guards against a figure that makes tasks wait for ever."""
        row = lease_rows.LeasesRow(
            withheld_s={"w": 1e15}, former=[_former_hold(lapses_in_s=1e15)]
        )
        waits_s = self._wait_s(row)
        self.assertLessEqual(max(waits_s), former_holders.MAX_LEFT_S)

    def test_row_that_an_older_host_has_not_replaced(self):
        """Guards against leases that a host extends which knows no such row.

        It claimed and released the cell after the row was stored.
        """
        row = lease_rows.LeasesRow(withheld_s={"w": 0.5})
        self.assertLess(self._wait_s(row)[0], 1.0)
        self.assertGreater(self._wait_s(row, row_version=2)[0], 6.0)

    def test_odd_row_tells_nothing_and_can_be_replaced(self):
        """Guards against a cell that nobody can claim, or claims too early."""

        async def _main():
            view = members.Members(
                store=None, name="new", zone="a", incarnation="n"
            )
            at = tables.leases_row(CELL)
            row = stores.StoredRow(at=at, value=b"[[[", version=9)
            view.process_claims([row])
            stored = view.find_leases(CELL)
            claim = claims.Claim(
                cell=CELL,
                row=claims.ClaimRow(holder="", incarnation="x", epoch=1),
                version=9,
            )
            former = former_holders.FormerHolder(
                claim=claim, stored=stored, known_members=view, lease_s=6.0
            )
            self.assertEqual(stored.version, 9)
            left_s = former.lapsed_at_s_of("w") - anyio.current_time()
            self.assertGreater(left_s, former_holders.RENEW_WITHOUT_STORE_S)

        builders.run_virtual(_main)

    def test_many_former_holds_are_merged(self):
        """Guards against a hold that no row tells of any more."""
        holds = [
            _former_hold(lapses_in_s=20.0 - number, holder=f"h{number}")
            for number in range(2 * lease_rows.MAX_FORMER)
        ]
        merged = lease_rows.bound_former(holds)
        self.assertEqual(len(merged), lease_rows.MAX_FORMER)
        self.assertEqual(merged[0].lapses_in_s, 20.0)
        self.assertEqual(merged[1:], holds[1 - lease_rows.MAX_FORMER :])


def _former_hold(*, lapses_in_s, holder="former"):
    return lease_rows.FormerHoldRow(
        holder=holder,
        incarnation="i",
        version=1,
        lapses_in_s=lapses_in_s,
    )

"""Tests of the report of standing tasks that are away."""

import unittest
from unittest import mock

import anyio

from wisteriawood.cells import absences
from wisteriawood.cells import away_tasks
from wisteriawood.cells import idle_jobs
from wisteriawood.cells import moving
from wisteriawood.cells import runs
from wisteriawood import errors
from wisteriawood.jobs import jobs
from wisteriawood.jobs import specs
from wisteriawood.jobs import tasks
from wisteriawood.links import transport_errors
from wisteriawood.standins import job_worlds
from wisteriawood.telemetry import job_events
from wisteriawood.tests import away_builders
from wisteriawood.tests import builders

CELL = "shop@a"
JOB = "0123456789abcdef"
# Later than all times at which new workers are available.
START_S = 100.0
AWAY_S = away_tasks.AWAY_TIMEOUT_S
# Age of an answer at which a worker counts as silent.
SILENT_S = 3.0
LEASE_S = job_worlds.LEASE_S


class MonitorCase(unittest.TestCase):
    """Runs a monitor's checks on a cell of two workers."""

    def run_check(self, check, *, former_lapsed_at_s=0.0):
        """Run a check of a cell, its monitor and the logged lines."""

        async def _main():
            await anyio.sleep(START_S)
            fleet = [
                builders.make_run_worker(f"w{n}", now_s=START_S)
                for n in range(2)
            ]
            cell = builders.make_cell(fleet)
            builders.confirm_views(cell)
            monitor = away_builders.make_monitor(
                cell, former_lapsed_at_s=former_lapsed_at_s
            )
            with builders.record_events(
                job_events.STANDING_TASK_AWAY
            ) as lines:
                await check(cell, monitor, lines)
            for worker in fleet:
                worker.close()

        builders.run_virtual(_main)

    async def pass_time(self, cell, monitor, time_s, *, silent=()):
        """Check in periods while all but some workers answer."""
        end_s = anyio.current_time() + time_s
        while (left_s := end_s - anyio.current_time()) > 1e-6:
            await anyio.sleep(min(left_s, away_tasks.CHECK_PERIOD_S))
            builders.confirm_views(cell)
            for worker in cell.fleet.values():
                if worker.id not in silent:
                    away_builders.answer(worker)
            monitor.check()


class PhaseTests(MonitorCase):
    # Guards against a lost worker whose tasks show in no line until they are
    # dropped.
    def test_the_end_of_a_run_is_unknown(self):
        async def _check(cell, monitor, lines):
            worker = cell.fleet["w0"]
            job = away_builders.add_running_job(cell, worker)
            away_builders.grant_lease(worker)
            monitor.check()
            await self.pass_time(cell, monitor, SILENT_S, silent=["w0"])
            self.assertEqual(len(lines), 1)
            line = lines[0]
            (task,) = job.all_tasks()
            self.assertEqual(line["task"], job.task_name(task))
            self.assertEqual((line["cell"], line["worker"]), (CELL, "w0"))
            self.assertEqual(line["phase"], "end_unknown")
            self.assertEqual(line["away_s"], SILENT_S)
            self.assertEqual(line["phases_s"], {"end_unknown": SILENT_S})
            self.assertEqual(line["cause"], "silence")
            self.assertEqual(line["lease_left_s"], 3.3)
            self.assertEqual(line["former_lease_left_s"], 0.0)
            self.assertFalse(line["is_back"])
            self.assertFalse(line["assigned"]["answers"])
            count = away_builders.away_count(cell, "end_unknown")
            self.assertEqual(count, 1)

        self.run_check(_check)

    # Guards against taking the wait for a former holder, which no lease
    # granted here explains, for the wait for a lease of this holder.
    def test_leases_of_a_former_holder_have_not_lapsed(self):
        async def _check(cell, monitor, lines):
            orphaned = away_builders.make_standing_job("orphaned")
            (task,) = orphaned.all_tasks()
            task.assign(worker_id="w9", run=3)
            run = runs.Run(job=orphaned, task=task, assigned_at_s=START_S)
            cell.orphans["w9"] = [run]
            cell.add_job(orphaned)
            monitor.check()
            await self.pass_time(cell, monitor, SILENT_S)
            line = lines[0]
            self.assertEqual(line["phase"], "former_lease")
            self.assertEqual(line["cause"], "load")
            self.assertEqual(line["worker"], "w9")
            self.assertEqual(line["assigned"]["found"], "orphan")
            self.assertEqual(line["former_lease_left_s"], 15.8)
            count = away_builders.away_count(cell, "former_lease")
            self.assertEqual(count, 1)

        self.run_check(_check, former_lapsed_at_s=START_S + 18.3)

    # Guards against a worker silent since a takeover whose later wait counts
    # for the wrong holder.
    def test_a_lease_of_this_holder_lapses_before_one_of_the_former(self):
        async def _check(cell, monitor, lines):
            worker = cell.fleet["w0"]
            away_builders.add_running_job(cell, worker)
            away_builders.grant_lease(worker)
            monitor.check()
            await self.pass_time(cell, monitor, 10.0, silent=["w0"])
            self.assertEqual(lines[-1]["phase"], "former_lease")
            self.assertEqual(
                lines[-1]["phases_s"],
                {"end_unknown": 6.27, "former_lease": 3.73},
            )

        self.run_check(_check, former_lapsed_at_s=START_S + 18.3)

    # Guards against a line that says a task waits but not for what.
    def test_no_worker_has_room(self):
        async def _check(cell, monitor, lines):
            worker = cell.fleet["w0"]
            job = away_builders.add_running_job(
                cell, worker, cpu_millicores=9000
            )
            away_builders.stop_task(cell, worker, job)
            for other in cell.fleet.values():
                other.free_millicores = 1000
            await self.pass_time(cell, monitor, AWAY_S)
            line = lines[0]
            self.assertEqual(line["phase"], "no_room")
            self.assertEqual((line["worker"], line["run"]), ("w0", 1))
            self.assertEqual(line["cause"], "run_end")
            self.assertEqual(line["phases_s"], {"no_room": AWAY_S})
            self.assertEqual(line["needs"], [9000, 8, 0])
            self.assertEqual(line["obstacles"], {"CPU": 2})
            self.assertEqual(away_builders.away_count(cell, "no_room"), 1)

        self.run_check(_check)

    # Guards against a move whose write hangs and that looks like a want of
    # room.
    def test_another_cell_was_asked(self):
        async def _check(cell, monitor, lines):
            worker = cell.fleet["w0"]
            job = away_builders.add_running_job(cell, worker)
            away_builders.stop_task(cell, worker, job)
            await self.pass_time(cell, monitor, 1.0)
            moving.move(cell, job, "shop@b")
            await self.pass_time(cell, monitor, 2.0)
            line = lines[0]
            self.assertEqual(line["phase"], "other_cell_asked")
            self.assertEqual(line["to"], "shop@b")
            # The move began up to a check period before it is seen.
            self.assertEqual(
                line["phases_s"], {"no_room": 1.5, "other_cell_asked": 1.0}
            )
            cell.remove_moved_job(job)
            await self.pass_time(cell, monitor, 0.5)
            self.assertEqual(lines[-1]["to"], "shop@b")
            self.assertFalse(lines[-1]["is_back"])
            self.assertEqual(lines[-1]["away_s"], 3.5)
            count = away_builders.away_count(cell, "other_cell_asked")
            self.assertEqual(count, 0)

        self.run_check(_check)

    # Guards against a start that isn't written, sent or answered and that
    # looks like a run.
    def test_a_start_is_not_answered(self):
        async def _check(cell, monitor, lines):
            worker = cell.fleet["w0"]
            job = away_builders.add_running_job(cell, worker)
            away_builders.stop_task(cell, worker, job)
            await self.pass_time(cell, monitor, 0.2)
            run = away_builders.assign(cell, cell.fleet["w1"], job)
            await self.pass_time(cell, monitor, AWAY_S)
            line = lines[0]
            self.assertEqual(line["phase"], "start_unanswered")
            self.assertEqual((line["worker"], line["run"]), ("w1", 2))
            self.assertEqual(
                line["phases_s"], {"no_room": 0.2, "start_unanswered": 2.5}
            )
            self.assertFalse(line["assigned"]["was_sent"])
            run.was_sent = True
            await self.pass_time(cell, monitor, 3.0)
            self.assertEqual(lines[-1]["phase"], "start_unanswered")
            self.assertTrue(lines[-1]["assigned"]["was_sent"])

        self.run_check(_check)

    # Guards against tasks of a restarted worker that count from its return
    # and not from when it was last heard of.
    def test_a_run_that_a_restarted_worker_omits(self):
        async def _check(cell, monitor, lines):
            worker = cell.fleet["w0"]
            job = away_builders.add_running_job(cell, worker)
            monitor.check()
            await self.pass_time(cell, monitor, 1.5, silent=["w0"])
            away_builders.answer(worker)
            run = away_builders.run_of(worker, job)
            cell.end_run(worker, run, tasks.Outcome.LAPSED)
            await self.pass_time(cell, monitor, 1.0)
            self.assertEqual(
                lines[0]["phases_s"], {"end_unknown": 1.5, "no_room": 1.0}
            )

        self.run_check(_check)

    # Guards against a phase that no line can have.
    def test_the_phases_are_the_ones_tested_here(self):
        self.assertEqual(
            set(absences.AwayPhase),
            {
                "end_unknown",
                "former_lease",
                "no_room",
                "other_cell_asked",
                "start_unanswered",
            },
        )


class EndTests(MonitorCase):
    # Guards against gaps that are over before anybody looks, and against
    # times per phase that don't add up.
    def test_a_task_is_back(self):
        async def _check(cell, monitor, lines):
            worker = cell.fleet["w0"]
            job = away_builders.add_running_job(cell, worker)
            monitor.check()
            await self.pass_time(cell, monitor, 6.3, silent=["w0"])
            run = away_builders.run_of(worker, job)
            cell.end_run(worker, run, tasks.Outcome.LAPSED)
            await self.pass_time(cell, monitor, 0.9, silent=["w0"])
            new_run = away_builders.assign(cell, cell.fleet["w1"], job)
            await anyio.sleep(0.05)
            away_builders.confirm(new_run)
            await self.pass_time(cell, monitor, 0.5, silent=["w0"])
            line = lines[-1]
            self.assertTrue(line["is_back"])
            self.assertFalse(line["is_same_run"])
            self.assertEqual((line["worker"], line["run"]), ("w1", 2))
            self.assertEqual(line["away_s"], 7.25)
            self.assertEqual(
                line["phases_s"],
                {"end_unknown": 6.3, "no_room": 0.9, "start_unanswered": 0.05},
            )
            self.assertEqual(away_builders.gap_count(cell, "silence"), 1)
            self.assertAlmostEqual(
                away_builders.gap_sum_s(cell, "silence"), 7.25
            )
            for phase in absences.AwayPhase:
                self.assertEqual(away_builders.away_count(cell, phase), 0)

        self.run_check(_check)

    # Guards against a histogram that only has the gaps that were logged.
    def test_a_short_gap_is_counted_without_a_line(self):
        async def _check(cell, monitor, lines):
            worker = cell.fleet["w0"]
            job = away_builders.add_running_job(cell, worker)
            monitor.check()
            await self.pass_time(cell, monitor, 0.6)
            away_builders.stop_task(cell, worker, job)
            await anyio.sleep(0.1)
            run = away_builders.assign(cell, worker, job)
            await anyio.sleep(0.1)
            away_builders.confirm(run)
            await self.pass_time(cell, monitor, 1.0)
            self.assertEqual(lines, [])
            self.assertEqual(away_builders.gap_count(cell, "run_end"), 1)
            self.assertAlmostEqual(
                away_builders.gap_sum_s(cell, "run_end"), 0.2
            )

        self.run_check(_check)

    # Guards against a worker that was cut off for a while and shows as tasks
    # that didn't run.
    def test_a_run_that_went_on_is_no_gap(self):
        async def _check(cell, monitor, lines):
            away_builders.add_running_job(cell, cell.fleet["w0"])
            monitor.check()
            await self.pass_time(cell, monitor, 4.0, silent=["w0"])
            await self.pass_time(cell, monitor, 0.5)
            self.assertTrue(lines[-1]["is_back"])
            self.assertTrue(lines[-1]["is_same_run"])
            self.assertEqual(away_builders.gap_count(cell, "silence"), 0)

        self.run_check(_check)

    # Guards against cancelled jobs that are reported for ever.
    def test_a_cancelled_job_is_not_away(self):
        async def _check(cell, monitor, lines):
            worker = cell.fleet["w0"]
            job = away_builders.add_running_job(cell, worker)
            away_builders.stop_task(cell, worker, job)
            await self.pass_time(cell, monitor, 1.0)
            cell.end_job(job, jobs.JobState.CANCELED)
            await self.pass_time(cell, monitor, SILENT_S)
            self.assertEqual(lines, [])
            self.assertEqual(away_builders.away_count(cell, "no_room"), 0)

        self.run_check(_check)

    # Guards against a takeover after which all that runs shows as away.
    def test_a_task_that_runs_when_it_is_loaded_is_not_away(self):
        async def _check(cell, monitor, lines):
            away_builders.add_running_job(cell, cell.fleet["w0"])
            monitor.check()
            for phase in absences.AwayPhase:
                self.assertEqual(away_builders.away_count(cell, phase), 0)

        self.run_check(_check)

    # Guards against new jobs in a full cell that look like lost tasks.
    def test_a_task_that_has_not_run_is_not_away(self):
        async def _check(cell, monitor, lines):
            waiting = away_builders.make_standing_job("waiting")
            starting = away_builders.make_standing_job("starting")
            for job in (waiting, starting):
                cell.add_job(job)
            away_builders.assign(cell, cell.fleet["w0"], starting)
            await self.pass_time(cell, monitor, SILENT_S)
            self.assertEqual(lines, [])

        self.run_check(_check)

    # Guards against an error of the monitor that keeps a task assigned.
    def test_an_error_does_not_stop_the_end_of_a_run(self):
        async def _check(cell, monitor, lines):
            worker = cell.fleet["w0"]
            job = away_builders.add_running_job(cell, worker)
            with mock.patch.object(
                away_tasks.AwayTaskMonitor, "_add", side_effect=KeyError
            ):
                away_builders.stop_task(cell, worker, job)
            (task,) = job.all_tasks()
            self.assertIs(task.phase, tasks.Phase.WAITING)

        self.run_check(_check)


class HiddenTaskTests(MonitorCase):
    # Guards against five running tasks of a job that hide the sixth.
    def test_one_of_six_tasks_is_away(self):
        async def _check(cell, monitor, lines):
            job = away_builders.make_standing_job(task_count=6)
            cell.add_job(job)
            for index in range(6):
                worker = cell.fleet["w1" if index else "w0"]
                builders.put_run(worker, job, index=index, now_s=START_S)
            idle_monitor = idle_jobs.IdleJobMonitor(cell=cell)
            with builders.record_events(job_events.JOB_IDLE) as idle_lines:
                monitor.check()
                idle_monitor.check()
                await self.pass_time(cell, monitor, 4.0, silent=["w0"])
                idle_monitor.check()
            self.assertEqual(idle_lines, [])
            self.assertEqual(
                {line["task"] for line in lines}, {f"{job.id}.0.0.0"}
            )

        self.run_check(_check)


class BoundTests(MonitorCase):
    # Guards against a lost rack that floods the log, and against lines about
    # short absences in place of long ones.
    def test_the_number_of_lines_is_bounded(self):
        async def _check(cell, monitor, lines):
            first, second = cell.fleet.values()
            new = []
            for number in range(30):
                job = away_builders.add_running_job(cell, first, f"j{number}")
                away_builders.stop_task(cell, first, job)
                new.append(job)
                await anyio.sleep(0.01)
            await anyio.sleep(AWAY_S)
            monitor.check()
            most = away_tasks.MAX_AWAY_LINES
            self.assertEqual(len(lines), most)
            self.assertEqual(
                [line["job"] for line in lines],
                [f"j{number}" for number in range(most)],
            )
            self.assertEqual(lines[0]["left_out"], 30 - most)
            self.assertLess(len(str(lines[0])), 2000)
            lines.clear()
            for job in new:
                away_builders.confirm(away_builders.assign(cell, second, job))
            away_builders.answer(second)
            monitor.check()
            self.assertEqual(len(lines), away_tasks.MAX_END_LINES)
            self.assertTrue(lines[0]["is_back"])
            self.assertEqual(
                lines[0]["left_out"], 30 - away_tasks.MAX_END_LINES
            )
            self.assertEqual(away_builders.gap_count(cell, "run_end"), 30)

        self.run_check(_check)

    # Guards against a task that is logged at each check.
    def test_a_task_is_logged_at_most_once_in_a_period(self):
        async def _check(cell, monitor, lines):
            worker = cell.fleet["w0"]
            job = away_builders.add_running_job(cell, worker)
            away_builders.stop_task(cell, worker, job)
            await self.pass_time(cell, monitor, AWAY_S)
            self.assertEqual(len(lines), 1)
            period_s = away_tasks.LOG_PERIOD_S
            await self.pass_time(cell, monitor, period_s - 0.5)
            self.assertEqual(len(lines), 1)
            await self.pass_time(cell, monitor, 0.5)
            self.assertEqual(len(lines), 2)
            away_builders.assign(cell, worker, job)
            await self.pass_time(cell, monitor, 1.0)
            self.assertEqual(
                [line["phase"] for line in lines[2:]], ["start_unanswered"]
            )

        self.run_check(_check)

    # Guards against checks that take longer with each task of the cell.
    def test_a_check_reads_the_tasks_of_a_job_once(self):
        async def _check(cell, monitor, lines):
            for number in range(5):
                cell.add_job(away_builders.make_standing_job(f"j{number}"))
            monitor.check()
            with mock.patch.object(jobs.Job, "all_tasks") as read:
                monitor.check()
            read.assert_not_called()

        self.run_check(_check)


class HostTests(unittest.TestCase):
    # Guards against a monitor that no holder runs, and against a gap that
    # the metrics of the host don't show.
    def test_a_lost_worker_shows_in_lines_and_metrics(self):
        async def _check(world):
            await anyio.sleep(2)
            step = specs.StepSpec(
                task_count=6, cpu_millicores=1000, is_standing=True
            )
            world.work_s[JOB] = 1000.0
            await world.submit_to(CELL, JOB, [step])
            await anyio.sleep(3)
            worker = next(iter(world.running("a").values()))
            holder = world.hosts[world.holder_of(CELL)]
            with (
                builders.record_events(job_events.STANDING_TASK_AWAY) as lines,
                builders.record_events(job_events.RUN_DROPPED) as drops,
                builders.record_events(job_events.RUN_WORKER_LOST) as losses,
            ):
                world.lose_worker(worker)
                await anyio.sleep(2 * LEASE_S)
            self.assertEqual(len(world.running("a")), 6)
            self.assertEqual(lines[0]["phase"], "end_unknown")
            self.assertEqual(lines[0]["worker"], worker)
            back = [line for line in lines if line["is_back"]]
            self.assertTrue(back)
            for line in back:
                self.assertGreaterEqual(line["away_s"], LEASE_S)
                self.assertAlmostEqual(
                    sum(line["phases_s"].values()), line["away_s"], places=2
                )
            self.assertGreaterEqual(drops[0]["silent_s"], LEASE_S)
            self.assertEqual(losses[0]["kind"], "LinkClosedError")
            self.assertEqual(losses[0]["errno"], "")
            self.assertEqual(losses[0]["standing_count"], len(drops))
            self.assertEqual(
                set(losses[0]["standing"]), {line["task"] for line in drops}
            )
            count = holder.counters.registry.get_sample_value(
                f"{away_builders.GAP_METRIC}_count", {"cause": "silence"}
            )
            self.assertEqual(count, len(drops))
            world.kill_host(holder.name)
            await anyio.sleep(1)
            gauge = holder.counters.standing_tasks_away
            self.assertEqual(gauge.collect()[0].samples, [])

        builders.run_job_world(_check, zones=["a"])

    # Guards against a lent task that each of the two cells leaves to the
    # other.
    def test_a_lent_task_shows_in_both_cells(self):
        async def _check(world):
            await anyio.sleep(2)
            step = specs.StepSpec(
                task_count=3, cpu_millicores=9000, is_standing=True
            )
            world.work_s[JOB] = 1000.0
            await world.submit_to(CELL, JOB, [step])
            await anyio.sleep(3)
            worker = next(iter(world.running("a").values()))
            with builders.record_events(
                job_events.STANDING_TASK_AWAY
            ) as lines:
                world.lose_worker(worker)
                await anyio.sleep(2 * LEASE_S)
            self.assertEqual(len(world.running("b")), 1)
            left = [line for line in lines if line.get("to")]
            self.assertEqual(
                [line["cell"] for line in left if line["to"] == "shop@b"],
                [CELL],
            )
            self.assertGreater(left[-1]["away_s"], LEASE_S)
            phases_s = left[-1]["phases_s"]
            self.assertAlmostEqual(
                sum(phases_s.values()), left[-1]["away_s"], places=2
            )
            self.assertGreater(phases_s["no_room"], 0.0)
            # It is lent at once, and the monitor checks each 0.5 s.
            self.assertLess(phases_s["no_room"], 0.8)

        builders.run_job_world(_check)


class TransportFaultTests(unittest.TestCase):
    # Guards against a lost worker of which nobody can tell whether it reset,
    # refused or ignored the connection.
    def test_the_first_cause_is_found(self):
        fault = transport_errors.find_fault(away_builders.make_reset_error())
        self.assertEqual(fault.kind, "ConnectionResetError")
        self.assertEqual(fault.errno_name, "ECONNRESET")

    # Guards against a chain of causes that never ends or has no number.
    def test_an_error_without_a_number(self):
        exc = errors.LinkClosedError("no answer")
        fault = transport_errors.find_fault(exc)
        self.assertEqual(fault.kind, "LinkClosedError")
        self.assertEqual(fault.errno_name, "")
        exc.__cause__ = exc
        self.assertEqual(
            transport_errors.find_fault(exc).kind, "LinkClosedError"
        )

"""Tests of the report of jobs of which nothing runs."""

import unittest
from unittest import mock

import anyio

from wisteriawood.cells import idle_jobs
from wisteriawood.cells import moving
from wisteriawood.cells import placers
from wisteriawood.cells import relocation
from wisteriawood.cells import runs
from wisteriawood import errors
from wisteriawood.jobs import jobs
from wisteriawood.jobs import specs
from wisteriawood.jobs import tasks
from wisteriawood.standins import runners as run_standins
from wisteriawood.telemetry import job_events
from wisteriawood.tests import builders

CELL = "shop@a"
JOB = "0123456789abcdef"
# Later than all times at which new workers are available.
START_S = 100.0
STEP = specs.StepSpec(task_count=1, cpu_millicores=1000)
LIGHT, HEAVY = "light", "heavy"


class MonitorCase(unittest.TestCase):
    """Runs a monitor's checks on a cell whose placer runs when asked."""

    def run_check(self, check, *, workers=3):
        """Run a check of a cell, its monitor and the logged lines."""

        async def _main():
            await anyio.sleep(START_S)
            fleet = [
                builders.make_run_worker(f"w{n}", now_s=anyio.current_time())
                for n in range(workers)
            ]
            cell = builders.make_cell(fleet)
            builders.confirm_views(cell)
            monitor = idle_jobs.IdleJobMonitor(cell=cell)
            with builders.record_events(job_events.JOB_IDLE) as lines:
                await check(cell, monitor, lines)
            for worker in fleet:
                worker.close()

        builders.run_virtual(_main)

    async def pass_time(self, cell, monitor, time_s=None):
        """Check at the start and at the end of a time without news."""
        monitor.check()
        if time_s is None:
            time_s = idle_jobs.IDLE_TIMEOUT_S
        await anyio.sleep(time_s)
        builders.confirm_views(cell)
        now_s = anyio.current_time()
        for worker in cell.fleet.values():
            worker.answered_at_s = now_s
        monitor.check()

    def place(self, cell):
        """Run a placement pass and return the number of assigned tasks."""
        waiting = {job.id: (job, steps) for job, steps in cell.waiting_jobs()}
        fleet = cell.fleet.values()
        return len(cell.placer.place(waiting, fleet, anyio.current_time()))

    def gauge(self, cell, reason):
        """Return the number of idle jobs of a cell with some reason."""
        return cell.counters.registry.get_sample_value(
            "wisteriawood_jobs_idle", {"cell": cell.name, "reason": reason}
        )


class WaitingTests(MonitorCase):
    def test_a_filler_that_load_limits_pass_over(self):
        async def _check(cell, monitor, lines):
            builders.set_weights(cell.model, "serves", {HEAVY: 6.0})
            for worker in cell.fleet.values():
                serving = builders.make_serving_job(f"s-{worker.id}")
                builders.put_run(worker, serving, now_s=START_S)
            cell.placer.is_intake_idle = False
            cell.add_job(builders.make_job(JOB, is_filler=True, image=HEAVY))
            self.assertEqual(self.place(cell), 0)
            await self.pass_time(cell, monitor)
            self.assertEqual(self.place(cell), 0)
            self.assertEqual(len(lines), 1)
            line = lines[0]
            self.assertEqual(line["job"], JOB)
            self.assertEqual(line["cell"], CELL)
            self.assertEqual(line["reason"], "passed_over")
            self.assertEqual(line["tasks"], {"waiting": 1})
            self.assertEqual(line["queued_tasks"], 1)
            self.assertEqual(line["obstacles"], {"serving load": 3})
            self.assertEqual(line["pinning_obstacles"], {"none": 3})
            self.assertFalse(line["is_intake_idle"])
            self.assertEqual(line["unplaced_needs"], [(4000, 8)])
            self.assertEqual(self.gauge(cell, "passed_over"), 1)
            self.assertEqual(self.gauge(cell, "assigned"), 0)

        self.run_check(_check)

    def test_the_timer_of_pinning_is_shown(self):
        async def _check(cell, monitor, lines):
            for worker in cell.fleet.values():
                worker.free_millicores = 0
                for number in range(placers.MAX_URGENT_PINNED_PER_WORKER):
                    pinned = builders.make_job(f"p-{worker.id}-{number}")
                    builders.put_run(worker, pinned).is_pinned = True
            cell.add_job(builders.make_job(JOB, is_filler=True))
            self.place(cell)
            await self.pass_time(cell, monitor)
            self.assertEqual(lines[0]["obstacles"], {"unused CPU": 3})
            self.assertEqual(
                lines[0]["pinning_obstacles"], {"pinned limit": 3}
            )
            self.assertEqual(
                lines[0]["pinning_idle_s"], idle_jobs.IDLE_TIMEOUT_S
            )

        self.run_check(_check)

    def check_obstacle(self, expected, change, *, reason, **fields):
        """Check that a changed worker gets no task, and what is logged."""

        async def _check(cell, monitor, lines):
            (worker,) = cell.fleet.values()
            job = builders.make_job(JOB, **fields)
            cell.add_job(job)
            change(worker, job)
            self.assertEqual(self.place(cell), 0)
            monitor.check()
            with mock.patch.object(idle_jobs, "IDLE_TIMEOUT_S", 0.0):
                monitor.check()
            self.assertEqual(lines[0]["obstacles"], {expected: 1})
            self.assertEqual(lines[0]["reason"], reason)

        with self.subTest(expected):
            self.run_check(_check, workers=1)

    def test_the_line_names_what_rules_a_worker_out(self):
        """The placer must place nothing wherever the line has a reason."""

        def _nothing(_worker, _job):
            pass

        for expected, change, fields in (
            ("memory", _nothing, {"memory_mb": 65000}),
            ("accelerators", _nothing, {"accelerators": 1}),
            ("CPU", _nothing, {"cpu_millicores": 17000}),
            ("label", _nothing, {"required_label": "ssd"}),
            (
                "anti-affinity",
                lambda worker, job: worker.add_run(
                    runs.Run(
                        job=job,
                        task=next(job.all_tasks()),
                        assigned_at_s=START_S,
                    )
                ),
                {"most_per_worker": 1},
            ),
            (
                "blocked image",
                lambda worker, _job: worker.blocked_images_until_s.update(
                    {LIGHT: START_S + 9}
                ),
                {"image": LIGHT},
            ),
            (
                "blocked for fillers",
                lambda worker, _job: setattr(
                    worker, "no_fillers_until_s", START_S + 9
                ),
                {"is_filler": True},
            ),
            (
                "unused CPU",
                lambda worker, _job: setattr(worker, "free_millicores", 3000),
                {"is_filler": True},
            ),
        ):
            self.check_obstacle(
                expected, change, reason="passed_over", **fields
            )

    def test_the_line_names_why_a_worker_is_not_usable(self):
        for expected, name, value in (
            ("never answered", "started_unix_ms", 0),
            ("silent", "answered_at_s", START_S - 9),
            ("on probation or refusing", "avoided_until_s", START_S + 9),
        ):
            self.check_obstacle(
                expected,
                lambda worker, _job: setattr(worker, name, value),
                reason="no_worker",
            )

    def test_a_cell_whose_workers_all_drain(self):
        async def _check(world):
            await anyio.sleep(3)
            for name in world.workers:
                world.drain_worker(name)
            with builders.record_events(job_events.JOB_IDLE) as lines:
                await world.submit_to(CELL, JOB, [STEP])
                await anyio.sleep(5)
            self.assertEqual({line["job"] for line in lines}, {JOB})
            self.assertEqual(lines[0]["reason"], "no_worker")
            self.assertEqual(lines[0]["obstacles"], {"the worker drains": 3})
            holder = world.hosts[world.holder_of(CELL)]
            samples = holder.counters.jobs_idle.collect()[0].samples
            self.assertEqual([s.value for s in samples if s.value], [1.0])
            world.kill_host(holder.name)
            await anyio.sleep(1)
            samples = holder.counters.jobs_idle.collect()[0].samples
            self.assertEqual(samples, [])

        builders.run_job_world(_check, zones=["a"])

    def test_a_waiting_task_that_is_not_queued(self):
        async def _check(cell, monitor, lines):
            job = builders.make_job(JOB)
            cell.add_job(job)
            task = next(job.all_tasks())
            task.assign(worker_id="w0", run=1)
            cell.update_waiting(job)
            task.release(tasks.Phase.WAITING)
            await self.pass_time(cell, monitor)
            self.assertEqual(lines[0]["reason"], "not_queued")
            self.assertEqual(lines[0]["queued_tasks"], 0)

        self.run_check(_check)


class AssignedTests(MonitorCase):
    def test_a_stop_that_is_not_answered(self):
        async def _refuse(*_args):
            await anyio.sleep(run_standins.CALL_TIMEOUT_S)
            raise errors.LinkClosedError("no answer")

        async def _check(world):
            await anyio.sleep(2)
            world.work_s[JOB] = 60.0
            await world.submit(JOB, [STEP])
            await anyio.sleep(2)
            holder = world.hosts[world.holder_of(CELL)]
            cell = holder._holders[CELL].cell
            worker = next(w for w in cell.fleet.values() if w.runs)
            run = next(iter(worker.runs.values()))
            with (
                builders.record_events(job_events.JOB_IDLE) as lines,
                mock.patch.object(run_standins.MemoryRunLink, "stop", _refuse),
            ):
                cell.stop_run(worker, run)
                await anyio.sleep(5)
            self.assertEqual(len(lines), 1)
            self.assertEqual(lines[0]["reason"], "assigned")
            (found,) = lines[0]["assigned"]
            self.assertEqual(found["task"], f"{JOB}.0.0.0")
            self.assertEqual((found["worker"], found["run"]), (worker.id, 1))
            self.assertEqual(found["found"], "worker")
            for name in ("answers", "is_listed", "was_sent", "is_stopping"):
                self.assertTrue(found[name], name)
            self.assertGreaterEqual(found["age_s"], 4.0)

        builders.run_job_world(_check, zones=["a"])

    def test_orphans_and_tasks_without_a_run(self):
        async def _check(cell, monitor, lines):
            job = builders.make_job(JOB, task_count=3)
            orphan, stray, waiting = job.all_tasks()
            orphan.assign(worker_id="w9", run=1)
            stray.assign(worker_id="w0", run=2)
            cell.orphans["w9"] = [
                runs.Run(job=job, task=orphan, assigned_at_s=START_S)
            ]
            cell.add_job(job)
            await self.pass_time(cell, monitor)
            self.assertEqual(lines[0]["reason"], "assigned")
            self.assertEqual(lines[0]["tasks"], {"assigned": 2, "waiting": 1})
            first, second = lines[0]["assigned"]
            self.assertEqual((first["found"], first["run"]), ("orphan", 1))
            self.assertNotIn("answers", first)
            self.assertEqual((second["found"], second["run"]), ("nowhere", 2))
            self.assertTrue(second["answers"])
            self.assertEqual(lines[0]["waiting_task"], job.task_name(waiting))

        self.run_check(_check)


class PendingWriteTests(MonitorCase):
    def test_an_assigned_task_waits_for_a_write(self):
        async def _check(cell, monitor, lines):
            job = builders.make_job(JOB)
            cell.add_job(job)
            self.assertEqual(self.place(cell), 1)
            cell.writer.schedule_write(job)
            await self.pass_time(cell, monitor)
            self.assertEqual(lines[0]["reason"], "pending_write")
            self.assertTrue(lines[0]["has_unwritten"])
            self.assertFalse(lines[0]["assigned"][0]["was_sent"])

        self.run_check(_check)

    def test_a_move_that_is_not_stored(self):
        async def _check(cell, monitor, lines):
            job = builders.make_job(JOB)
            cell.add_job(job)
            moving.move(cell, job, "shop@b")
            await self.pass_time(cell, monitor)
            self.assertEqual(lines[0]["reason"], "pending_write")
            self.assertEqual(lines[0]["moved_from"], CELL)
            self.assertEqual(lines[0]["moves"], 1)

        self.run_check(_check)


class BoundTests(MonitorCase):
    def test_the_number_of_lines_is_bounded(self):
        async def _check(cell, monitor, lines):
            for number in range(30):
                cell.add_job(builders.make_job(f"j{number}"))
            await self.pass_time(cell, monitor)
            self.assertEqual(len(lines), idle_jobs.MAX_LINES)
            self.assertEqual(
                lines[0]["jobs_left_out"], 30 - idle_jobs.MAX_LINES
            )
            self.assertEqual(self.gauge(cell, "passed_over"), 30)
            monitor.check()
            logged = [line["job"] for line in lines]
            self.assertEqual(len(set(logged)), 2 * idle_jobs.MAX_LINES)

        self.run_check(_check)

    def test_a_job_is_logged_at_most_once_in_a_period(self):
        async def _check(cell, monitor, lines):
            cell.add_job(builders.make_job(JOB))
            await self.pass_time(cell, monitor)
            await self.pass_time(cell, monitor, idle_jobs.LOG_PERIOD_S - 1)
            self.assertEqual(len(lines), 1)
            await self.pass_time(cell, monitor, 1.0)
            self.assertEqual(len(lines), 2)

        self.run_check(_check)

    def test_the_list_of_assigned_tasks_is_bounded(self):
        async def _check(cell, monitor, lines):
            job = builders.make_job(JOB, task_count=1000)
            for task in job.all_tasks():
                task.assign(worker_id="w0", run=1)
            cell.add_job(job)
            await self.pass_time(cell, monitor)
            listed = len(lines[0]["assigned"])
            self.assertEqual(listed, idle_jobs.MAX_LOGGED_TASKS)
            self.assertEqual(lines[0]["assigned_left_out"], 1000 - listed)
            self.assertLess(len(str(lines[0])), 2000)

        self.run_check(_check)

    def test_a_check_leaves_the_forecasts_of_workers_alone(self):
        async def _check(cell, monitor, lines):
            for worker in cell.fleet.values():
                builders.put_run(worker, builders.make_serving_job())
            cell.add_job(builders.make_job(JOB, is_filler=True))
            await self.pass_time(cell, monitor)
            self.assertEqual(len(lines), 1)
            for worker in cell.fleet.values():
                self.assertEqual(worker._projected_loads, {})
                self.assertEqual(worker._baseline_loads, {})

        self.run_check(_check)

    def test_a_job_is_reported_before_it_moves_on(self):
        self.assertLess(idle_jobs.IDLE_TIMEOUT_S, relocation.BUSY_WAIT_S)


class NothingToReportTests(MonitorCase):
    def test_a_running_job_gives_no_line(self):
        async def _check(world):
            await anyio.sleep(2)
            world.work_s[JOB] = 10.0
            with builders.record_events(job_events.JOB_IDLE) as lines:
                # Only some of its tasks fit at a time.
                await world.submit(
                    JOB, [specs.StepSpec(task_count=12, cpu_millicores=9000)]
                )
                await world.wait_for(JOB, jobs.JobState.COMPLETED)
            self.assertEqual(lines, [])

        builders.run_job_world(_check)

    def test_a_job_whose_tasks_are_lent_gives_no_line(self):
        async def _check(cell, monitor, lines):
            job = builders.make_serving_job(JOB)
            next(job.all_tasks()).phase = tasks.Phase.LENT
            cell.add_job(job)
            await self.pass_time(cell, monitor)
            self.assertEqual(lines, [])
            self.assertEqual(self.gauge(cell, "not_queued"), 0)

        self.run_check(_check)

    def test_a_job_that_runs_again_is_no_longer_counted(self):
        async def _check(cell, monitor, lines):
            job = builders.make_job(JOB)
            cell.add_job(job)
            await self.pass_time(cell, monitor)
            self.assertEqual(self.gauge(cell, "passed_over"), 1)
            builders.put_run(cell.fleet["w0"], job, now_s=anyio.current_time())
            monitor.check()
            self.assertEqual(self.gauge(cell, "passed_over"), 0)
            self.assertEqual(len(lines), 1)

        self.run_check(_check)

"""Builders of busy worlds of jobs that lose workers, and what they record."""

import random
import time
from unittest import mock

import anyio

from wisteriawood.jobs import specs
from wisteriawood.tests import builders

FOREVER_S = 100_000.0
WORKER_CORES = 64
# Time in which new workers answer their holder and hosts exchange loads.
SETTLING_S = 3.0
# Time in which waiting tasks get a worker that has room.
PLACING_S = 1.5
PLACING_TIMEOUT_S = 20.0
# Batch work, in seconds of all workers of its zone, that waits at first, and
# that is submitted each second later on. Both are more than the zone can do.
BACKLOG_S = 3.0
SUBMITTED_SHARE = 1.2
SUBMIT_INTERVAL_S = 0.5
MIXED_CORES = (2, 3, 4, 6, 8, 12, 16)
SMALL_CORES = (1, 1.5, 2, 3)
SHORTEST_BATCH_S = 1.0
LONGEST_BATCH_S = 2.5
# Batch tasks of one job.
BATCH_TASKS = 8
POLL_S = 0.02
# Wall time at which a world begins.
BEGAN_UNIX_S = 1_800_000_000.0


class BusyWorld:
    """A world of jobs with standing and batch work that loses workers.

    Args:
        world: The world.
        group: Task group that submits batch work.
        seed: Seed of the sizes of batch tasks.

    Attributes:
        batch_cores: CPU cores of each batch task, by job id.
        losses: Name, worker and time in seconds of each run of a standing
            task that was lost with its worker.
        standing_ids: Ids of the standing jobs.
    """

    __slots__ = (
        "_group",
        "_number",
        "_rng",
        "batch_cores",
        "losses",
        "standing_ids",
        "world",
    )

    def __init__(self, *, world, group, seed=1):
        self._group = group
        self._rng = random.Random(seed)
        self._number = 0
        self.world = world
        self.batch_cores = {}
        self.losses = []
        self.standing_ids = set()

    def _new_id(self):
        self._number += 1
        return f"{self._number:016x}"

    async def add_workers(self, zone, *names, cores=WORKER_CORES, **fields):
        """Add workers to a zone and wait until they are known."""
        for name in names:
            self.world.add_worker(
                name,
                zone,
                cpu_millicores=int(cores * 1000),
                **({"memory_mb": 256_000} | fields),
            )
        await anyio.sleep(SETTLING_S)

    async def add_standing(self, zone, cores, count=1, **fields):
        """Submit a standing job to a zone; return its id."""
        job_id = self._new_id()
        self.standing_ids.add(job_id)
        self.world.work_s[job_id] = FOREVER_S
        values = {
            "task_count": count,
            "cpu_millicores": int(cores * 1000),
            "memory_mb": 500,
            "is_standing": True,
        }
        await self.world.submit_to(
            f"shop@{zone}", job_id, [specs.StepSpec(**(values | fields))]
        )
        return job_id

    async def add_batch(self, zone, cores, count, work_s, **fields):
        """Submit a job of batch tasks to a zone; return its id."""
        job_id = self._new_id()
        self.batch_cores[job_id] = cores
        self.world.work_s[job_id] = work_s
        values = {
            "task_count": count,
            "cpu_millicores": int(cores * 1000),
            "memory_mb": 200,
            "expected_run_ms": int(work_s * 1000),
        }
        await self.world.submit_to(
            f"shop@{zone}", job_id, [specs.StepSpec(**(values | fields))]
        )
        return job_id

    async def keep_busy(self, *zones, sizes=MIXED_CORES):
        """Fill zones with batch tasks and queues that never empty.

        The tasks have any of the sizes, in CPU cores.
        """
        for zone in zones:
            await self._add_batch_s(zone, sizes, BACKLOG_S)
            self._group.start_soon(self._submit_batch, zone, sizes)
        await anyio.sleep(PLACING_S)

    async def _submit_batch(self, zone, sizes):
        while True:
            await anyio.sleep(SUBMIT_INTERVAL_S)
            zone_s = SUBMITTED_SHARE * SUBMIT_INTERVAL_S
            await self._add_batch_s(zone, sizes, zone_s)

    async def _add_batch_s(self, zone, sizes, zone_s):
        """Submit the batch work that a whole zone does in some seconds."""
        left = zone_s * self.capacity(zone)
        while left > 0:
            cores = self._rng.choice(sizes)
            work_s = self._rng.uniform(SHORTEST_BATCH_S, LONGEST_BATCH_S)
            await self.add_batch(zone, cores, BATCH_TASKS, work_s)
            left -= cores * work_s * BATCH_TASKS

    def capacity(self, zone):
        """Return the CPU cores of the live workers of a zone."""
        return sum(
            worker.registration.cpu_millicores / 1000
            for worker in self.world.workers.values()
            if worker.registration.zone == zone and not worker.is_dead
        )

    def is_standing(self, task_name):
        """Return whether a task is one of a standing job."""
        return task_name.partition(".")[0] in self.standing_ids

    def standing_on(self, *workers):
        """Return the names of the standing tasks that run on workers."""
        return [
            name
            for worker in workers
            for name in self.world.workers[worker].runs
            if self.is_standing(name)
        ]

    async def wait_for_standing(self, **counts):
        """Wait until workers run given numbers of standing tasks."""
        with anyio.fail_after(PLACING_TIMEOUT_S):
            while any(
                len(self.standing_on(worker)) != count
                for worker, count in counts.items()
            ):
                await anyio.sleep(POLL_S)

    def lose(self, *workers, is_refusing=True):
        """Lose workers for good and note their standing tasks."""
        now_s = anyio.current_time()
        for worker in workers:
            for name in self.standing_on(worker):
                self.losses.append((name, worker, now_s))
            self.world.lose_worker(worker, is_refusing=is_refusing)

    def gaps_s(self):
        """Return how long each lost task was away; None if it still is."""
        starts = self.world.starts()
        found = {}
        for name, worker, lost_at_s in self.losses:
            began_s = [at_s for _run, at_s, _on in starts[name]]
            later_s = [at_s for at_s in began_s if at_s > lost_at_s]
            gap_s = round(min(later_s) - lost_at_s, 2) if later_s else None
            found[name, worker] = gap_s
        return found

    async def wait_until_recorded(self, worker, cell="shop@a"):
        """Return how long the ends of a lost worker's runs stay unknown."""
        lost_at_s = next(at_s for _n, on, at_s in self.losses if on == worker)
        names = [n for n, on, _at_s in self.losses if on == worker]
        while True:
            known = self._cell(cell).fleet.get(worker)
            if known is None or not any(n in known.runs for n in names):
                return anyio.current_time() - lost_at_s
            await anyio.sleep(POLL_S)

    def _cell(self, name):
        holder = self.world.hosts[self.world.holder_of(name)]
        return holder._holders[name].cell

    def batch_core_s(self, zone, from_s, until_s):
        """Return the batch work of a zone that was done in a span of time.

        Each task counts with its whole work in the span in which it ends.
        """
        found = 0.0
        for worker in self.world.workers.values():
            if worker.registration.zone != zone:
                continue
            for name, _run, outcome, at_s in worker.ends:
                job_id = name.partition(".")[0]
                cores = self.batch_cores.get(job_id)
                if cores and outcome == "done" and from_s < at_s <= until_s:
                    found += cores * self.world.work_s[job_id]
        return found

    def longest_batch_pause_s(self, zone, from_s, until_s):
        """Return the longest time in which no batch task of a zone ended."""
        ends_s = [
            at_s
            for worker in self.world.workers.values()
            if worker.registration.zone == zone
            for name, _run, outcome, at_s in worker.ends
            if name.partition(".")[0] in self.batch_cores
            and outcome == "done"
            and from_s < at_s <= until_s
        ]
        times_s = [from_s, *sorted(ends_s), until_s]
        return max(
            later_s - at_s for at_s, later_s in zip(times_s, times_s[1:])
        )

    def overlaps(self):
        """Return the tasks of which two runs were active at a time."""
        spans = {}
        for worker in self.world.workers.values():
            ends_s = {(n, run): at_s for n, run, _o, at_s in worker.ends}
            for name, run, at_s in worker.starts:
                end_s = ends_s.get((name, run), float("inf"))
                spans.setdefault(name, []).append((at_s, end_s))
        return [
            name
            for name, found in spans.items()
            for (_began_s, end_s), (next_s, _end_s) in zip(
                sorted(found), sorted(found)[1:]
            )
            if next_s < end_s
        ]

    def done_twice(self):
        """Return the tasks that were done more than once."""
        return [
            name
            for name, ends in self.world.ends().items()
            if sum(outcome == "done" for _r, outcome, _at_s in ends) > 1
        ]


def run_busy_world(check, *, zones=("a", "b", "c"), hosts_per_zone=2, seed=1):
    """Run an async function on a new busy world without workers.

    The wall clock runs in virtual time too, as jobs are started by their age.
    """

    async def _main(world):
        with mock.patch.object(
            time, "time", lambda: BEGAN_UNIX_S + anyio.current_time()
        ):
            async with anyio.create_task_group() as group:
                await check(BusyWorld(world=world, group=group, seed=seed))
                group.cancel_scope.cancel()

    builders.run_job_world(
        _main,
        zones=list(zones),
        hosts_per_zone=hosts_per_zone,
        workers_per_zone=0,
    )

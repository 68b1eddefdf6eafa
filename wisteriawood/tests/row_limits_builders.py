"""Builders of jobs, rows and messages as large as the limits allow."""

import anyio

from wisteriawood.cells import claims
from wisteriawood.cells import former_holders
from wisteriawood.cells import lease_rows
from wisteriawood.jobs import jobs
from wisteriawood.jobs import queues
from wisteriawood.jobs import specs
from wisteriawood.links.codecs import bounds
from wisteriawood.platform import directory
from wisteriawood.standins import stores as store_standins

JOB = "0123456789abcdef"
# Tables and partitions have names of at most 200 bytes, and the key of a
# cell's row of leases contains that of its cell.
CELL = "s" * 150 + "@" + "z" * 40
STEP_COUNT = 200
# Largest number of a run of a task that is started ten times a second for
# three years, and of failures that count.
LAST_RUN = 999_999_999
MAX_FAILURES = 999_999


def make_worker_ids(count):
    """Return distinct ids as the hosts know workers with the longest ones."""
    return [
        directory.short_worker_id(f"{number:0{bounds.MAX_NAME_LENGTH}}")
        for number in range(count)
    ]


def make_checkpoints(count, length):
    """Return distinct checkpoints of a length."""
    return [f"{number:0{length}}" for number in range(count)]


def make_largest_job(*, checkpoint_length=0):
    """Return a job of all tasks and steps, each task on its own worker."""
    each = jobs.MAX_OPEN_TASKS // STEP_COUNT
    spec = specs.JobSpec(
        id=JOB,
        queue=queues.Queue(name="q", attempts=2),
        steps=[specs.StepSpec(task_count=each) for _ in range(STEP_COUNT)],
    )
    job = jobs.Job(spec=spec, cell=CELL, bucket="z")
    job.open_due_occurrences(0)
    job.ended_unix_ms = bounds.MAX_UNIX_MS
    found = list(job.all_tasks())
    for task, worker_id, checkpoint in zip(
        found,
        make_worker_ids(len(found)),
        make_checkpoints(len(found), checkpoint_length),
        strict=True,
    ):
        task.assign(worker_id=worker_id, run=LAST_RUN)
        task.failures = MAX_FAILURES
        if checkpoint_length:
            task.checkpoint = checkpoint
    return job


def make_largest_heartbeat(*, queue_count=0, rack_count=0):
    """Return a heartbeat of a host that holds a cell."""
    load = claims.CellLoad(
        pending={f"{n:0200}": n for n in range(queue_count)},
        racks=[f"{n:0200}" for n in range(rack_count)],
    )
    return claims.HostHeartbeat(
        zone="z", incarnation="i", count=1, cells={CELL: load}
    )


def make_largest_leases():
    """Return a row of leases with all that it may name."""
    names = [f"{JOB}.0.{n % STEP_COUNT}.{n}" for n in range(5000)]
    former = [
        lease_rows.FormerHoldRow(
            holder="h" * bounds.MAX_NAME_LENGTH,
            incarnation="i" * 32,
            version=bounds.MAX_NUMBER,
            lapses_in_s=former_holders.MAX_LEFT_S - 0.1,
        )
        for _number in range(100)
    ]
    return lease_rows.LeasesRow(
        number=bounds.MAX_NUMBER,
        taken_ms=float(bounds.MAX_UNIX_MS),
        withheld_s=dict.fromkeys(
            lease_rows.bound_withheld(make_worker_ids(5000)), 59.9
        ),
        former=lease_rows.bound_former(former),
        unanswered_s=dict.fromkeys(lease_rows.bound_unanswered(names), 59.9),
    )


async def run_large_job(world, *, checkpoint_length, task_count=1000):
    """Run a job with checkpoints; return its id once it is running."""
    for worker in world.workers.values():
        worker.checkpoint_of = lambda name: f"{name:0>{checkpoint_length}}"
    await anyio.sleep(2)
    world.work_s[JOB] = 3.0
    step = specs.StepSpec(
        task_count=task_count,
        cpu_millicores=10,
        is_checkpointing=True,
        expected_run_ms=3000,
    )
    await world.submit(JOB, [step])
    await world.wait_for(JOB, jobs.JobState.RUNNING)
    return JOB


def is_within_limits(change):
    """Return whether the store accepts a change."""
    return not store_standins._reason_to_reject(change)

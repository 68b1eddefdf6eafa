"""Builders of test data for standing tasks that are away."""

import errno
import math

import anyio

from wisteriawood.cells import away_tasks
from wisteriawood.cells import runs
from wisteriawood import errors
from wisteriawood.jobs import tasks
from wisteriawood.tests import builders

GAP_METRIC = "wisteriawood_standing_gap_seconds"
AWAY_METRIC = "wisteriawood_standing_tasks_away"


class FormerHolder:
    """A former holder whose leases lapse at a given time."""

    __slots__ = ("lapsed_at_s",)

    def __init__(self, *, lapsed_at_s=-math.inf):
        self.lapsed_at_s = lapsed_at_s


def make_monitor(cell, *, former_lapsed_at_s=-math.inf):
    """Return a monitor of a cell."""
    former = FormerHolder(lapsed_at_s=former_lapsed_at_s)
    return away_tasks.AwayTaskMonitor(cell=cell, former=former)


def make_standing_job(job_id="s", *, task_count=1, **fields):
    """Return a job of standing tasks without a tail-latency target."""
    return builders.make_job(
        job_id, is_standing=True, task_count=task_count, **fields
    )


def add_running_job(cell, worker, job_id="s", **fields):
    """Add a standing job whose only task runs on a worker; return it."""
    job = make_standing_job(job_id, **fields)
    cell.add_job(job)
    builders.put_run(worker, job, now_s=anyio.current_time())
    cell.update_waiting(job)
    return job


def run_of(worker, job):
    """Return the run of a job's only task on a worker."""
    (task,) = job.all_tasks()
    return worker.runs[job.task_name(task)]


def stop_task(cell, worker, job):
    """Record that the run of a job's only task was stopped; return it."""
    run = run_of(worker, job)
    cell.end_run(worker, run, tasks.Outcome.STOPPED)
    return run


def assign(cell, worker, job):
    """Assign the only task of a job to a worker; return the run."""
    (task,) = job.all_tasks()
    task.assign(worker_id=worker.id, run=task.run + 1)
    run = runs.Run(job=job, task=task, assigned_at_s=anyio.current_time())
    worker.add_run(run)
    cell.update_waiting(job)
    return run


def confirm(run):
    """Record that a worker has confirmed a run now."""
    run.was_sent = True
    run.mark_answered(anyio.current_time())
    run.confirm(anyio.current_time())


def grant_lease(worker):
    """Grant a lease to a worker from now."""
    worker.lease.record_clock(1000, anyio.current_time())
    worker.lease.grant(anyio.current_time())


def answer(worker):
    """Record an answer of a worker now."""
    worker.answered_at_s = anyio.current_time()


def gap_count(cell, cause):
    """Return how many absences the histogram has counted."""
    value = cell.counters.registry.get_sample_value(
        f"{GAP_METRIC}_count", {"cause": cause}
    )
    return int(value or 0)


def gap_sum_s(cell, cause):
    """Return the sum of the absences that the histogram has counted."""
    return cell.counters.registry.get_sample_value(
        f"{GAP_METRIC}_sum", {"cause": cause}
    )


def away_count(cell, phase):
    """Return the number of tasks of a cell that are away in a phase."""
    return cell.counters.registry.get_sample_value(
        AWAY_METRIC, {"cell": cell.name, "phase": phase}
    )


def make_reset_error():
    """Return the error of a call whose connection was reset."""
    reset = ConnectionResetError(errno.ECONNRESET, "reset by peer")
    group = ExceptionGroup("all attempts failed", [reset])
    return _raise_from(
        errors.LinkClosedError("no answer"),
        _raise_from(OSError("all attempts failed"), group),
    )


def _raise_from(exc, cause):
    exc.__cause__ = cause
    return exc

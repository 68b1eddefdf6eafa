"""Checks invariants against the attempts recorded by stand-in workers."""

from wisteriawood.contracts import keys
from wisteriawood.contracts import resources
from wisteriawood.contracts import tasks
from wisteriawood.links.codecs import rows

INFINITY = float("inf")


def _records(world):
    """Yield each worker with each of its records."""
    for worker in world.workers.values():
        for record in worker.records:
            yield worker, record


def _stopped_s(record):
    return record.stopped_s if record.end else INFINITY


def find_overlaps(world):
    """Return attempts of one task that ran at the same time."""
    found = []
    by_task = {}
    for worker, record in _records(world):
        by_task.setdefault(record.task, []).append((worker, record))
    for task_id, runs in by_task.items():
        runs.sort(key=lambda run: run[1].started_s)
        for (one, before), (other, after) in zip(runs, runs[1:]):
            if after.started_s < _stopped_s(before):
                found.append(
                    f"{task_id}: attempt {after.attempt} on {other.name} "
                    f"began at {after.started_s:.1f} while {before.attempt} "
                    f"on {one.name} ran until {_stopped_s(before):.1f}"
                )
            if after.attempt <= before.attempt:
                found.append(f"{task_id}: attempt {after.attempt} ran twice")
    return found


def find_overloads(world):
    """Return workers whose running attempts exceeded their capacity."""
    found = []
    for worker in world.workers.values():
        changes = []
        for record in worker.records:
            changes.append((record.started_s, 1, record))
            changes.append((_stopped_s(record), 0, record))
        used = resources.NOTHING
        for time_s, is_start, record in sorted(
            changes, key=lambda change: change[:2]
        ):
            if not is_start:
                used = used - record.needs
                continue
            used = used + record.needs
            if not used.fits(worker.capacity):
                found.append(f"{worker.name} at {time_s:.1f}: {used}")
    return found


def find_wrong_resumes(world):
    """Return attempts that ignored the checkpoint of the previous attempt.

    An attempt is checked only if a command stopped the previous one.
    """
    found = []
    by_task = {}
    for _worker, record in _records(world):
        by_task.setdefault(record.task, []).append(record)
    for task_id, records in by_task.items():
        records.sort(key=lambda record: record.attempt)
        for before, after in zip(records, records[1:]):
            expected = f"checkpoint/{task_id}/{before.attempt}"
            if before.is_told and after.resumed_from != expected:
                found.append(
                    f"{task_id}: attempt {after.attempt} resumed from "
                    f"{after.resumed_from!r}, not from {expected!r}"
                )
    return found


def find_row_errors(world, task_ids):
    """Return accepted tasks without exactly one row and a pointer to it."""
    found = []
    table = world.platform.table
    for task_id in task_ids:
        task_keys = [
            key
            for key in table
            if key.split("/")[0] in ("pending", "placed", "ended")
            and key.rsplit("/", 1)[1] == task_id
        ]
        pointer = table.get(keys.pointer(task_id))
        if len(task_keys) != 1 or pointer is None:
            found.append(f"{task_id}: rows {task_keys}")
        elif pointer.value["key"] != task_keys[0]:
            found.append(f"{task_id}: pointer to {pointer.value['key']}")
    return found


def find_runs_after_cancel(world, cancelled):
    """Return cancelled tasks that still run or that started too late.

    Args:
        world: World whose workers and table are checked.
        cancelled: Monotonic time of the accepted cancellation, by task id.
    """
    found = []
    for task_id, time_s in cancelled.items():
        for worker, record in _records(world):
            if record.task != task_id:
                continue
            if not record.end:
                found.append(f"{task_id} still runs on {worker.name}")
            # A start command sent before the cancellation may arrive up to
            # 10 s after it.
            if record.started_s > time_s + 10.0:
                found.append(f"{task_id} began at {record.started_s:.1f}")
    return found


def find_unfinished_tasks(world, task_ids):
    """Return tasks without an ended state in the table."""
    found = []
    for task_id in task_ids:
        row = world.platform.table.get(keys.ended(task_id))
        if row is None:
            found.append(f"{task_id} has not ended")
            continue
        state = rows.from_value(row.value, tasks.Task).state
        if state not in tasks.ENDED_STATES:
            found.append(f"{task_id}: {state}")
    return found


def find_runs_after_end(world, task_ids):
    """Return attempts after the last attempt of an ended task."""
    found = []
    for task_id in task_ids:
        row = world.platform.table.get(keys.ended(task_id))
        last = row.value["attempt"] if row else INFINITY
        for worker, record in _records(world):
            if record.task == task_id and record.attempt > last:
                found.append(f"{task_id}: attempt {record.attempt}")
    return found


def find_tasks_finished_twice(world):
    """Return ids of tasks with more than one finished attempt."""
    finished = [
        record.task
        for _worker, record in _records(world)
        if record.end == "finished"
    ]
    return sorted({name for name in finished if finished.count(name) > 1})


def find_all(world, *, task_ids, cancelled):
    """Return all violations of the invariants that apply to every world.

    Args:
        world: World whose workers and table are checked.
        task_ids: Ids of all accepted tasks.
        cancelled: Monotonic time of the accepted cancellation, by task id.
    """
    return [
        *find_overlaps(world),
        *find_overloads(world),
        *find_wrong_resumes(world),
        *find_row_errors(world, task_ids),
        *find_runs_after_cancel(world, cancelled),
        *find_runs_after_end(world, task_ids),
    ]

"""Load of a cell as its holder reports it to other hosts."""

import anyio

from wisteriawood.cells import capacity_requests
from wisteriawood.cells import cells
from wisteriawood.cells import claims
from wisteriawood.cells import former_holders
from wisteriawood.cells import placers
from wisteriawood.cells import tables
from wisteriawood.cells import worker_groups
from wisteriawood.jobs import specs
from wisteriawood.jobs import tasks

# Most starts without an answer, and most leases, that a heartbeat names.
MAX_UNANSWERED = 64


def _pending_by_queue(cell: cells.Cell) -> dict[str, int]:
    """Return the number of jobs of which no task has started, by queue.

    A job that has moved counts until the other cell has reported it.
    """
    counts: dict[str, int] = {}
    for job in cell.jobs.values():
        if job.is_pending():
            queue = job.spec.queue.name
            counts[queue] = counts.get(queue, 0) + 1
    for queue in cell.recently_moved_queues():
        counts[queue] = counts.get(queue, 0) + 1
    return counts


def _wanted_millicores(cell: cells.Cell) -> tuple[int, int]:
    """Return the CPU in millicores that waiting tasks request.

    Returns:
        Reserved CPU, and CPU of fillers.
    """
    reserved = fillers = 0
    for job, step_tasks in cell.waiting_steps():
        step = job.step_of(step_tasks[0])
        wanted = step.cpu_millicores * len(step_tasks)
        if step.is_filler:
            fillers += wanted
        else:
            reserved += wanted
    return reserved, fillers


def _filler_backlog(cell: cells.Cell) -> int:
    """Return the estimated work of fillers ahead of a new job.

    Jobs whose result has no value left are placed after a new job, so they
    don't count.

    Returns:
        Work in millicore-seconds.
    """
    now_s = anyio.current_time()
    return sum(
        specs.step_millicore_s(job.step_of(task))
        for job in cell.jobs.values()
        if not job.is_ended() and not placers.has_no_value(job, now_s)
        for task in job.all_tasks()
        if task.phase is not tasks.Phase.DONE and job.step_of(task).is_filler
    )


def _count_silent_workers(cell: cells.Cell) -> int:
    """Return how many workers with runs do not answer.

    Those of which the directory has no entry yet are among them.
    """
    return len(cell.orphans) + sum(
        bool(worker.runs) and not worker.is_answering
        for worker in cell.fleet.values()
    )


def _find_unanswered(cell: cells.Cell) -> list[str] | None:
    """Return the tasks whose starts may take effect late, if they are few."""
    now_s = anyio.current_time()
    found = [
        run.name
        for worker in cell.fleet.values()
        for run in worker.runs.values()
        if not run.is_answered or worker.late_start_until_s(run) > now_s
    ]
    return found if len(found) <= MAX_UNANSWERED else None


def _find_long_leases(cell: cells.Cell) -> dict[str, float] | None:
    """Return the leases that may outlast the term, if they are few."""
    now_s = anyio.current_time()
    found = {
        worker.id: former_holders.ceil_tenth(left_s)
        for worker in cell.fleet.values()
        if worker.runs and (left_s := worker.lease.beyond_term_s(now_s))
    }
    return found if len(found) <= MAX_UNANSWERED else None


def zone_of_racks(
    known: dict[str, claims.CellLoad], service: str, racks: set[str]
) -> str:
    """Return the zone with the most of some racks; empty if none has any.

    Args:
        known: Known loads of cells, by name.
        service: Service whose workers count.
        racks: Names of racks.
    """
    counts = {
        tables.zone_of_cell(cell): len(racks.intersection(load.racks))
        for cell, load in known.items()
        if tables.service_of_cell(cell) == service
    }
    found = [zone for zone in sorted(counts) if counts[zone]]
    return max(found, key=counts.__getitem__, default="")


def report(cell: cells.Cell) -> claims.CellLoad:
    """Return the load of a cell, as its holder's heartbeat reports it.

    Args:
        cell: The cell.
    """
    now_s = anyio.current_time()
    usable = [w for w in cell.fleet.values() if w.is_usable(now_s)]
    if cell.is_drained():
        # No other cell may count on any of its workers.
        usable = []
    reserved, fillers = _wanted_millicores(cell)
    reservations = cell.placer.reservations
    # Waiting tasks are counted above already.
    reserved += sum(
        entry.step.cpu_millicores
        for entry in reservations.entries
        if entry.task is None or entry.task.phase is not tasks.Phase.WAITING
    )
    unused = int(sum(w.unused_millicores() for w in usable))
    return claims.CellLoad(
        epoch=cell.claim.epoch,
        capacity_millicores=sum(w.capacity_millicores() for w in usable),
        free_millicores=sum(w.free_millicores for w in usable) - reserved,
        left_millicores=unused - fillers,
        backlog_millicore_s=_filler_backlog(cell),
        rate_millicores=cell.filler_meter.rate_millicores(),
        pending=_pending_by_queue(cell),
        waiting=cell.waiting_count(),
        workers=len(cell.fleet),
        racks=sorted(cell.racks()),
        free=worker_groups.summarize(
            reservations.open_group(w) for w in usable
        ),
        total=cell.total_capacity(),
        requested=capacity_requests.summarize(
            cell.placer.unplaceable.values()
        ),
        reserved=reservations.reserved_for_others(),
        silent_workers=_count_silent_workers(cell),
        as_of=cell.writer.newest_version,
        unanswered=_find_unanswered(cell),
        long_leases_s=_find_long_leases(cell),
    )

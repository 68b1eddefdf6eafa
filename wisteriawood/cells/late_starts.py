"""Starts that were not answered, and until when they may take effect.

A worker may carry out an order late, and so may the next instance of its
process, which has seen no token and takes the end of the lease for one on its
own clock. What was answered, or what an instance has ruled out by answering a
higher token, is not counted here.
"""

import typing

import anyio

from wisteriawood.cells import former_holders
from wisteriawood.cells import lease_rows
from wisteriawood.cells import leases

if typing.TYPE_CHECKING:
    from wisteriawood.cells import cells

# Time after which an order without an answer takes effect no more, in any
# instance of a worker's process.
LATE_ORDER_S = 12.0


def ends_at_s(sent_at_s: float, longest_lease_s: float) -> float:
    """Return until when a start without an answer may let a run go on.

    Args:
        sent_at_s: Monotonic time at which it was sent at the latest.
        longest_lease_s: Duration of the longest lease that workers accept.

    Returns:
        Monotonic time.
    """
    return sent_at_s + LATE_ORDER_S + leases.lapse_s(longest_lease_s)


def left_s(ends_s: dict[str, float]) -> dict[str, float]:
    """Return for how long runs may still go on.

    Args:
        ends_s: Monotonic times until which they may, by task.

    Returns:
        Durations by task, rounded up; the longest ones if they are many.
    """
    now_s = anyio.current_time()
    named = sorted(
        (item for item in ends_s.items() if item[1] > now_s),
        key=lambda item: -item[1],
    )
    return {
        task_name: former_holders.ceil_tenth(end_s - now_s)
        for task_name, end_s in named[: lease_rows.MAX_UNANSWERED]
    }


def left_in_cell_s(
    cell: "cells.Cell", former: former_holders.FormerHolder
) -> dict[str, float]:
    """Return for how long runs may go on whose starts were not answered.

    Args:
        cell: The cell.
        former: The former holders, which may have sent such starts as well.

    Returns:
        Durations by task, rounded up.
    """
    ends_s = {
        run.name: former.late_start_ends_s(run.name)
        for orphans in cell.orphans.values()
        for run in orphans
    }
    for worker in cell.fleet.values():
        for run in worker.runs.values():
            ends_s[run.name] = worker.late_start_ends_s(run)
    return left_s(ends_s)

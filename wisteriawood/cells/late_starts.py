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

if typing.TYPE_CHECKING:
    from wisteriawood.cells import cells

LATE_ORDER_S = former_holders.LATE_ORDER_S


def left_s(until_s: dict[str, float]) -> dict[str, float]:
    """Return for how long starts may still take effect.

    Args:
        until_s: Monotonic times until which they may, by task.

    Returns:
        Durations by task, rounded up; the longest ones if they are many.
    """
    now_s = anyio.current_time()
    named = sorted(
        (name for name, at_s in until_s.items() if at_s > now_s),
        key=lambda name: -until_s[name],
    )
    return {
        name: former_holders.ceil_tenth(until_s[name] - now_s)
        for name in lease_rows.bound_unanswered(named)
    }


def left_in_cell_s(
    cell: "cells.Cell", former: former_holders.FormerHolder
) -> dict[str, float]:
    """Return for how long starts without an answer may take effect.

    Args:
        cell: The cell.
        former: The former holders, which may have sent such starts as well.

    Returns:
        Durations by task, rounded up.
    """
    until_s = {
        run.name: former.late_start_until_s(run.name)
        for orphans in cell.orphans.values()
        for run in orphans
    }
    for worker in cell.fleet.values():
        for run in worker.runs.values():
            until_s[run.name] = worker.late_start_until_s(run)
    return left_s(until_s)

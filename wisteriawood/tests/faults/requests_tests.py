"""The request half of the fault matrix."""

import os
import unittest

import anyio

from wisteriawood.contracts import requests
from wisteriawood.tests.faults import request_faults
from wisteriawood.tests.faults import request_invariants
from wisteriawood.tests.faults import request_worlds

WARM_UP_S = 2.5
FAULT_S = 3.0
LONG_FAULT_S = 11.5
SETTLE_S = 4.0
# Every which cell of the matrix is played: each fault at some steps, each
# step under some faults. The runner of the matrix alone plays all.
STRIDE = 1 if os.environ.get("WISTERIAWOOD_FAULTS") == "all" else 4
CALLERS = 5
CALLERS_WHEN_QUEUED = 12
ANSWERS = (
    "target answers late, after the deadline",
    "target answers twice",
    "target answers out of order",
    "target answers half",
)
PAST = {step: "the target has answered" for step in ("recorded", "replied")}
IMPOSSIBLE = {
    ("caller gone", "replied"): "the caller has its answer",
    **{(fault, step): why for fault in ANSWERS for step, why in PAST.items()},
    **{
        (fault, "answered"): "the target has answered" for fault in ANSWERS[:1]
    },
}


async def play(world, fault, step):
    """Let a fault strike at a step of the probe, and undo it."""
    undo = []

    def _strike(reached):
        if reached == step:
            undo.append(request_faults.FAULTS.get(fault)(world))

    world.on_step = _strike
    world.uses_http = fault in ANSWERS
    await anyio.sleep(WARM_UP_S)
    is_long = fault in request_faults.LONG
    fault_s = LONG_FAULT_S if is_long else FAULT_S
    until_s = anyio.current_time() + fault_s + SETTLE_S
    callers = CALLERS_WHEN_QUEUED if step == "queued" else CALLERS
    async with anyio.create_task_group() as group:
        for number in range(callers):
            entry = request_worlds.ENTRIES[number % 2]
            group.start_soon(load, world, f"caller-{number}", entry, until_s)
        await anyio.sleep(0.5)
        group.start_soon(world.probe_until, until_s)
        await anyio.sleep(fault_s)
        for function in undo:
            function()
    return bool(undo)


async def load(world, caller, entry, until_s):
    await world.load(caller, entry, until_s=until_s)


def serves(world, entry):
    """Tell whether an entry host answered its newest request."""
    mine = [reply for reply in world.replies if reply.entry == entry]
    newest = [reply.outcome for reply in mine[-8:]]
    return requests.Outcome.RAN in newest


def show(line):
    """Print a line of the matrix where the whole of it is played."""
    if STRIDE == 1:
        print(line)


class RequestMatrixTests(unittest.TestCase):

    def check_fault(self, fault, step):
        why = IMPOSSIBLE.get((fault, step))
        if why:
            show(f"{fault} | {step} | can't occur: {why}")
            return

        async def _check(world):
            has_struck = await play(world, fault, step)
            self.assertTrue(has_struck, f"{step} not reached")
            self.assertEqual([], request_invariants.broken(world))
            self.assertTrue(serves(world, request_worlds.ENTRIES[1]))

        request_worlds.run(_check)
        show(f"{fault} | {step} | passed")

    def test_matrix(self):
        cells = [
            (fault, step)
            for fault in request_faults.FAULTS.names()
            for step in request_worlds.STEPS
        ]
        for fault, step in cells[::STRIDE]:
            with self.subTest(fault=fault, step=step):
                self.check_fault(fault, step)

"""The fault matrix of requests."""

import os
import unittest

import anyio

from wisteriawood.contracts import requests
from wisteriawood.tests.faults import request_faults
from wisteriawood.tests.faults import request_invariants
from wisteriawood.tests.faults import request_worlds

WARM_UP_S = 2.5
FAULT_DURATION_S = 3.0
LONG_FAULT_DURATION_S = 11.5
RECOVERY_S = 4.0
# One in STRIDE scenarios is run, so that each fault occurs at some steps and
# each step with some faults. `python -m wisteriawood.tests.faults` runs all.
STRIDE = 1 if os.environ.get("WISTERIAWOOD_FAULTS") == "all" else 4
CALLERS = 5
CALLERS_WHEN_QUEUED = 12
ANSWER_FAULTS = (
    "target answers late, after the deadline",
    "target answers twice",
    "target answers out of order",
    "target answers half",
)
# Steps at which a fault of the answer comes too late to have an effect.
TOO_LATE = {
    step: "the target has answered" for step in ("recorded", "replied")
}
# Reason why a fault can't occur at a step, by fault and step.
IMPOSSIBLE = {
    ("caller gone", "replied"): "the caller has its answer",
    **{
        (fault, step): reason
        for fault in ANSWER_FAULTS
        for step, reason in TOO_LATE.items()
    },
    # The other faults still change the answer at this step.
    **{
        (fault, "answered"): "the target has answered"
        for fault in ANSWER_FAULTS[:1]
    },
}


async def run_scenario(world, fault, step):
    """Inject a fault at a step of the probe and end it.

    Returns:
        Whether the step was reached and so the fault was injected.
    """
    undo_functions = []

    def _inject(reached):
        if reached == step:
            undo_functions.append(request_faults.FAULTS.get(fault)(world))

    world.on_step = _inject
    world.uses_http = fault in ANSWER_FAULTS
    await anyio.sleep(WARM_UP_S)
    is_long = fault in request_faults.LONG_FAULTS
    fault_s = LONG_FAULT_DURATION_S if is_long else FAULT_DURATION_S
    until_s = anyio.current_time() + fault_s + RECOVERY_S
    callers = CALLERS_WHEN_QUEUED if step == "queued" else CALLERS
    async with anyio.create_task_group() as group:
        for number in range(callers):
            entry = request_worlds.ENTRIES[number % 2]
            group.start_soon(load, world, f"caller-{number}", entry, until_s)
        await anyio.sleep(0.5)
        group.start_soon(world.probe_until, until_s)
        await anyio.sleep(fault_s)
        for function in undo_functions:
            function()
    return bool(undo_functions)


async def load(world, caller, entry, until_s):
    await world.load(caller, entry, until_s=until_s)


def is_serving(world, entry):
    """Return whether one of the last 8 requests of an entry host ran."""
    replies = [reply for reply in world.replies if reply.entry == entry]
    newest = [reply.outcome for reply in replies[-8:]]
    return requests.Outcome.RAN in newest


def print_result(line):
    """Print the result of a scenario when the complete matrix is run."""
    if STRIDE == 1:
        print(line)


class RequestMatrixTests(unittest.TestCase):

    def check_fault(self, fault, step):
        reason = IMPOSSIBLE.get((fault, step))
        if reason:
            print_result(f"{fault} | {step} | can't occur: {reason}")
            return

        async def _check(world):
            was_injected = await run_scenario(world, fault, step)
            self.assertTrue(was_injected, f"{step} not reached")
            self.assertEqual([], request_invariants.find_all(world))
            self.assertTrue(is_serving(world, request_worlds.ENTRIES[1]))

        request_worlds.run(_check)
        print_result(f"{fault} | {step} | passed")

    def test_matrix(self):
        scenarios = [
            (fault, step)
            for fault in request_faults.FAULTS.names()
            for step in request_worlds.STEPS
        ]
        for fault, step in scenarios[::STRIDE]:
            with self.subTest(fault=fault, step=step):
                self.check_fault(fault, step)

"""The fault matrix of tasks: each fault at each step, in virtual time."""

import os
import unittest

import anyio

from wisteriawood.contracts import holdings
from wisteriawood.links import jobs
from wisteriawood.tests import builders
from wisteriawood.tests.faults import task_faults
from wisteriawood.tests import invariants

STEP_TIMEOUT_S = 60.0
END_TIMEOUT_S = 1200.0
# `python -m wisteriawood.tests.faults` runs all scenarios; other test runs
# include one in STRIDE, always the same ones.
STRIDE = 6
IS_FULL = os.environ.get("WISTERIAWOOD_FAULTS") == "all"


def build(world):
    """Start two schedulers and two racks of two workers each."""
    capacity = builders.make_resources(
        cores=3.0, memory_bytes=3 * builders.GIB
    )
    for number in range(1, 5):
        world.add_worker(
            builders.make_worker_host(
                name=f"worker-{number}",
                rack=f"rack-{(number + 1) // 2}",
                capacity=capacity,
            )
        )
    for name in ("linz-a-1", "linz-a-2"):
        world.add_scheduler(builders.make_member(name=name))
        for number in range(1, 5):
            pair = (f"scheduler/{name}", f"worker-{number}:1")
            world.delays_s[pair] = task_faults.LINK_DELAY_S


async def run_scenario(world, fault, step, *, run_s=10.0):
    """Run one scenario and return the violations found.

    Args:
        world: A new world.
        fault: Name of the fault.
        step: Step of the task at which the fault is injected.
        run_s: Run time of the tasks in seconds.
    """
    build(world)
    if fault.startswith("entry host"):
        world.add_entry(builders.make_member(role=holdings.Role.ENTRY))
    scenario = task_faults.Scenario(world=world)
    world.start_soon(scenario.perform_actions)
    await anyio.sleep(3)
    specs = [
        builders.make_spec(id=name, run_s=run_s) for name in scenario.task_ids
    ]
    await jobs.submit(world.platform, specs, zone="linz-a")
    with anyio.move_on_after(STEP_TIMEOUT_S) as timeout:
        while not task_faults.STEPS.get(step)(scenario):
            await anyio.sleep(task_faults.POLL_S)
    if timeout.cancelled_caught:
        return [f"the step {step} was not reached"]
    await task_faults.FAULTS.get(fault)(scenario)
    with anyio.move_on_after(END_TIMEOUT_S):
        while invariants.find_unended(world, scenario.task_ids):
            await anyio.sleep(1)
    await anyio.sleep(20)
    repeats = invariants.find_repeats(world)
    return [
        *([] if scenario.may_finish_twice else repeats),
        *invariants.find_all(
            world, task_ids=scenario.task_ids, cancelled=scenario.cancelled
        ),
        *invariants.find_unended(world, scenario.task_ids),
    ]


class TaskFaultTests(unittest.TestCase):

    def _check_step(self, step):
        step_index = task_faults.STEPS.names().index(step)
        for fault_index, fault in enumerate(task_faults.FAULTS.names()):
            if not IS_FULL and (fault_index + step_index) % STRIDE:
                continue
            with self.subTest(step=step, fault=fault):
                found = []

                async def _check(world):
                    found.extend(await run_scenario(world, fault, step))

                builders.run_world(_check)
                self.assertEqual([], found)


def _add_test(step):
    def _test(self):
        self._check_step(step)

    name = "test_faults_when_" + step.replace("-", "_")
    setattr(TaskFaultTests, name, _test)


for _step in task_faults.STEPS.names():
    _add_test(_step)

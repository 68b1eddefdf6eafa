"""Room for standing tasks that one cell asks the others to keep."""

import collections
import math
import typing

import msgspec

from wisteriawood.cells import worker_groups
from wisteriawood.jobs import specs
from wisteriawood.links.codecs import bounds


class CapacityRequest(
    msgspec.Struct, kw_only=True, array_like=True, frozen=True
):
    """Standing tasks that need a worker elsewhere; encoded as a list.

    Attributes:
        tasks: Number of tasks.
        cpu_millicores: CPU of each task.
        memory_mb: Memory of each task.
        accelerators: Accelerators of each task.
        label: Label that a worker must have; empty for any worker.
        most_per_worker: Most tasks on one worker; 0 for any.
    """

    tasks: bounds.Amount
    cpu_millicores: bounds.Amount
    memory_mb: bounds.Amount
    accelerators: bounds.Amount = 0
    label: bounds.Name = ""
    most_per_worker: bounds.Amount = 0

    def step(self, task_count: int) -> specs.StepSpec:
        """Return a step that stands for some of the tasks.

        Args:
            task_count: Number of tasks.
        """
        return specs.StepSpec(
            task_count=task_count,
            cpu_millicores=self.cpu_millicores,
            memory_mb=self.memory_mb,
            accelerators=self.accelerators,
            required_label=self.label,
            most_per_worker=self.most_per_worker,
            is_standing=True,
        )


def summarize(steps: typing.Iterable[specs.StepSpec]) -> list[CapacityRequest]:
    """Return a short list of needs for tasks given one by one.

    It never asks for less than there is need of: amounts are only rounded
    up.

    Args:
        steps: Step of each task.
    """
    counts: collections.Counter[CapacityRequest] = collections.Counter(
        CapacityRequest(
            tasks=1,
            cpu_millicores=step.cpu_millicores,
            memory_mb=step.memory_mb,
            accelerators=step.accelerators,
            label=step.required_label,
            most_per_worker=step.most_per_worker,
        )
        for step in steps
    )
    for exponent in range(worker_groups.GRAIN_COUNT):
        if len(counts) <= worker_groups.MAX_GROUPS:
            break
        counts = _round_up(counts, 2**exponent)
    return [
        msgspec.structs.replace(need, tasks=count)
        for need, count in counts.most_common(worker_groups.MAX_GROUPS)
    ]


def _round_up(
    counts: collections.Counter[CapacityRequest], grain: int
) -> collections.Counter[CapacityRequest]:
    rounded: collections.Counter[CapacityRequest] = collections.Counter()
    cpu_grain = worker_groups.MIN_GRAIN_MILLICORES * grain
    memory_grain = worker_groups.MIN_GRAIN_MB * grain
    for need, count in counts.items():
        key = msgspec.structs.replace(
            need,
            cpu_millicores=math.ceil(need.cpu_millicores / cpu_grain)
            * cpu_grain,
            memory_mb=math.ceil(need.memory_mb / memory_grain) * memory_grain,
        )
        rounded[key] += count
    return rounded


def share_of(
    requests: typing.Iterable[CapacityRequest], cell_count: int
) -> list[specs.StepSpec]:
    """Return the part of some needs that one cell keeps room for.

    Args:
        requests: What a cell asks for.
        cell_count: Number of cells that it asks.
    """
    return [
        request.step(math.ceil(request.tasks / max(1, cell_count)))
        for request in requests
    ]

"""Capacity of a cell's workers, as its holder reports it to other cells.

Workers with the same labels and amounts form a group, so that a report stays
small in a cell of many workers.
"""

import typing

import msgspec

from wisteriawood.jobs import specs
from wisteriawood.links.codecs import bounds

# Most groups of a report. If there are more, amounts are rounded down until
# enough of them are equal.
MAX_GROUPS = 16
MIN_GRAIN_MILLICORES = 1000
MIN_GRAIN_MB = 4096
# The grains double up to 128 cores and 512 GiB.
GRAIN_COUNT = 8


class WorkerGroup(
    msgspec.Struct, kw_only=True, array_like=True, forbid_unknown_fields=True
):
    """Workers with the same labels and amounts; encoded as a list.

    Attributes:
        workers: Number of workers.
        cpu_millicores: CPU of each worker.
        memory_mb: Memory of each worker.
        accelerators: Accelerators of each worker.
        labels: Labels of the workers, without the one of their rack.
    """

    workers: bounds.Amount
    cpu_millicores: bounds.Amount
    memory_mb: bounds.Amount
    accelerators: bounds.Amount = 0
    labels: list[bounds.Name] = []

    def count_per_worker(self, step: specs.StepSpec) -> int:
        """Return how many tasks of a step fit on one worker of the group.

        Labels are not checked. Fillers reserve no CPU.

        Args:
            step: The step.
        """
        fitting = step.task_count
        if step.cpu_millicores and not step.is_filler:
            fitting = min(fitting, self.cpu_millicores // step.cpu_millicores)
        if step.memory_mb:
            fitting = min(fitting, self.memory_mb // step.memory_mb)
        if step.accelerators:
            fitting = min(fitting, self.accelerators // step.accelerators)
        if step.most_per_worker:
            fitting = min(fitting, step.most_per_worker)
        return fitting

    def _key(self) -> tuple:
        return (
            self.cpu_millicores,
            self.memory_mb,
            self.accelerators,
            tuple(self.labels),
        )

    def _rounded(self, cpu_millicores: int, memory_mb: int) -> "WorkerGroup":
        return WorkerGroup(
            workers=self.workers,
            cpu_millicores=self.cpu_millicores
            - self.cpu_millicores % cpu_millicores,
            memory_mb=self.memory_mb - self.memory_mb % memory_mb,
            accelerators=self.accelerators,
            labels=self.labels,
        )


def merge(groups: typing.Iterable[WorkerGroup]) -> list[WorkerGroup]:
    """Return one group for those that differ in nothing but their workers."""
    merged: dict[tuple, WorkerGroup] = {}
    for group in groups:
        known = merged.get(group._key())
        if known is None:
            merged[group._key()] = group
        else:
            known.workers += group.workers
    return list(merged.values())


def summarize(workers: typing.Iterable[WorkerGroup]) -> list[WorkerGroup]:
    """Return a short list of groups for workers given one by one.

    It never promises more than there is: amounts are only rounded down.

    Args:
        workers: A group of its own for each worker; may be changed.
    """
    groups = merge(workers)
    for exponent in range(GRAIN_COUNT):
        if len(groups) <= MAX_GROUPS:
            break
        grain = 2**exponent
        groups = merge(
            group._rounded(MIN_GRAIN_MILLICORES * grain, MIN_GRAIN_MB * grain)
            for group in groups
        )
    return groups


def count_fitting(
    groups: typing.Iterable[WorkerGroup],
    step: specs.StepSpec,
    racks: typing.Collection[str] = (),
) -> int:
    """Return how many tasks of a step fit on the workers of some groups.

    Args:
        groups: The groups.
        step: The step.
        racks: Racks of the workers; a label that names one of them counts as
            a label of each worker.
    """
    return sum(
        group.workers * group.count_per_worker(step)
        for group in _with_label(groups, step, racks)
    )


def reserve(
    groups: list[WorkerGroup],
    step: specs.StepSpec,
    task_count: int,
    racks: typing.Collection[str] = (),
) -> None:
    """Subtract what tasks will take, as far as they fit.

    Args:
        groups: The groups; changed in place.
        step: Step of the tasks.
        task_count: Number of the tasks.
        racks: Racks of the workers, as in `count_fitting`.
    """
    left = task_count
    for group in _with_label(groups, step, racks):
        each = group.count_per_worker(step)
        while each and left and group.workers:
            placed = min(each, left)
            left -= placed
            group.workers -= 1
            cpu_millicores = 0 if step.is_filler else step.cpu_millicores
            groups.append(
                WorkerGroup(
                    workers=1,
                    cpu_millicores=group.cpu_millicores
                    - placed * cpu_millicores,
                    memory_mb=group.memory_mb - placed * step.memory_mb,
                    accelerators=group.accelerators
                    - placed * step.accelerators,
                    labels=group.labels,
                )
            )


def _with_label(
    groups: typing.Iterable[WorkerGroup],
    step: specs.StepSpec,
    racks: typing.Collection[str],
) -> list[WorkerGroup]:
    label = step.required_label
    if label in racks:
        return list(groups)
    return [group for group in groups if label in ("", *group.labels)]

"""Requests of operators on tasks, as transactions on the table."""

import time

from wisteriawood.contracts import keys
from wisteriawood.contracts import tasks
from wisteriawood import errors
from wisteriawood.links.codecs import rows
from wisteriawood.links import overviews
from wisteriawood.links import platforms

MAX_FIND_ATTEMPTS = 5


async def submit(
    platform: platforms.Platform, specs: list[tasks.TaskSpec], *, zone: str
) -> None:
    """Submit tasks atomically.

    Args:
        platform: Link to the platform.
        specs: The tasks.
        zone: Availability zone whose schedulers manage the tasks.

    Raises:
        UsageError: An id is already in use.
        PlatformUnavailableError: Nothing was submitted.
    """
    ids = [spec.id for spec in specs]
    if len(set(ids)) < len(ids):
        raise errors.UsageError("two of the tasks have the same id")
    conditions = []
    writes = []
    for spec in specs:
        key = keys.pending(zone, spec.id)
        task = tasks.Task(spec=spec, zone=zone, submitted_unix_s=time.time())
        pointer = keys.pointer(spec.id)
        conditions.append(platforms.Condition(key=pointer, version=0))
        writes.append(platforms.Write(key=key, value=rows.to_value(task)))
        writes.append(
            platforms.Write(
                key=pointer, value=rows.to_value(tasks.TaskPointer(key=key))
            )
        )
    result = await platforms.commit_with_retry(
        platform, platforms.Transaction(conditions=conditions, writes=writes)
    )
    if not result.committed:
        taken = ", ".join(key.split("/", 1)[1] for key in result.conflicts)
        raise errors.UsageError(
            f"nothing was submitted: ids in use: {taken}; choose other ids"
        )


async def find(platform: platforms.Platform, task_id: str) -> tasks.Task:
    """Return the stored state of a task.

    Args:
        platform: Link to the platform.
        task_id: Id of the task.

    Raises:
        NotFoundError: There is no such task.
        PlatformUnavailableError: The table could not be read.
    """
    for _attempt in range(MAX_FIND_ATTEMPTS):
        pointer_row = await platform.read(keys.pointer(task_id))
        if pointer_row is None:
            break
        pointer = rows.from_value(pointer_row.value, tasks.TaskPointer)
        row = await platform.read(pointer.key)
        if row is not None:
            return rows.from_value(row.value, tasks.Task)
        # The task moved between the two reads.
    raise errors.NotFoundError(f"there is no task {task_id!r}")


async def find_labelled(
    platform: platforms.Platform, labels: dict[str, str]
) -> list[tasks.Task]:
    """Return the tasks that have not ended and have all given labels.

    Args:
        platform: Link to the platform.
        labels: Values of the labels by key.

    Raises:
        PlatformUnavailableError: The table could not be read.
    """
    return [
        task
        for task in await overviews.list_tasks(platform)
        if labels.items() <= task.spec.labels.items()
    ]


async def cancel(platform: platforms.Platform, task_ids: list[str]) -> None:
    """Request that tasks be cancelled, in one transaction.

    Args:
        platform: Link to the platform.
        task_ids: Ids of the tasks.

    Raises:
        NotFoundError: A task does not exist; none is cancelled.
        PlatformUnavailableError: Nothing was written.
    """
    writes = []
    for task_id in task_ids:
        task = await find(platform, task_id)
        if task.state not in tasks.ENDED_STATES:
            writes.append(
                platforms.Write(key=keys.cancel(task.zone, task_id), value={})
            )
    if writes:
        await platforms.commit_with_retry(
            platform, platforms.Transaction(writes=writes)
        )

"""Where the tasks of a submitted job are, as the rows in the store tell."""

from wisteriawood.cells import lending
from wisteriawood.cells import tables
from wisteriawood import errors
from wisteriawood.jobs import tasks
from wisteriawood.links.codecs import jobs as codec
from wisteriawood.links import stores


def step_name(task_name: str) -> str:
    """Return the name of the step of a task, in one occurrence.

    Args:
        task_name: Name of the task, as workers know it.
    """
    return task_name.rpartition(".")[0]


class TaskPlace:
    """A task and the cell that has it.

    Args:
        name: Name of the task, as workers know it.
        cell: Name of the cell.
        task: The task.
    """

    __slots__ = ("cell", "name", "task")

    def __init__(self, *, name: str, cell: str, task: tasks.Task):
        self.name = name
        self.cell = cell
        self.task = task

    def zone(self) -> str:
        """Return the availability zone of the cell."""
        return tables.zone_of_cell(self.cell)


class JobView:
    """The tasks of a submitted job in all cells, by name.

    Args:
        places: The tasks; lent ones are those of the cells that have them.
    """

    __slots__ = ("_places",)

    def __init__(self, *, places: list[TaskPlace]):
        self._places = places

    def tasks_of(self, name: str) -> list[TaskPlace]:
        """Return the tasks of a step.

        Args:
            name: Name of the step.
        """
        return [
            place for place in self._places if step_name(place.name) == name
        ]


async def read(store: stores.Store, submitted_id: str, bucket: str) -> JobView:
    """Read where the tasks of a job are, with one call.

    Args:
        store: The store.
        submitted_id: Id of the submitted job.
        bucket: Partition of its rows.

    Raises:
        PlatformError: The store can't be read.
        MessageError: A row can't be decoded, or that of the submitted job is
            not there.
    """
    page = await store.read(tables.JOBS, bucket, prefix=submitted_id)
    own: list[TaskPlace] = []
    lent: dict[str, TaskPlace] = {}
    prefix = lending.lent_prefix(submitted_id)
    for row in page.rows:
        cell, found = codec.tasks_from_bytes(row.value or b"")
        if row.at.key == submitted_id:
            own = [
                TaskPlace(
                    name=tasks.task_name(submitted_id, task),
                    cell=cell,
                    task=task,
                )
                for task in found
            ]
        elif row.at.key.startswith(prefix):
            name = f"{submitted_id}.{row.at.key.removeprefix(prefix)}"
            for task in found:
                lent[name] = TaskPlace(name=name, cell=cell, task=task)
    if not own:
        raise errors.MessageError(f"there is no progress of {submitted_id}")
    return JobView(
        places=[
            (
                lent.get(place.name, place)
                if place.task.phase is tasks.Phase.LENT
                else place
            )
            for place in own
        ]
    )

"""Encoding of jobs as rows of the store.

Tasks are encoded as short lists to keep rows small, since every change of a
job writes its whole row again. Workers and checkpoints are kept once each, in
a list of texts at the end of the row, as many tasks may share one.
"""

import dataclasses
import typing

import msgspec

from wisteriawood import errors
from wisteriawood.jobs import jobs
from wisteriawood.jobs import specs
from wisteriawood.jobs import tasks
from wisteriawood.links.codecs import bounds
from wisteriawood.links.codecs import rows

FORMAT = 2
# Rows in which each task has its texts itself; they are still read.
FORMAT_WITHOUT_TEXTS = 1


# Parts of a row with the progress of a job, in the format with the fewest.
MIN_PARTS = 7
# Most tasks of a row, with its steps or with its open occurrences.
MAX_TASKS = 10_000

# Phase, run, worker, failures and checkpoint; worker and checkpoint by their
# numbers in the list of texts.
_TaskRow = tuple[
    tasks.Phase, bounds.Number, bounds.Number, bounds.Number, bounds.Number
]
# The same with the texts.
_FormerTaskRow = tuple[
    tasks.Phase, bounds.Number, bounds.Name, bounds.Number, str
]
# Format, cell and specification.
_SpecRow = tuple[int, bounds.Name, specs.JobSpec]
# Format, cell, state, wall time of the end, next occurrence, number of
# occurrences done, the tasks of the open ones by occurrence and step, and the
# texts; 0 stands for a task that has not run. The first text is empty.
_ProgressRow = tuple[
    int,
    bounds.Name,
    jobs.JobState,
    bounds.UnixMs,
    bounds.Number,
    bounds.Number,
    dict[str, list[list[_TaskRow | int]]],
    list[str],
]
_FormerProgressRow = tuple[
    int,
    bounds.Name,
    jobs.JobState,
    bounds.UnixMs,
    bounds.Number,
    bounds.Number,
    dict[str, list[list[_FormerTaskRow | int]]],
]


@dataclasses.dataclass(slots=True, kw_only=True)
class _Progress:
    """Content of a row, whatever its format."""

    cell: str
    state: jobs.JobState
    ended_unix_ms: int
    next_occurrence: int
    occurrences_done: int
    occurrences: dict[str, list[list[_FormerTaskRow | int]]]


def spec_to_bytes(spec: specs.JobSpec, cell: str) -> bytes:
    """Encode the specification of a job as the value of a row.

    Args:
        spec: The specification.
        cell: Cell that runs the job.
    """
    return msgspec.json.encode([FORMAT, cell, spec])


def spec_from_bytes(data: bytes) -> tuple[str, specs.JobSpec]:
    """Return the cell and the specification of a job from its row.

    Raises:
        MessageError: The row can't be decoded.
    """
    _format, cell, spec = rows.from_json(data, _SpecRow)
    check_spec(spec)
    return cell, spec


def check_spec(spec: specs.JobSpec) -> None:
    """Check the specification of a job that another process wrote.

    Args:
        spec: The specification.

    Raises:
        MessageError: A number is out of bounds, a step follows one that is
            not before it, or there are too many tasks.
    """
    for record in (spec, spec.queue, *spec.steps):
        for field in dataclasses.fields(record):
            value = getattr(record, field.name)
            if isinstance(value, int | float) and not (
                0 <= value <= bounds.MAX_NUMBER
            ):
                raise errors.MessageError(f"{field.name} is out of bounds")
    for number, step in enumerate(spec.steps):
        if step.task_count < 1:
            raise errors.MessageError("a step has no task")
        if any(not 0 <= earlier < number for earlier in step.after):
            raise errors.MessageError("a step may only follow earlier steps")
    if not 0 < sum(step.task_count for step in spec.steps) <= MAX_TASKS:
        raise errors.MessageError(f"a job has 1 to {MAX_TASKS} tasks")


class _Texts:
    """Texts of a row, each of which is kept once."""

    __slots__ = ("_numbers",)

    def __init__(self) -> None:
        self._numbers = {"": 0}

    def number_of(self, text: str) -> int:
        """Return the number of a text, which is added if it is new."""
        return self._numbers.setdefault(text, len(self._numbers))

    def to_list(self) -> list[str]:
        """Return the texts by their numbers."""
        return list(self._numbers)


def _task_to_list(
    task: tasks.Task, texts: _Texts, left_out: typing.Collection[str]
) -> list | int:
    if task.run == 0 and task.phase is tasks.Phase.WAITING:
        return 0
    checkpoint = "" if task.checkpoint in left_out else task.checkpoint
    return [
        int(task.phase),
        task.run,
        texts.number_of(task.worker_id),
        task.failures,
        texts.number_of(checkpoint),
    ]


def job_to_bytes(
    job: jobs.Job, *, left_out: typing.Collection[str] = ()
) -> bytes:
    """Encode the progress of a job as the value of a row.

    Args:
        job: The job.
        left_out: Checkpoints that the row does not keep.
    """
    texts = _Texts()
    occurrences = {
        str(number): [
            [_task_to_list(task, texts, left_out) for task in step]
            for step in steps
        ]
        for number, steps in job.occurrences.items()
    }
    return msgspec.json.encode(
        [
            FORMAT,
            job.cell,
            job.state,
            job.ended_unix_ms,
            job.next_occurrence,
            job.occurrences_done,
            occurrences,
            texts.to_list(),
        ]
    )


def text_bytes(text: str) -> int:
    """Return the size of a text in the row of a job.

    Args:
        text: The text.
    """
    return len(msgspec.json.encode(text)) + 1


def placeholder_to_bytes(cell: str, state: jobs.JobState) -> bytes:
    """Encode the row of a job that has no specification and never runs.

    Args:
        cell: Cell that the job was meant for; empty if unknown.
        state: State that the row shows.
    """
    return msgspec.json.encode([FORMAT, cell, state, 0, 0, 0, {}, [""]])


def _read_progress(data: bytes) -> _Progress:
    """Return what a row contains.

    Raises:
        MessageError: The row can't be decoded.
    """
    if data.startswith(b"[%d," % FORMAT_WITHOUT_TEXTS):
        _format, *fields = rows.from_json(data, _FormerProgressRow)
        return _make_progress(*fields)
    _format, *fields, occurrences, texts = rows.from_json(data, _ProgressRow)
    try:
        found = {
            number: [
                [_with_texts(value, texts) for value in step] for step in steps
            ]
            for number, steps in occurrences.items()
        }
    except IndexError as exc:
        raise errors.MessageError("a task has an unknown text") from exc
    return _make_progress(*fields, found)


def _make_progress(
    cell: str,
    state: jobs.JobState,
    ended_unix_ms: int,
    next_occurrence: int,
    occurrences_done: int,
    occurrences: dict[str, list[list[_FormerTaskRow | int]]],
) -> _Progress:
    return _Progress(
        cell=cell,
        state=state,
        ended_unix_ms=ended_unix_ms,
        next_occurrence=next_occurrence,
        occurrences_done=occurrences_done,
        occurrences=occurrences,
    )


def _with_texts(
    value: _TaskRow | int, texts: list[str]
) -> _FormerTaskRow | int:
    if isinstance(value, int):
        return value
    phase, run, worker, failures, checkpoint = value
    return phase, run, texts[worker], failures, texts[checkpoint]


def _read_task(task: tasks.Task, value: _FormerTaskRow | int) -> None:
    if isinstance(value, int):
        return
    task.phase, task.run, task.worker_id, task.failures, task.checkpoint = (
        value
    )


def _has_started(task: tasks.Task) -> bool:
    """Return whether the progress of a task shows that it has started."""
    if task.phase in (tasks.Phase.DONE, tasks.Phase.LENT):
        return True
    return bool(task.failures or task.checkpoint)


def job_from_bytes(spec: specs.JobSpec, bucket: str, data: bytes) -> jobs.Job:
    """Return a job with the progress that its row contains.

    Args:
        spec: Specification of the job.
        bucket: Partition of the row.
        data: Value of the row.

    Raises:
        MessageError: The row can't be decoded.
    """
    found = _read_progress(data)
    if len(found.occurrences) > jobs.MAX_OPEN_OCCURRENCES:
        raise errors.MessageError("a job has too many open occurrences")
    job = jobs.Job(spec=spec, cell=found.cell, bucket=bucket)
    job.state = found.state
    job.ended_unix_ms = found.ended_unix_ms
    job.next_occurrence = found.next_occurrence
    job.occurrences_done = found.occurrences_done
    try:
        for number, steps in found.occurrences.items():
            job.open_occurrence(int(number))
            for step, values in zip(
                job.occurrences[int(number)], steps, strict=True
            ):
                for task, value in zip(step, values, strict=True):
                    _read_task(task, value)
    except ValueError as exc:
        # The progress has other steps or tasks than the specification.
        raise errors.MessageError(f"bad progress of a job: {exc}") from exc
    job.has_begun = job.has_begun or any(map(_has_started, job.all_tasks()))
    return job


def tasks_from_bytes(data: bytes) -> tuple[str, list[tasks.Task]]:
    """Return the cell and the open tasks of a job from its progress row.

    Raises:
        MessageError: The row can't be decoded.
    """
    progress = _read_progress(data)
    found = []
    for number, steps in progress.occurrences.items():
        if not number.isdecimal():
            raise errors.MessageError("bad number of an occurrence")
        for step, values in enumerate(steps):
            for index, value in enumerate(values):
                task = tasks.Task(
                    occurrence=int(number), step=step, index=index
                )
                _read_task(task, value)
                found.append(task)
    return progress.cell, found


def summary_from_bytes(data: bytes) -> tuple[str, jobs.JobState]:
    """Return the cell and the state of a job from its progress row.

    Raises:
        MessageError: The row can't be decoded.
    """
    parts = rows.from_json(data, list[msgspec.Raw])
    if len(parts) < MIN_PARTS:
        raise errors.MessageError("bad progress of a job: parts are missing")
    _format, cell, state, *_rest = parts
    return rows.from_json(cell, bounds.Name), rows.from_json(
        state, jobs.JobState
    )

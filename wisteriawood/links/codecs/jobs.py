"""Encoding of jobs as rows of the store.

Tasks are encoded as short lists to keep rows small, since every change of a
job writes its whole row again.
"""

import msgspec

from wisteriawood import errors
from wisteriawood.jobs import jobs
from wisteriawood.jobs import specs
from wisteriawood.jobs import tasks
from wisteriawood.links.codecs import bounds
from wisteriawood.links.codecs import rows

FORMAT = 1


class _TaskRow(msgspec.Struct, array_like=True):
    phase: tasks.Phase
    run: bounds.Number
    worker_id: bounds.Name
    failures: bounds.Number
    checkpoint: str


class _SpecRow(msgspec.Struct, array_like=True):
    format: int
    cell: bounds.Name
    spec: specs.JobSpec


class _SummaryRow(msgspec.Struct, array_like=True):
    """The first fields of a progress row."""

    format: int
    cell: bounds.Name
    state: jobs.JobState


class _ProgressRow(_SummaryRow, array_like=True):
    ended_unix_ms: bounds.UnixMs
    next_occurrence: bounds.Number
    occurrences_done: bounds.Number
    # Tasks by occurrence and step; 0 for one that has not run.
    occurrences: dict[str, list[list[_TaskRow | int]]]


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
    row = rows.from_json(data, _SpecRow)
    return row.cell, row.spec


def _task_to_list(task: tasks.Task) -> list | int:
    if task.run == 0 and task.phase is tasks.Phase.WAITING:
        return 0
    return [
        int(task.phase),
        task.run,
        task.worker_id,
        task.failures,
        task.checkpoint,
    ]


def job_to_bytes(job: jobs.Job) -> bytes:
    """Encode the progress of a job as the value of a row.

    Args:
        job: The job.
    """
    occurrences = {
        str(number): [[_task_to_list(task) for task in step] for step in steps]
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
        ]
    )


def _read_task(task: tasks.Task, value: _TaskRow | int) -> None:
    if isinstance(value, int):
        return
    task.phase = value.phase
    task.run = value.run
    task.worker_id = value.worker_id
    task.failures = value.failures
    task.checkpoint = value.checkpoint


def job_from_bytes(spec: specs.JobSpec, bucket: str, data: bytes) -> jobs.Job:
    """Return a job with the progress that its row contains.

    Args:
        spec: Specification of the job.
        bucket: Partition of the row.
        data: Value of the row.

    Raises:
        MessageError: The row can't be decoded.
    """
    row = rows.from_json(data, _ProgressRow)
    job = jobs.Job(spec=spec, cell=row.cell, bucket=bucket)
    job.state = row.state
    job.ended_unix_ms = row.ended_unix_ms
    job.next_occurrence = row.next_occurrence
    job.occurrences_done = row.occurrences_done
    try:
        for number, steps in row.occurrences.items():
            job.open_occurrence(int(number))
            for step, values in enumerate(steps):
                for task, value in zip(
                    job.occurrences[int(number)][step], values, strict=True
                ):
                    _read_task(task, value)
    except (ValueError, LookupError) as exc:
        # The progress has other steps or tasks than the specification.
        raise errors.MessageError(f"bad progress of a job: {exc}") from exc
    return job


def summary_from_bytes(data: bytes) -> tuple[str, jobs.JobState]:
    """Return the cell and the state of a job from its progress row.

    Raises:
        MessageError: The row can't be decoded.
    """
    row = rows.from_json(data, _SummaryRow)
    return row.cell, row.state

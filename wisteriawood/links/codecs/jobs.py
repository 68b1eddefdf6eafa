"""Encoding of jobs as rows of the store.

Tasks are encoded as short lists to keep rows small, since every change of a
job writes its whole row again.
"""

import typing

import msgspec

from wisteriawood import errors
from wisteriawood.jobs import jobs
from wisteriawood.jobs import specs
from wisteriawood.jobs import tasks

FORMAT = 1


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
    try:
        _format, cell, value = msgspec.json.decode(data)
        return cell, msgspec.convert(value, specs.JobSpec)
    except (msgspec.DecodeError, ValueError, TypeError) as exc:
        raise errors.MessageError(
            f"bad specification of a job: {exc}"
        ) from exc


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


def _read_task(task: tasks.Task, value: typing.Any) -> None:
    if value == 0:
        return
    phase, task.run, task.worker_id, task.failures, task.checkpoint = value
    task.phase = tasks.Phase(phase)


def job_from_bytes(spec: specs.JobSpec, bucket: str, data: bytes) -> jobs.Job:
    """Return a job with the progress that its row contains.

    Args:
        spec: Specification of the job.
        bucket: Partition of the row.
        data: Value of the row.

    Raises:
        MessageError: The row can't be decoded.
    """
    try:
        _format, cell, state, ended, next_occurrence, done, occurrences = (
            msgspec.json.decode(data)
        )
        job = jobs.Job(spec=spec, cell=cell, bucket=bucket)
        job.state = jobs.JobState(state)
        job.ended_unix_ms = ended
        job.next_occurrence = next_occurrence
        job.occurrences_done = done
        for number, steps in occurrences.items():
            job.open_occurrence(int(number))
            for step, values in enumerate(steps):
                for task, value in zip(
                    job.occurrences[int(number)][step], values, strict=True
                ):
                    _read_task(task, value)
    except (msgspec.DecodeError, ValueError, TypeError, LookupError) as exc:
        raise errors.MessageError(f"bad progress of a job: {exc}") from exc
    return job


def summary_from_bytes(data: bytes) -> tuple[str, jobs.JobState]:
    """Return the cell and the state of a job from its progress row.

    Raises:
        MessageError: The row can't be decoded.
    """
    try:
        _format, cell, state, *_rest = msgspec.json.decode(data)
        return cell, jobs.JobState(state)
    except (msgspec.DecodeError, ValueError, TypeError) as exc:
        raise errors.MessageError(f"bad progress of a job: {exc}") from exc

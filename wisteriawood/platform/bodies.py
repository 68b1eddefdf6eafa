"""Decoding of jobs in the bodies of callers' requests."""

import dataclasses

from wisteriawood import errors
from wisteriawood.jobs import jobs
from wisteriawood.jobs import queues
from wisteriawood.jobs import specs
from wisteriawood.links.codecs import bounds
from wisteriawood.links.codecs import jobs as codec
from wisteriawood.links.codecs import rows

MAX_STEPS = 100


@dataclasses.dataclass(slots=True, kw_only=True)
class _Step:
    count: bounds.Amount = 1
    # In millicores.
    cpu: bounds.Amount = 0
    mem_mb: bounds.Amount = 0
    gpus: bounds.Amount = 0
    est_runtime_ms: bounds.DurationMs = 0
    # Positions of earlier steps in the list, from 0.
    after: list[bounds.Amount] = dataclasses.field(default_factory=list)
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    # Label that the worker must have.
    constraints: bounds.Name = ""
    # Rack that stores the data.
    affinity: bounds.Name = ""
    # Most tasks of the step on one worker.
    anti_affinity: bounds.Amount = 0
    speculative: bool = False
    long_running: bool = False
    image: bounds.Name = ""
    target_ms: bounds.DurationMs = 0
    fills: bool = False
    # Most tasks that the scheduler may interrupt at the same time.
    may_miss: bounds.Amount = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class _Job:
    steps: list[_Step]
    task_spec: str = ""
    repeat_count: bounds.Amount = 0
    start_at_ms: bounds.UnixMs = 0
    interval_ms: bounds.Amount = 0


def decode_job(job_id: str, queue: queues.Queue, data: bytes) -> specs.JobSpec:
    """Return the job that the body of a request describes.

    Args:
        job_id: Id that the caller chose.
        queue: Queue that the job is submitted to.
        data: The body, in JSON.

    Raises:
        UsageError: The body is not a valid job; the message says why.
    """
    try:
        job = rows.from_json(data, _Job)
    except errors.MessageError as exc:
        raise errors.UsageError(f"the body is no job: {exc}") from exc
    if not 0 < len(job.steps) <= MAX_STEPS:
        raise errors.UsageError(f"give 1 to {MAX_STEPS} steps")
    if sum(step.count for step in job.steps) > jobs.MAX_OPEN_TASKS:
        raise errors.UsageError(
            f"give at most {jobs.MAX_OPEN_TASKS} tasks a job"
        )
    spec = specs.JobSpec(
        id=job_id,
        queue=queue,
        payload=job.task_spec,
        steps=[_decode_step(step) for step in job.steps],
        occurrence_count=job.repeat_count,
        first_due_unix_ms=job.start_at_ms,
        interval_ms=job.interval_ms,
    )
    try:
        codec.check_spec(spec)
    except errors.MessageError as exc:
        raise errors.UsageError(f"the body is no job: {exc}") from exc
    return spec


def _decode_step(step: _Step) -> specs.StepSpec:
    return specs.StepSpec(
        task_count=step.count,
        cpu_millicores=step.cpu,
        memory_mb=step.mem_mb,
        accelerators=step.gpus,
        expected_run_ms=int(step.est_runtime_ms),
        after=step.after,
        is_checkpointing=step.checkpointing,
        is_gang=step.gang,
        is_same_rack=step.same_rack,
        required_label=step.constraints,
        near_rack=step.affinity,
        most_per_worker=step.anti_affinity,
        is_speculative=step.speculative,
        is_standing=step.long_running,
        image=step.image,
        tail_target_ms=step.target_ms,
        is_filler=step.fills,
        most_missing=step.may_miss,
    )

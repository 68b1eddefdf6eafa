"""Progress of jobs: ended runs, waiting steps and remaining time."""

import typing

from wisteriawood.jobs import jobs
from wisteriawood.jobs import specs
from wisteriawood.jobs import tasks


def gang_of(job: jobs.Job, task: tasks.Task) -> list[tasks.Task]:
    """Return the tasks that must run together with a task.

    Args:
        job: The job.
        task: The task.

    Returns:
        All tasks of the step if it is a gang, else only the task.
    """
    if not job.step_of(task).is_gang:
        return [task]
    return job.occurrences[task.occurrence][task.step]


def end_run(
    job: jobs.Job,
    task: tasks.Task,
    outcome: tasks.Outcome,
    checkpoint: str,
) -> None:
    """Update a job after the newest run of a task has ended.

    Args:
        job: The job.
        task: The task.
        outcome: How the run ended.
        checkpoint: Last checkpoint of the run; empty for none.
    """
    if checkpoint:
        for member in gang_of(job, task):
            member.checkpoint = checkpoint
    if outcome is tasks.Outcome.FAILED:
        _count_failure(job, task)
    if outcome is tasks.Outcome.DONE and not job.step_of(task).is_standing:
        for member in gang_of(job, task):
            member.release(tasks.Phase.DONE)
        job.close_completed()
        return
    task.release(tasks.Phase.WAITING)


def _count_failure(job: jobs.Job, task: tasks.Task) -> None:
    task.failures += 1
    if job.step_of(task).is_standing:
        return
    failures = sum(member.failures for member in gang_of(job, task))
    if failures >= job.spec.queue.attempts:
        job.state = jobs.JobState.FAILED


def waiting_steps(job: jobs.Job) -> list[list[tasks.Task]]:
    """Return the tasks of a job that may be started, by step.

    A gang is included only when all of its tasks are waiting.

    Args:
        job: The job.
    """
    found = []
    for step in job.ready_steps():
        waiting = [t for t in step if t.phase is tasks.Phase.WAITING]
        if not waiting:
            continue
        if job.step_of(waiting[0]).is_gang and len(waiting) < len(step):
            continue
        found.append(waiting)
    return found


def next_run(group: typing.Sequence[tasks.Task]) -> int:
    """Return the number of the next run of tasks that start together.

    Args:
        group: The tasks.
    """
    return max(task.run for task in group) + 1


def remaining_s(job: jobs.Job) -> float:
    """Return the shortest time in seconds to complete the rest of a job.

    Steps with running but no waiting tasks count half of their run time.

    Args:
        job: The job.
    """
    longest_ms = 0.0
    for steps in job.occurrences.values():
        ends_ms: list[float] = []
        for number, step in enumerate(job.spec.steps):
            before_ms = max((ends_ms[i] for i in step.after), default=0.0)
            ends_ms.append(before_ms + _left_ms(step, steps[number]))
        longest_ms = max(longest_ms, *ends_ms)
    return longest_ms / 1000


def _left_ms(step: specs.StepSpec, step_tasks: list[tasks.Task]) -> float:
    phases = {task.phase for task in step_tasks}
    if phases <= {tasks.Phase.DONE}:
        return 0.0
    if tasks.Phase.WAITING in phases:
        return step.expected_run_ms
    return step.expected_run_ms / 2

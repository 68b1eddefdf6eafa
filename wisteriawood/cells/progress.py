"""What the end of a run means for its job."""

import typing

from wisteriawood.jobs import jobs
from wisteriawood.jobs import tasks


def gang_of(job: jobs.Job, task: tasks.Task) -> list[tasks.Task]:
    """Return the tasks that run together with a task.

    Args:
        job: The job.
        task: The task.

    Returns:
        The task alone unless its step is a gang.
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
    """Take the end of a task's newest run into its job.

    Args:
        job: The job.
        task: The task; its newest run has ended.
        outcome: How.
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
        job.close_done()
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

    A gang is listed once all of its members wait.

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
    """Return the number of the next run of tasks that share it.

    Args:
        group: The tasks.
    """
    return max(task.run for task in group) + 1

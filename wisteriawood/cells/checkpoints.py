"""Which checkpoints of tasks are kept, and which of them are stored.

A checkpoint saves repeated work. It must never keep the progress of its job
out of the store: one that is too long is not kept, and those for which the
row of a job has no room are left out of it. The holder still has them; they
are lost if it is replaced.
"""

from wisteriawood.jobs import jobs
from wisteriawood.jobs import tasks
from wisteriawood.links.codecs import jobs as codec

# Size of the longest checkpoint that is kept, as text of a row. The row of a
# lent task has one beside its specification.
MAX_CHECKPOINT_BYTES = 4096


def may_keep(checkpoint: str) -> bool:
    """Return whether a checkpoint is short enough to be kept.

    Args:
        checkpoint: The checkpoint, of any length.
    """
    if len(checkpoint) > MAX_CHECKPOINT_BYTES:
        return False
    return codec.text_bytes(checkpoint) <= MAX_CHECKPOINT_BYTES


def choose_left_out(job: jobs.Job, *, surplus_bytes: int) -> set[str]:
    """Return the checkpoints that the row of a job does not keep.

    Those of running tasks are left out first, since they are needed only if
    worker and holder are lost; then those that save least work. All tasks
    that share a checkpoint, such as those of a gang, keep or lose it together.

    Args:
        job: The job.
        surplus_bytes: Bytes by which the row with all of them is too large.
    """
    if surplus_bytes <= 0 and not job.is_refused:
        return set()
    costs: dict[str, tuple[bool, int]] = {}
    for task in job.all_tasks():
        if task.checkpoint:
            cost = (
                task.phase is not tasks.Phase.ASSIGNED,
                job.step_of(task).expected_run_ms,
            )
            costs[task.checkpoint] = max(
                cost, costs.get(task.checkpoint, cost)
            )
    if job.is_refused:
        return set(costs)
    left_out: set[str] = set()
    for checkpoint in sorted(costs, key=costs.__getitem__):
        if surplus_bytes <= 0:
            break
        left_out.add(checkpoint)
        surplus_bytes -= codec.text_bytes(checkpoint)
    return left_out

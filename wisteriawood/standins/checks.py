"""Invariants, checked on what callers, targets and workers recorded."""

import dataclasses

from wisteriawood.contracts import requests
from wisteriawood.contracts import resources
from wisteriawood.contracts import tasks
from wisteriawood.standins import loads
from wisteriawood.standins import targets
from wisteriawood.standins import workers


@dataclasses.dataclass(slots=True, kw_only=True)
class Verdict:
    """Whether one invariant held.

    Attributes:
        name: The invariant.
        checked: Things that were looked at.
        breaches: What broke it, in words.
    """

    name: str
    checked: int
    breaches: list[str] = dataclasses.field(default_factory=list)

    def holds(self) -> bool:
        """Tell whether it held for at least one thing checked."""
        return self.checked > 0 and not self.breaches


def check_slots(counts: list[targets.TargetCounts]) -> Verdict:
    """Check that no target was over its slots."""
    return Verdict(
        name="no target is over its slots",
        checked=sum(count.started for count in counts),
        breaches=[
            f"a target was {count.breaches} times over its slots"
            for count in counts
            if count.breaches
        ],
    )


def check_answers(seen: list[loads.Seen]) -> Verdict:
    """Check that each caller got the whole answer to its own request."""
    ran = [s for s in seen if s.outcome == requests.Outcome.RAN]
    return Verdict(
        name="each caller gets the whole answer to its own request",
        checked=len(ran),
        breaches=[
            f"request {s.request_id} got another answer"
            for s in ran
            if not s.is_own
        ],
    )


def check_not_run(
    seen: list[loads.Seen], counts: list[targets.TargetCounts]
) -> Verdict:
    """Check that what was said not to have run did not run."""
    runs = {found for count in counts for found in count.requests}
    not_run = [s for s in seen if s.outcome == requests.Outcome.NOT_RUN]
    return Verdict(
        name="what is said not to have run has not run",
        checked=len(seen),
        breaches=[
            f"request {s.request_id} ran"
            for s in not_run
            if s.request_id in runs
        ],
    )


def check_run_once(
    seen: list[loads.Seen], counts: list[targets.TargetCounts]
) -> Verdict:
    """Check that no run-once request ran twice."""
    runs: dict[str, int] = {}
    for count in counts:
        for key, number in count.keys.items():
            runs[key] = runs.get(key, 0) + number
    return Verdict(
        name="a run-once request runs at most once",
        checked=sum(1 for s in seen if s.key),
        breaches=[
            f"key {key} ran {number} times"
            for key, number in runs.items()
            if number > 1
        ],
    )


def check_single_run(records: list[workers.RunRecord]) -> Verdict:
    """Check that no task ran in two places at once."""
    by_task: dict[str, list[workers.RunRecord]] = {}
    for record in records:
        by_task.setdefault(record.task, []).append(record)
    breaches = []
    for task, found in by_task.items():
        found.sort(key=lambda record: record.started_s)
        for one, other in zip(found, found[1:], strict=False):
            if not one.stopped_s or one.stopped_s > other.started_s:
                breaches.append(f"task {task} ran twice at once")
    return Verdict(
        name="no task runs in two places at once",
        checked=len(records),
        breaches=breaches,
    )


def check_capacity(
    records: dict[str, list[workers.RunRecord]],
    specs: dict[str, tasks.TaskSpec],
    capacity: resources.Resources,
) -> Verdict:
    """Check that no worker held more than it can.

    Args:
        records: Records by worker.
        specs: Tasks by id.
        capacity: What each worker offers.
    """
    breaches = []
    for worker, found in records.items():
        changes = []
        for record in found:
            needs = specs[record.task].needs
            changes.append((record.started_s, 1, needs))
            if record.stopped_s:
                changes.append((record.stopped_s, 0, needs))
        held = resources.NOTHING
        for _at_s, is_start, needs in sorted(changes, key=lambda c: c[:2]):
            held = held + needs if is_start else held - needs
            if not held.fits(capacity):
                breaches.append(f"worker {worker} was over its capacity")
                break
    return Verdict(
        name="no worker holds more than it can",
        checked=len(records),
        breaches=breaches,
    )


def check_finished(found: list[tasks.Task]) -> Verdict:
    """Check that each batch job finished."""
    return Verdict(
        name="each accepted batch job finishes",
        checked=len(found),
        breaches=[
            f"task {task.spec.id} is {task.state}: {task.reason}"
            for task in found
            if task.state != tasks.TaskState.FINISHED
        ],
    )


def check_shutdown(unclean: list[str], checked: int) -> Verdict:
    """Check that each daemon ended by itself when it was told to."""
    return Verdict(
        name="each daemon drains and ends by itself",
        checked=checked,
        breaches=[f"{name} did not" for name in unclean],
    )

"""Checks of invariants against the records of callers and stand-ins."""

import dataclasses

from wisteriawood.contracts import requests
from wisteriawood.contracts import resources
from wisteriawood.contracts import tasks
from wisteriawood.standins import loads
from wisteriawood.standins import targets
from wisteriawood.standins import workers


@dataclasses.dataclass(slots=True, kw_only=True)
class CheckResult:
    """Result of the check of one invariant.

    Attributes:
        name: Description of the invariant.
        checked: Number of items that were checked.
        breaches: Descriptions of the breaches that were found.
    """

    name: str
    checked: int
    breaches: list[str] = dataclasses.field(default_factory=list)

    def holds(self) -> bool:
        """Return whether items were checked and none broke the invariant."""
        return self.checked > 0 and not self.breaches


def check_slots(counts: list[targets.TargetCounts]) -> CheckResult:
    """Check that no target had more requests in flight than slots."""
    return CheckResult(
        name="no target has more requests than slots",
        checked=sum(count.started for count in counts),
        breaches=[
            f"a target exceeded its slots {count.breaches} times"
            for count in counts
            if count.breaches
        ],
    )


def check_answers(sent: list[loads.RequestRecord]) -> CheckResult:
    """Check that each answer is complete and answers its own request."""
    ran = [s for s in sent if s.outcome == requests.Outcome.RAN]
    return CheckResult(
        name="each caller gets the whole answer to its own request",
        checked=len(ran),
        breaches=[
            f"request {s.request_id} got another answer"
            for s in ran
            if not s.is_echo
        ],
    )


def check_not_run(
    sent: list[loads.RequestRecord], counts: list[targets.TargetCounts]
) -> CheckResult:
    """Check that no request with the outcome not-run reached a target."""
    runs = {found for count in counts for found in count.requests}
    not_run = [s for s in sent if s.outcome == requests.Outcome.NOT_RUN]
    return CheckResult(
        name="no request reported as not run has run",
        checked=len(sent),
        breaches=[
            f"request {s.request_id} ran"
            for s in not_run
            if s.request_id in runs
        ],
    )


def check_run_once(
    sent: list[loads.RequestRecord], counts: list[targets.TargetCounts]
) -> CheckResult:
    """Check that no run-once request ran more than once."""
    runs: dict[str, int] = {}
    for count in counts:
        for key, number in count.keys.items():
            runs[key] = runs.get(key, 0) + number
    return CheckResult(
        name="a run-once request runs at most once",
        checked=sum(1 for s in sent if s.key),
        breaches=[
            f"key {key} ran {number} times"
            for key, number in runs.items()
            if number > 1
        ],
    )


def check_single_run(records: list[workers.RunRecord]) -> CheckResult:
    """Check that no two attempts of a task ran at the same time."""
    by_task: dict[str, list[workers.RunRecord]] = {}
    for record in records:
        by_task.setdefault(record.task, []).append(record)
    breaches = []
    for task, found in by_task.items():
        found.sort(key=lambda record: record.started_s)
        for one, other in zip(found, found[1:], strict=False):
            if not one.stopped_s or one.stopped_s > other.started_s:
                breaches.append(f"task {task} ran twice at once")
    return CheckResult(
        name="no task runs in two places at once",
        checked=len(records),
        breaches=breaches,
    )


def check_capacity(
    records: dict[str, list[workers.RunRecord]],
    specs: dict[str, tasks.TaskSpec],
    capacity: resources.Resources,
) -> CheckResult:
    """Check that the tasks of no worker exceeded its capacity.

    Args:
        records: Records of attempts, by worker.
        specs: Specifications of the tasks, by id.
        capacity: Capacity of each worker.
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
                breaches.append(f"worker {worker} exceeded its capacity")
                break
    return CheckResult(
        name="no worker exceeds its capacity",
        checked=len(records),
        breaches=breaches,
    )


def check_finished(found: list[tasks.Task]) -> CheckResult:
    """Check that each batch job finished."""
    return CheckResult(
        name="each accepted batch job finishes",
        checked=len(found),
        breaches=[
            f"task {task.spec.id} is {task.state}: {task.reason}"
            for task in found
            if task.state != tasks.TaskState.FINISHED
        ],
    )


def check_shutdown(unclean: list[str], checked: int) -> CheckResult:
    """Check that each daemon exited cleanly after SIGTERM.

    Args:
        unclean: Names of the daemons that did not.
        checked: Number of daemons that were stopped.
    """
    return CheckResult(
        name="each daemon drains and ends by itself",
        checked=checked,
        breaches=[f"{name} did not exit cleanly" for name in unclean],
    )

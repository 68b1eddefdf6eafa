"""Checks invariants against the requests recorded by targets and callers."""

from wisteriawood.contracts import requests

LEAVING_GRACE_S = 3.0


def find_slot_breaches(world):
    """Return targets that received more requests than they have slots."""
    return [
        f"{target.name} received {target.counts.breaches} requests "
        "beyond its slots"
        for target in world.targets.values()
        if target.counts.breaches
    ]


def find_wrong_answers(world):
    """Return requests with an incomplete answer or that of another one."""
    return [
        f"{reply.request_id} got {reply.body!r}"
        for reply in world.replies
        if reply.outcome == requests.Outcome.RAN
        and reply.body != reply.sent_body
    ]


def find_false_not_run(world):
    """Return requests that ran although they were reported as not run."""
    ran = {run.request_id for target in _targets(world) for run in target.runs}
    return [
        f"{reply.request_id} ran, though the caller received not-run"
        for reply in world.replies
        if reply.outcome == requests.Outcome.NOT_RUN
        and reply.request_id in ran
    ]


def find_repeated_runs(world):
    """Return run-once requests that ran more than once."""
    runs = {}
    for target in _targets(world):
        for run in target.runs:
            if run.key:
                runs[run.key] = runs.get(run.key, 0) + 1
    return [f"{key} ran {n} times" for key, n in runs.items() if n > 1]


def find_requests_to_leaving(world):
    """Return requests sent to targets that had long been leaving.

    Requests within LEAVING_GRACE_S of the change in the host list are allowed.
    """
    return [
        f"{run.target} got {run.request_id} "
        f"{run.started_s - world.leaving_since_s[run.target]:.1f} s "
        "after it was marked as leaving"
        for target in _targets(world)
        for run in target.runs
        if run.target in world.leaving_since_s
        and run.started_s > world.leaving_since_s[run.target] + LEAVING_GRACE_S
    ]


def find_interrupted_by_drain(world):
    """Return requests in flight that a drain interrupted."""
    return [
        f"{reply.request_id} was {reply.outcome} at the drained {reply.entry}"
        for reply in world.replies
        if reply.sent_s < world.drained_at_s.get(reply.entry, 0.0)
        and reply.ended_s > world.drained_at_s[reply.entry]
        and reply.outcome != requests.Outcome.RAN
    ]


def _targets(world):
    return world.targets.values()


ALL = (
    find_slot_breaches,
    find_wrong_answers,
    find_false_not_run,
    find_repeated_runs,
    find_requests_to_leaving,
    find_interrupted_by_drain,
)


def find_all(world):
    """Return all violations of the request invariants."""
    return [found for invariant in ALL for found in invariant(world)]

"""Invariants of requests, from what targets and callers saw alone."""

from wisteriawood.contracts import requests

LEAVING_S = 3.0


def slots_kept(world):
    """No target is ever given more than its slots."""
    return [
        f"{target.name} found {target.counts.breaches} requests over its slots"
        for target in world.targets.values()
        if target.counts.breaches
    ]


def own_answers(world):
    """Each caller gets the whole answer to its own request."""
    return [
        f"{reply.request_id} got {reply.body!r}"
        for reply in world.replies
        if reply.outcome == requests.Outcome.RAN
        and reply.body != reply.sent_body
    ]


def not_run_is_true(world):
    """What was said not to be run was not run."""
    ran = {run.request_id for target in _targets(world) for run in target.runs}
    return [
        f"{reply.request_id} ran, though the caller was told not-run"
        for reply in world.replies
        if reply.outcome == requests.Outcome.NOT_RUN
        and reply.request_id in ran
    ]


def once_at_most(world):
    """A run-once request runs at most once."""
    runs = {}
    for target in _targets(world):
        for run in target.runs:
            if run.key:
                runs[run.key] = runs.get(run.key, 0) + 1
    return [f"{key} ran {n} times" for key, n in runs.items() if n > 1]


def leaving_left_alone(world):
    """A leaving target gets nothing new after a few seconds."""
    return [
        f"{run.target} got {run.request_id} "
        f"{run.started_s - world.left_s[run.target]:.1f} s after it was known"
        for target in _targets(world)
        for run in target.runs
        if run.target in world.left_s
        and run.started_s > world.left_s[run.target] + LEAVING_S
    ]


def drain_cuts_nothing(world):
    """A graceful shutdown cuts off no request in flight."""
    return [
        f"{reply.request_id} was {reply.outcome} at the drained {reply.entry}"
        for reply in world.replies
        if reply.sent_s < world.closed.get(reply.entry, 0.0)
        and reply.ended_s > world.closed[reply.entry]
        and reply.outcome != requests.Outcome.RAN
    ]


def _targets(world):
    return world.targets.values()


ALL = (
    slots_kept,
    own_answers,
    not_run_is_true,
    once_at_most,
    leaving_left_alone,
    drain_cuts_nothing,
)


def broken(world):
    """Return what each invariant found wrong."""
    return [found for invariant in ALL for found in invariant(world)]

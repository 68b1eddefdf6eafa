"""Checks that each mechanism is needed: without it, an invariant fails.

Each test runs one fault twice: with all mechanisms, where no breach may be
found, and with one mechanism disabled, where the expected breach must be
found.
"""

import contextlib
import dataclasses
import math
import unittest
from unittest import mock

import anyio

from wisteriawood import errors
from wisteriawood.links import platforms
from wisteriawood.links import workers as worker_links
from wisteriawood.machines import cancellations
from wisteriawood.machines import leases
from wisteriawood.machines import monitors
from wisteriawood.machines import schedulers
from wisteriawood.machines import transitions
from wisteriawood.machines import workers
from wisteriawood.tests import builders
from wisteriawood.tests.faults import tasks_tests
from wisteriawood.zones import claims


def run(fault, step, *, patch=None, run_s=60.0):
    """Run a scenario of the fault matrix and return the breaches found.

    Args:
        fault: Name of the fault.
        step: Step of the task at which the fault is injected.
        patch: Context manager that disables a mechanism, if any.
        run_s: Run time of the tasks in seconds.
    """
    found = []

    async def _check(world):
        found.extend(
            await tasks_tests.run_scenario(world, fault, step, run_s=run_s)
        )

    with patch or contextlib.nullcontext():
        builders.run_world(_check)
    return found


def _start_without_time_limit(**fields):
    fields["not_after_s"] = math.inf
    return _ORIGINAL_START_COMMAND(**fields)


_ORIGINAL_START_COMMAND = worker_links.StartCommand


def _has_confirmed_term(scheduler, _rack):
    return scheduler.membership.holds_term()


async def _assign_without_commit(_scheduler, rack, worker, placement):
    placement.task = dataclasses.replace(
        placement.task,
        state="assigned",
        attempt=placement.task.attempt + 1,
        rack=rack.holding.rack,
        worker=worker.name,
    )
    placement.is_committed = True


async def _commit_without_settling(platform, transaction):
    try:
        return await platform.commit(transaction)
    except errors.TransactionUnknownError as exc:
        raise errors.PlatformUnavailableError(str(exc)) from exc


_ORIGINAL_COMMIT_CLAIM = claims.commit


async def _claim_without_waiting(platform, own, claim):
    rack = await _ORIGINAL_COMMIT_CLAIM(platform, own, claim)
    if rack is not None:
        rack.former_leases_until_s = anyio.current_time()
    return rack


def _claim_unconditionally(watcher, name, row):
    claim = _ORIGINAL_FIND_CLAIM(watcher, name, row)
    if claim is not None:
        claim.conditions.clear()
    return claim


_ORIGINAL_FIND_CLAIM = claims.find_claim
_ORIGINAL_ADD = workers.Worker.add


def _add_without_counting(worker, placement):
    free = worker.free
    added = _ORIGINAL_ADD(worker, placement)
    if placement.is_adopted:
        worker.free = free
        placement.allocated = worker.free - worker.free
    return added


@contextlib.contextmanager
def _adopted_tasks_not_counted():
    with (
        mock.patch.object(workers.Worker, "add", _add_without_counting),
        mock.patch.object(monitors.Monitor, "observe"),
    ):
        yield


_ORIGINAL_RECORD = transitions.record


def _record_without_checkpoint(*args, **fields):
    fields.pop("checkpoint", None)
    _ORIGINAL_RECORD(*args, **fields)


def _mark_and_delete_requests(canceller, found):
    for row in found:
        task_id = row.key.rsplit("/", 1)[1]
        canceller._scheduler.commits.submit(
            conditions=[], writes=[platforms.Write(key=row.key)]
        )
        for rack in canceller._scheduler.racks.values():
            for worker in rack.workers.values():
                worker.request_cancel(task_id)
    return []


class ProofTests(unittest.TestCase):

    def _check(self, fault, step, patch, *, run_s=60.0, breach):
        self.assertEqual([], run(fault, step, run_s=run_s))
        found = run(fault, step, patch=patch, run_s=run_s)
        self.assertIn(breach, " ".join(found))

    def test_start_commands_expire(self):
        self._check(
            "commands delayed past a takeover",
            "assigned",
            mock.patch.object(
                worker_links, "StartCommand", _start_without_time_limit
            ),
            breach="while",
        )

    def test_tasks_move_only_once_their_lease_expired(self):
        self._check(
            "worker cut off 40 s",
            "running",
            mock.patch.object(leases, "is_expired", lambda *_args: True),
            breach="while",
        )

    def test_successor_waits_for_leases_of_the_cut_off_holder(self):
        self._check(
            "scheduler cut from the platform, successor from the worker",
            "running",
            mock.patch.object(claims, "commit", _claim_without_waiting),
            run_s=120.0,
            breach="while",
        )

    def test_racks_are_verified_after_the_term_was_interrupted(self):
        self._check(
            "scheduler cut off 30 s, then far from the platform",
            "assigned",
            mock.patch.object(
                schedulers.Scheduler, "has_authority", _has_confirmed_term
            ),
            breach="attempt 1 ran twice",
        )

    def test_assignments_are_written_before_the_start(self):
        self._check(
            "entry host killed",
            "submitted",
            mock.patch.object(transitions, "assign", _assign_without_commit),
            breach="ran twice",
        )

    def test_adopted_tasks_count_against_their_worker(self):
        self._check(
            "scheduler killed while more is submitted",
            "running",
            _adopted_tasks_not_counted(),
            breach="Resources",
        )

    def test_checkpoints_are_named_in_the_row(self):
        self._check(
            "entry host killed",
            "evicted",
            mock.patch.object(
                transitions, "record", _record_without_checkpoint
            ),
            breach="resumed from",
        )

    def test_cancels_stay_until_the_end_is_committed(self):
        self._check(
            "cancelled and scheduler killed",
            "running",
            mock.patch.object(
                cancellations.Canceller,
                "_cancel_placed",
                _mark_and_delete_requests,
            ),
            run_s=2000.0,
            breach="still runs",
        )

    def test_lost_acknowledgements_are_settled(self):
        self._check(
            "20 acknowledgements lost",
            "submitted",
            mock.patch.object(
                platforms, "commit_with_retry", _commit_without_settling
            ),
            run_s=10.0,
            breach="has not ended",
        )

"""Checks that each request invariant depends on its mechanism.

Each scenario runs twice: the invariant must fail with the mechanism
disabled, and hold with it enabled.
"""

import contextlib
import unittest
from unittest import mock

import anyio

from wisteriawood import errors
from wisteriawood.links import targets as target_links
from wisteriawood.machines import dispatchers
from wisteriawood.machines import entry_hosts
from wisteriawood.machines import grantors
from wisteriawood.machines import racks
from wisteriawood.machines import run_once
from wisteriawood.machines import slot_clients
from wisteriawood.machines import slot_ledgers
from wisteriawood.machines import targets
from wisteriawood.tests.faults import request_invariants
from wisteriawood.tests.faults import request_worlds
from wisteriawood.tests.faults import requests_tests

LOAD_DURATION_S = 85.0


def _release_at_once(target, *, is_done, until_s):
    target.in_flight -= 1


async def _dispatch_without_claim(_run_once, request, dispatch):
    return await dispatch(request)


def _always_not_run(_attempts, exc):
    return errors.RequestNotRunError(reason=str(exc))


def _accept_any_answer(_link, request, response, body):
    response.headers[target_links.REQUEST_ID_HEADER] = request.id
    return _ORIGINAL_TO_ANSWER(_link, request, response, body)


_ORIGINAL_TO_ANSWER = target_links.HttpTarget._to_answer


def _ignore_leaving(rack, host):
    _ORIGINAL_UPDATE_TARGET(rack, _without_leaving(host))


def _without_leaving(host):
    host.leaving = False
    return host


_ORIGINAL_UPDATE_TARGET = racks.Rack.update_target


async def _skip_wait(*_args):
    return True


class ProofTests(unittest.TestCase):

    def check_proof(self, invariant, scenario, *mechanisms):
        """Run a scenario with mechanisms disabled, then enabled."""
        found = []

        async def _check(world):
            await scenario(world)
            found.append(invariant(world))

        with contextlib.ExitStack() as stack:
            for owner, name, substitute in mechanisms:
                stack.enter_context(mock.patch.object(owner, name, substitute))
            request_worlds.run(_check)
        request_worlds.run(_check)
        disabled, enabled = found
        self.assertNotEqual(
            [], disabled, "the invariant holds with the mechanism disabled"
        )
        self.assertEqual([], enabled)

    def check_fault(self, invariant, fault, step, *mechanisms):
        async def _scenario(world):
            await requests_tests.run_scenario(world, fault, step)

        self.check_proof(invariant, _scenario, *mechanisms)

    def test_slot_of_late_target_stays_quarantined(self):
        self.check_fault(
            request_invariants.find_slot_breaches,
            "target answers late, after the deadline",
            "sent",
            (targets.Target, "release_slot", _release_at_once),
        )

    def test_new_grantor_waits_for_all_slot_reports(self):
        self.check_fault(
            request_invariants.find_slot_breaches,
            "two: grantor killed, entry host cut from its successor",
            "queued",
            (slot_ledgers.SlotLedger, "is_complete", lambda ledger: True),
        )

    def test_grantor_with_interrupted_term_reclaims_no_slots(self):
        async def _scenario(world):
            await anyio.sleep(2.5)
            grantor = world.grantor_process().name
            for name in world.schedulers:
                if f"scheduler/{name}" != grantor:
                    world.processes[f"scheduler/{name}"].kill()
            entry = f"entry/{request_worlds.ENTRIES[0]}"
            world.cut(entry, grantor)
            world.cut(grantor, "platform")
            until_s = anyio.current_time() + LOAD_DURATION_S
            async with anyio.create_task_group() as group:
                for number in range(12):
                    name = request_worlds.ENTRIES[number % 2]
                    group.start_soon(
                        requests_tests.load,
                        world,
                        f"caller-{number}",
                        name,
                        until_s,
                    )
                await anyio.sleep(9.0)
                world.mend(grantor, "platform")

        self.check_proof(
            request_invariants.find_slot_breaches,
            _scenario,
            (
                grantors.Grantor,
                "_may_reclaim_slots",
                lambda grantor, holder, now_s: (
                    now_s - holder.updated_s > grantors.RECLAIM_SLOTS_AFTER_S
                ),
            ),
        )

    def test_answer_to_another_request_is_rejected(self):
        self.check_fault(
            request_invariants.find_wrong_answers,
            "target answers out of order",
            "sent",
            (target_links.HttpTarget, "_to_answer", _accept_any_answer),
        )

    def test_request_that_ran_is_not_reported_as_not_run(self):
        self.check_fault(
            request_invariants.find_false_not_run,
            "target answers half",
            "sent",
            (dispatchers.FailedAttempts, "outcome", _always_not_run),
        )

    def test_request_with_repeated_key_runs_once(self):
        self.check_fault(
            request_invariants.find_repeated_runs,
            "target answers half",
            "sent",
            (run_once.RunOnce, "serve", _dispatch_without_claim),
        )

    def test_leaving_target_gets_no_new_requests(self):
        self.check_fault(
            request_invariants.find_requests_to_leaving,
            "target leaving",
            "sent",
            (racks.Rack, "update_target", _ignore_leaving),
        )

    def test_drain_interrupts_no_requests(self):
        self.check_fault(
            request_invariants.find_interrupted_by_drain,
            "entry host drained",
            "half answered",
            (entry_hosts.EntryHost, "_finish_requests", _skip_wait),
            (slot_clients.SlotClient, "release", _skip_wait),
        )

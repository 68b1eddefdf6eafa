"""Each invariant fails with its mechanism off and holds with it on."""

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
from wisteriawood.machines import slot_books
from wisteriawood.machines import slot_clients
from wisteriawood.machines import targets
from wisteriawood.tests.faults import request_invariants
from wisteriawood.tests.faults import request_worlds
from wisteriawood.tests.faults import requests_tests

LONG_S = 85.0


def _release_at_once(target, *, is_done, until_s):
    target.in_flight -= 1


async def _run_again(_run_once, request, dispatch):
    return await dispatch(request)


def _claim_not_run(_attempts, exc):
    return errors.RequestNotRunError(reason=str(exc))


def _take_any_answer(_link, request, response, body):
    response.headers[target_links.REQUEST_ID_HEADER] = request.id
    return _ORIGINAL_TO_ANSWER(_link, request, response, body)


_ORIGINAL_TO_ANSWER = target_links.HttpTarget._to_answer


def _ignore_leaving(rack, host):
    _ORIGINAL_UPDATE_TARGET(rack, _without_leaving(host))


def _without_leaving(host):
    host.leaving = False
    return host


_ORIGINAL_UPDATE_TARGET = racks.Rack.see_target


async def _wait_for_nothing(*_args):
    return True


class ProofTests(unittest.TestCase):

    def check_proof(self, invariant, scenario, *mechanisms):
        """Play a scenario with mechanisms off, then on."""
        found = []

        async def _check(world):
            await scenario(world)
            found.append(invariant(world))

        with contextlib.ExitStack() as stack:
            for owner, name, instead in mechanisms:
                stack.enter_context(mock.patch.object(owner, name, instead))
            request_worlds.run(_check)
        request_worlds.run(_check)
        off, on = found
        self.assertNotEqual([], off, "holds with the mechanism off")
        self.assertEqual([], on)

    def check_cell(self, invariant, fault, step, *mechanisms):
        async def _scenario(world):
            await requests_tests.play(world, fault, step)

        self.check_proof(invariant, _scenario, *mechanisms)

    def test_late_target_keeps_its_slots(self):
        self.check_cell(
            request_invariants.slots_kept,
            "target answers late, after the deadline",
            "sent",
            (targets.Target, "give_back", _release_at_once),
        )

    def test_successor_counts_the_unanswered(self):
        self.check_cell(
            request_invariants.slots_kept,
            "two: grantor killed, entry host cut from its successor",
            "queued",
            (slot_books.SlotBook, "is_counted", lambda book: True),
        )

    def test_broken_term_takes_nothing_back(self):
        async def _scenario(world):
            await anyio.sleep(2.5)
            grantor = world.grantor_process().name
            for name in world.schedulers:
                if f"scheduler/{name}" != grantor:
                    world.processes[f"scheduler/{name}"].kill()
            entry = f"entry/{request_worlds.ENTRIES[0]}"
            world.cut(entry, grantor)
            world.cut(grantor, "platform")
            until_s = anyio.current_time() + LONG_S
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
            request_invariants.slots_kept,
            _scenario,
            (
                grantors.Grantor,
                "_may_take_back",
                lambda grantor, holder, now_s: (
                    now_s - holder.updated_s > grantors.TAKE_BACK_S
                ),
            ),
        )

    def test_answers_of_others_reach_nobody(self):
        self.check_cell(
            request_invariants.own_answers,
            "target answers out of order",
            "sent",
            (target_links.HttpTarget, "_to_answer", _take_any_answer),
        )

    def test_not_run_is_said_of_none_that_ran(self):
        self.check_cell(
            request_invariants.not_run_is_true,
            "target answers half",
            "sent",
            (dispatchers.FailedAttempts, "outcome", _claim_not_run),
        )

    def test_repeated_key_runs_once(self):
        self.check_cell(
            request_invariants.once_at_most,
            "target answers half",
            "sent",
            (run_once.RunOnce, "serve", _run_again),
        )

    def test_leaving_target_gets_nothing_new(self):
        self.check_cell(
            request_invariants.leaving_left_alone,
            "target leaving",
            "sent",
            (racks.Rack, "see_target", _ignore_leaving),
        )

    def test_drain_cuts_nothing(self):
        self.check_cell(
            request_invariants.drain_cuts_nothing,
            "entry host drained",
            "half answered",
            (entry_hosts.EntryHost, "_finish_requests", _wait_for_nothing),
            (slot_clients.SlotClient, "release", _wait_for_nothing),
        )

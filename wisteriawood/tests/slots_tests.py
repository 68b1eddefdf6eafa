"""Tests of slot grants: shares by demand, terms and takeovers."""

import unittest

import anyio

from wisteriawood.contracts import holdings
from wisteriawood.contracts import terms
from wisteriawood.machines import shares
from wisteriawood.tests import builders

NAMES = ("linz-a-1", "linz-a-2")


async def _build_zone(world, *, service_s=0.5):
    world.add_target(builders.make_target_host(), service_s=service_s)
    for name in NAMES:
        world.add_scheduler(builders.make_member(name=name))
        world.add_entry(
            builders.make_member(name=name, role=holdings.Role.ENTRY)
        )
    await anyio.sleep(5)


def _slots_by_host(world):
    return [
        sum(t.holding().slots for t in world.entries[name].targets.values())
        for name in NAMES
    ]


class SharesTests(unittest.TestCase):

    def test_parts_sum_to_the_whole(self):
        for number in range(200):
            parts = shares.divide(
                target=f"target-{number}",
                slots=8,
                demand={"a": 3.7, "b": 0.0, "c": number / 7},
            )
            self.assertEqual(8, sum(parts.values()))
            self.assertGreaterEqual(min(parts.values()), 0)


class TermTests(unittest.TestCase):

    def test_late_confirmation_breaks_the_term(self):
        term = terms.Term(duration_s=6.0)
        term.confirm(sent_at_s=0.0, confirmed_at_s=0.1)
        term.confirm(sent_at_s=5.0, confirmed_at_s=8.0)
        self.assertTrue(term.is_held(now_s=10.0))
        self.assertEqual(8.0, term.unbroken_since_s())


class SlotsTests(unittest.TestCase):

    def test_slots_follow_demand(self):
        async def _check(world):
            await _build_zone(world)
            self.assertEqual(8, sum(_slots_by_host(world)))
            async with anyio.create_task_group() as group:
                for number in range(60):
                    request = builders.make_request(
                        id=str(number),
                        deadline_s=anyio.current_time() + 30.0,
                    )
                    group.start_soon(world.entries[NAMES[0]].serve, request)
                await anyio.sleep(2.5)
                self.assertGreaterEqual(_slots_by_host(world)[0], 7)
            self.assertEqual(0, world.targets["target-1:1"].counts.breaches)

        builders.run_world(_check)

    def test_isolated_entry_host_releases_slots_within_the_term(self):
        async def _check(world):
            await _build_zone(world)
            for name in NAMES:
                world.cut(f"entry/{NAMES[0]}", f"scheduler/{name}")
            world.cut(f"entry/{NAMES[0]}", "platform")
            await anyio.sleep(terms.SLOT_TERM_S)
            self.assertEqual(0, _slots_by_host(world)[0])
            await anyio.sleep(65)
            self.assertEqual(8, _slots_by_host(world)[1])

        builders.run_world(_check)

    def test_slots_stay_usable_without_grantors_until_the_horizon(self):
        async def _check(world):
            await _build_zone(world)
            world.platform.faults.down = True
            for name in NAMES:
                world.processes[f"scheduler/{name}"].kill()
            await anyio.sleep(600)
            self.assertEqual(8, sum(_slots_by_host(world)))
            await anyio.sleep(310)
            self.assertEqual(0, sum(_slots_by_host(world)))

        builders.run_world(_check)

    def test_successor_proves_a_killed_entry_host_dead(self):
        async def _check(world):
            await _build_zone(world)
            (grantor,) = [
                name for name in NAMES if world.schedulers[name].racks
            ]
            world.processes[f"scheduler/{grantor}"].kill()
            world.processes[f"entry/{NAMES[0]}"].kill()
            await anyio.sleep(85)
            self.assertEqual(8, _slots_by_host(world)[1])

        builders.run_world(_check)

    def test_successor_waits_for_an_entry_host_cut_from_it(self):
        async def _check(world):
            await _build_zone(world)
            (grantor,) = [
                name for name in NAMES if world.schedulers[name].racks
            ]
            (successor,) = set(NAMES) - {grantor}
            world.processes[f"scheduler/{grantor}"].kill()
            world.cut(f"entry/{NAMES[0]}", f"scheduler/{successor}")
            await anyio.sleep(200)
            self.assertEqual([4, 4], _slots_by_host(world))

        builders.run_world(_check)

"""Tests of the faults and links of the soak, without real processes."""

import pathlib
import random
import unittest

import anyio

from wisteriawood.soak import worlds
from wisteriawood.tests import soak_builders


class RecutTests(unittest.TestCase):
    def test_zones_without_living_workers_are_left_alone(self):
        """Guards against a soak that an error of its own fault ends."""

        async def _main():
            world = worlds.SoakWorld(
                seed=1, folder=pathlib.Path(), load_s=1.0, has_lives=True
            )
            for zone in world.zones():
                worker = soak_builders.make_worker(world.checker, f"w-{zone}")
                worker.registration.zone = zone
                worker.crash()
            await world.inject("recut-workers", random.Random(1))
            self.assertTrue(all(w.is_dead for w in world.workers.values()))

        anyio.run(_main)

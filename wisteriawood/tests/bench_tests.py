"""Tests of the registry of benchmarks and of the quick measurements."""

import unittest

import anyio

from wisteriawood import bench
from wisteriawood.bench import base
from wisteriawood.bench import slots
from wisteriawood.bench import tasks
from wisteriawood.policies import registry


class BenchTests(unittest.TestCase):

    def test_urgent_work_starts_within_its_bound(self):
        (measurement,) = tasks._measure_urgent()
        self.assertTrue(
            measurement.is_within_bounds(), f"{measurement.value} s"
        )

    def test_grantor_and_entry_host_can_be_measured(self):
        _grantor, client = anyio.run(slots._make_grantor_and_client, 2)
        self.assertEqual({}, client.targets)

    def test_each_benchmark_is_registered(self):
        registry.load_modules(bench)
        self.assertEqual(
            [
                "configuration",
                "control",
                "directories",
                "recovery",
                "relay",
                "requests",
                "slots",
                "tasks",
            ],
            base.BENCHMARKS.names(),
        )

"""Tests of the configuration: checks, patches, conflicts, followers."""

import unittest

import anyio
import hypothesis
from hypothesis import strategies

from wisteriawood.config import configuration
from wisteriawood.config import configuration_patches as patches
from wisteriawood import errors
from wisteriawood.links import configurations
from wisteriawood.links import platforms
from wisteriawood.standins import platforms as platform_standins
from wisteriawood.tests import builders

WORDS = strategies.sampled_from(["a", "b", "c"])
DOCUMENTS = strategies.recursive(
    strategies.integers(0, 3),
    lambda inner: strategies.dictionaries(WORDS, inner, max_size=3),
    max_leaves=8,
)


class CheckTests(unittest.TestCase):

    def check_fails(self, document, *words):
        with self.assertRaises(errors.SettingsError) as caught:
            configuration.check(document, file="x.json")
        for word in ("x.json", *words):
            self.assertIn(word, str(caught.exception))

    def test_errors_contain_path_found_value_and_remedy(self):
        service = {"deadline_ms": 0}
        self.check_fails(
            {"teams": {"a": {"services": {"shop": service}}}},
            "$.teams.a.services.shop.deadline_ms",
            "found 0",
            "at least 1",
        )
        self.check_fails(
            {"teams": {"a": {"weight": {}}}},
            "$.teams.a.weight",
            "unknown key",
            "the keys are batch_classes",
        )
        self.check_fails({}, "$.teams", "found nothing", "add it")
        self.check_fails(
            {"teams": {"a": {"weights": {"evictions": 11}}}}, "at most 10"
        )

    def test_parsed_configuration_matches_document(self):
        document = builders.make_configuration(deadline_ms=250)
        found = configuration.parse(document, version=3)
        service = found.service("kroupa", "shop")
        self.assertEqual(0.25, service.deadline_s)
        self.assertIsNone(found.team("nobody"))
        self.assertFalse(found.has_team("nobody"))
        self.assertTrue(configuration.Configuration().has_team("nobody"))


class PatchTests(unittest.TestCase):

    @hypothesis.given(
        strategies.dictionaries(WORDS, DOCUMENTS, max_size=3),
        strategies.dictionaries(WORDS, DOCUMENTS, max_size=3),
    )
    @hypothesis.settings(derandomize=True, database=None, deadline=None)
    def test_patch_turns_one_document_into_the_other(self, one, other):
        patch = patches.make(one, other)
        self.assertEqual(other, patches.apply(one, patch))
        self.assertEqual(one == other, not patch)
        self.assertEqual(one == other, not patches.differences(one, other))


class ApplyTests(unittest.TestCase):

    def run_on_platform(self, function):
        builders.run_virtual(function, platform_standins.MemoryPlatform())

    def test_versions_can_be_read_across_snapshots(self):
        async def _check(platform):
            for number in range(205):
                document = builders.make_configuration(deadline_ms=number + 1)
                version = await configurations.apply(
                    platform, document, base=number
                )
                self.assertEqual(number + 1, version)
            reads = platform.counts.reads
            newest = await configurations.read_newest(platform)
            self.assertEqual(205, newest.version)
            self.assertEqual(3, platform.counts.reads - reads)
            self.assertEqual(document, newest.document)
            old = await configurations.read_version(platform, 99)
            self.assertEqual(
                builders.make_configuration(deadline_ms=99), old.document
            )

        self.run_on_platform(_check)

    def test_old_changes_are_pruned_with_their_snapshots(self):
        writes = configurations._pruning_writes(10_300)
        keys = [write.key for write in writes]
        self.assertEqual(101, len(keys))
        self.assertEqual("config/version/000000000201", keys[0])
        self.assertEqual("config/snapshot/000000000200", keys[-1])

    def test_concurrent_apply_conflicts_and_reports_the_difference(self):
        async def _check(platform):
            conflicts = []

            async def _apply(deadline_ms):
                document = builders.make_configuration(deadline_ms=deadline_ms)
                try:
                    await configurations.apply(platform, document, base=0)
                except errors.ConfigurationConflictError as exc:
                    conflicts.append(str(exc))

            platform.faults.slow_s = 0.1
            async with anyio.create_task_group() as group:
                group.start_soon(_apply, 100)
                group.start_soon(_apply, 200)
            self.assertEqual(1, len(conflicts))
            self.assertIn(
                "$.teams.kroupa.services.shop.deadline_ms", conflicts[0]
            )
            newest = await configurations.read_newest(platform)
            self.assertEqual(1, newest.version)

        self.run_on_platform(_check)
        self.assertEqual(3, errors.ConfigurationConflictError.exit_code)

    def test_unchanged_document_is_not_committed(self):
        async def _check(platform):
            document = builders.make_configuration()
            self.assertEqual(
                1, await configurations.apply(platform, document, base=0)
            )
            self.assertEqual(
                1, await configurations.apply(platform, document, base=1)
            )

        self.run_on_platform(_check)

    def test_changes_since_a_snapshot_fit_in_one_scan(self):
        self.assertLessEqual(
            configurations.SNAPSHOT_PERIOD, platforms.SCAN_LIMIT
        )


class FollowerTests(unittest.TestCase):

    def test_unknown_team_is_refused_once_a_configuration_is_loaded(self):
        async def _check(world):
            entry = builders.add_entries(world, ["linz-a-1"])["linz-a-1"]
            await anyio.sleep(2)
            entry.configuration.check_team("nobody")
            await configurations.apply(
                world.platform, builders.make_configuration(), base=0
            )
            await anyio.sleep(2)
            entry.configuration.check_team("kroupa")
            with self.assertRaises(errors.RequestNotRunError) as caught:
                await entry.serve(builders.make_request(team="nobody"))
            self.assertEqual(404, caught.exception.http_status)

        builders.run_world(_check)

    def test_daemons_without_a_configuration_report_not_ready(self):
        async def _check(world):
            world.platform.faults.down = True
            entry = builders.add_entries(world, ["linz-a-1"])["linz-a-1"]
            scheduler = world.add_scheduler(builders.make_member())
            await anyio.sleep(10)
            for machine in (entry, scheduler):
                self.assertIn("no configuration", machine.unready_reason())
            with self.assertRaises(errors.RequestNotRunError):
                await entry.serve(builders.make_request())

        builders.run_world(_check)

    def test_member_row_contains_versions_of_partitioned_peers(self):
        async def _check(world):
            entries = builders.add_entries(world, ["linz-a-1", "linz-a-2"])
            await anyio.sleep(5)
            world.cut("entry/linz-a-1", "platform")
            await configurations.apply(
                world.platform, builders.make_configuration(), base=0
            )
            await anyio.sleep(10)
            own = entries["linz-a-2"].membership.own
            self.assertEqual(1, own.config_version)
            self.assertEqual({"entry/linz-a-1": 1}, own.followers)

        builders.run_world(_check)

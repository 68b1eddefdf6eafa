"""Tests of the ages of the tables that a host follows."""

import unittest

import anyio

from wisteriawood import errors
from wisteriawood.jobs import queues
from wisteriawood.links import feeds
from wisteriawood.machines import intakes
from wisteriawood.machines import table_ages
from wisteriawood.platform import directory
from wisteriawood.standins import job_worlds
from wisteriawood.standins import stores as store_standins
from wisteriawood.telemetry import job_events
from wisteriawood.telemetry import job_metrics
from wisteriawood.tests import builders
from wisteriawood.tests import store_builders

TABLE = "t"
MAX_AGE_S = 2.5
HOST = "host"


class TableAgeTests(unittest.TestCase):
    """A feed whose host is cut off from the store for some seconds."""

    def _run(self, check):
        async def _main():
            memory = store_standins.MemoryStore()
            link = memory.link(HOST)
            counters = job_metrics.JobMetrics()
            ages = table_ages.TableAges(
                contact=link.contact, counters=counters
            )
            feed = feeds.Feed(
                store=link,
                table=TABLE,
                on_rows=lambda _rows: None,
                max_age_s=lambda: MAX_AGE_S,
            )
            async with anyio.create_task_group() as group:
                group.start_soon(feed.run)
                group.start_soon(ages.run)
                await check(memory, counters)
                group.cancel_scope.cancel()
            ages.check()
            self.assertEqual(builders.gauge_values(counters.table_age_s), {})

        builders.run_virtual(_main)

    def test_table_that_nobody_can_read_for_seconds(self):
        """Guards against old tables that neither log nor metrics show."""

        async def _check(memory, counters):
            await anyio.sleep(20)
            with (
                builders.record_events(job_events.TABLE_OUTDATED) as outdated,
                builders.record_events(job_events.TABLE_CURRENT) as current,
            ):
                memory.cut_hosts.add(HOST)
                await anyio.sleep(8)
                ages_s = builders.gauge_values(counters.table_age_s)
                self.assertGreater(ages_s[TABLE], 7.5)
                memory.cut_hosts.clear()
                await anyio.sleep(5)
                ages_s = builders.gauge_values(counters.table_age_s)
                self.assertLess(ages_s[TABLE], MAX_AGE_S)
            self.assertEqual(len(outdated), 1)
            self.assertEqual(outdated[0]["table"], TABLE)
            self.assertEqual(outdated[0]["bound_s"], MAX_AGE_S)
            self.assertIn("waits_for", outdated[0])
            self.assertEqual(len(current), 1)
            self.assertGreater(current[0]["oldest_s"], 7.5)

        self._run(_check)

    def test_table_of_a_store_that_answers(self):
        """Guards against lines about a table that is never old."""

        async def _check(memory, _counters):
            with builders.record_events(job_events.TABLE_OUTDATED) as outdated:
                await anyio.sleep(40)
            self.assertEqual(outdated, [])

        self._run(_check)


class UnknownQueueTests(unittest.TestCase):
    def test_refusal_names_the_version_and_its_age(self):
        """Guards against a 404 that does not tell what it was decided by."""

        async def _check(world):
            host = world.hosts["host-a-0"]
            host.configuration_feed = feeds.Feed(
                store=host.store, table=TABLE, on_rows=lambda _rows: None
            )
            await anyio.sleep(1.5)
            host.adopt_queues(queues.QueueTable(version=19, queues=[]))
            with self.assertRaises(errors.NotFoundError) as caught:
                intakes.Intake(host=host).find_queue("h", "/unknown/")
            self.assertIn("version 19", str(caught.exception))
            self.assertIn("read 1.500 s ago", str(caught.exception))

        async def _main():
            async with anyio.create_task_group() as group:
                world = job_worlds.JobWorld(group=group)
                await anyio.sleep(10)
                await _check(world)
                group.cancel_scope.cancel()

        builders.run_virtual(_main)


class OldConfigurationTests(unittest.TestCase):
    """The operator's table is silent, and the host can't know new queues."""

    def _run(self, check):
        async def _check(following):
            await check(following, intakes.Intake(host=following.host))

        store_builders.run_following_host(_check)

    async def _silence(self, following):
        following.store.app.silent_tables = {directory.OPERATOR_TABLE}
        await anyio.sleep(5.0)

    def test_unknown_queue_is_refused_for_now(self):
        """Guards against a 404 for a queue that a newer version has (CONFIG).

        A host that had read no configuration for seconds refused a new route
        as if there were none.
        """

        async def _check(following, intake):
            with self.assertRaises(errors.NotFoundError):
                intake.find_queue("unknown", "/")
            await self._silence(following)
            with self.assertRaises(errors.RequestNotRunError) as caught:
                intake.find_queue("unknown", "/")
            self.assertEqual(caught.exception.http_status, 503)
            self.assertLessEqual(caught.exception.retry_after_s, 1.0)
            self.assertIn("version 1", str(caught.exception))
            # What is in force is served on.
            self.assertEqual(intake.find_queue("h", "/0/").name, "q0")
            following.store.app.silent_tables = ()
            await anyio.sleep(1.0)
            with self.assertRaises(errors.NotFoundError):
                intake.find_queue("unknown", "/")

        self._run(_check)

    def test_host_with_an_old_configuration_is_not_ready(self):
        """Guards against connections to the one host that knows less."""

        async def _check(following, _intake):
            self.assertEqual(following.host.unready_reason(), "")
            await self._silence(following)
            self.assertIn("configuration", following.host.unready_reason())
            following.store.app.silent_tables = ()
            await anyio.sleep(1.0)
            self.assertEqual(following.host.unready_reason(), "")

        self._run(_check)

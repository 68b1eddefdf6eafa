"""Tests of the writer of job rows."""

import unittest

import anyio

from wisteriawood.cells import job_writers
from wisteriawood.cells import tables
from wisteriawood.standins import stores as store_standins
from wisteriawood.tests import builders


class JobWriterTests(unittest.TestCase):
    def test_rows_of_many_jobs_are_split_into_transactions(self):
        """Guards against changes that the store refuses as too large."""

        async def _check():
            store = store_standins.MemoryStore()
            writer = job_writers.JobWriter(
                store=store.link("me"),
                claim_key=tables.claim_row("shop@b"),
                claim_version=0,
                on_cancel=self.fail,
            )
            names = [f"{number:016x}" for number in range(60)]
            for name in names:
                batch = writer.schedule_write(builders.make_job(name))
            async with anyio.create_task_group() as group:
                group.start_soon(writer.write_bucket, "a")
                await writer.wait_until_stored([batch])
                group.cancel_scope.cancel()
            self.assertEqual({at.key for at in store.rows}, set(names))

        builders.run_virtual(_check)

"""Tests of feeds, with a store that returns stale rows."""

import unittest

import anyio

from wisteriawood.links import clocks
from wisteriawood.links import feeds
from wisteriawood.links import stores
from wisteriawood.standins import stores as store_standins
from wisteriawood.tests import builders

TABLE = "t"


def _at(key):
    return stores.RowKey(table=TABLE, part="p", key=key)


class FeedTests(unittest.TestCase):
    """The store loses its history and returns stale rows for seconds."""

    def _run(self, check):
        async def _main():
            memory = store_standins.MemoryStore()
            store = builders.StaleStore(store=memory)
            received = {}

            def _on_rows(rows):
                for row in rows:
                    received[row.at.key] = row.value

            feed = feeds.Feed(store=store, table=TABLE, on_rows=_on_rows)

            def _write(key, value):
                memory.apply(stores.Change(writes={_at(key): value}))

            _write("old", b"1")
            async with anyio.create_task_group() as group:
                group.start_soon(feed.run)
                await anyio.sleep(1)
                await check(memory, store, _write, received)
                group.cancel_scope.cancel()

        builders.run_virtual(_main)

    def test_row_missed_by_stale_read_is_found_by_audit(self):
        """Without the audits, a job waited for 35 s after a stale read."""

        async def _check(memory, store, write, received):
            store.is_stale = True
            store.hidden_keys.add("new")
            write("new", b"2")
            memory.compact_history()
            memory._changed.set()
            write("other", b"3")
            memory.compact_history()
            await anyio.sleep(2.5)
            store.is_stale = False
            await anyio.sleep(feeds.AUDIT_DELAYS_S[-1])
            self.assertEqual(received["new"], b"2")
            self.assertEqual(received["old"], b"1")

        self._run(_check)

    def test_stale_read_does_not_restore_removed_row(self):
        async def _check(memory, store, write, received):
            write("gone", b"2")
            await anyio.sleep(0.5)
            row = memory.rows[_at("gone")]
            write("gone", None)
            await anyio.sleep(0.5)
            self.assertIsNone(received["gone"])
            memory.rows[_at("gone")] = row
            memory.compact_history()
            write("other", b"3")
            memory.compact_history()
            await anyio.sleep(feeds.AUDIT_DELAYS_S[0] + 2)
            self.assertIsNone(received["gone"])

        self._run(_check)

    def test_last_audit_removes_row_deleted_during_history_loss(self):
        async def _check(memory, _store, write, received):
            write("old", None)
            write("other", b"3")
            memory.compact_history()
            await anyio.sleep(feeds.AUDIT_DELAYS_S[-1] + 3)
            self.assertIsNone(received["old"])
            self.assertEqual(received["other"], b"3")

        self._run(_check)

    def test_row_missed_by_audits_that_are_stale_too_is_found(self):
        """Guards against reads that are stale for longer than most audits."""

        async def _check(memory, store, write, received):
            store.is_stale = True
            store.hidden_keys.add("new")
            write("new", b"2")
            memory.compact_history()
            write("other", b"3")
            memory.compact_history()
            await anyio.sleep(8)
            self.assertNotIn("new", received)
            store.is_stale = False
            await anyio.sleep(9)
            self.assertEqual(received["new"], b"2")

        self._run(_check)

    def test_row_missed_by_stale_first_read_is_found_soon(self):
        """Guards against a host that restarts with old rows for seconds."""

        async def _check(memory, store, write, received):
            store.is_stale = True
            store.hidden_keys.add("new")
            write("new", b"2")
            async with anyio.create_task_group() as group:
                found = []
                feed = feeds.Feed(
                    store=store, table=TABLE, on_rows=found.extend
                )
                group.start_soon(feed.run)
                await anyio.sleep(1)
                store.is_stale = False
                await anyio.sleep(2.5)
                self.assertIn("new", [row.at.key for row in found])
                group.cancel_scope.cancel()

        self._run(_check)

    def test_row_written_right_after_an_audit_removed_it(self):
        """Guards against the loss of the first change after an audit."""

        async def _check(memory, _store, write, received):
            write("old", None)
            write("other", b"3")
            memory.compact_history()
            while received["old"] is not None:
                await anyio.sleep(0.01)
            write("old", b"4")
            await anyio.sleep(1)
            self.assertEqual(received["old"], b"4")

        self._run(_check)

    def test_changes_that_do_not_fit_into_an_answer(self):
        """Guards against a feed that falls behind by more with each poll.

        On the grown deployments an idle host got the oldest 500 changes of
        the directory every few seconds. After a takeover it started tasks on
        workers that had been draining for many seconds.
        """

        async def _main():
            memory = store_standins.MemoryStore()
            store = builders.StaleStore(store=memory)
            received = {}
            feed = feeds.Feed(
                store=store,
                table=TABLE,
                on_rows=lambda rows: received.update(
                    (row.at.key, row.value) for row in rows
                ),
                pause_s=lambda: 4.0,
            )

            def _write(count, value):
                for number in range(count):
                    key = str(number % 100)
                    memory.apply(stores.Change(writes={_at(key): value}))

            async with anyio.create_task_group() as group:
                group.start_soon(feed.run)
                await anyio.sleep(0.1)
                store.answer_delay_s = 0.3
                for number in range(5):
                    _write(3 * store_standins.MAX_FEED_ROWS, b"old")
                    _write(100, b"%d" % number)
                    written_at_s = clocks.elapsed_s()
                    feed.poll_now()
                    await anyio.sleep(0.5)
                    self.assertFalse(feed.is_caught_up)
                    self.assertLess(feed.confirmed_at_s, written_at_s)
                    await anyio.sleep(2)
                    self.assertTrue(feed.is_caught_up)
                    self.assertEqual(received["99"], b"%d" % number)
                    self.assertGreater(feed.confirmed_at_s, written_at_s)
                group.cancel_scope.cancel()

        builders.run_virtual(_main)

    def test_request_to_poll_ends_the_pause(self):
        async def _main():
            memory = store_standins.MemoryStore()
            found = []
            feed = feeds.Feed(
                store=memory.link("me"),
                table=TABLE,
                on_rows=found.extend,
                pause_s=lambda: 100.0,
            )
            async with anyio.create_task_group() as group:
                group.start_soon(feed.run)
                await anyio.sleep(1)
                memory.apply(stores.Change(writes={_at("a"): b"1"}))
                await anyio.sleep(5)
                self.assertEqual(found, [])
                feed.poll_now()
                await anyio.sleep(1)
                self.assertEqual(len(found), 1)
                group.cancel_scope.cancel()

        builders.run_virtual(_main)

"""Tests of following a table whose store returns old rows."""

import unittest

import anyio

from wisteriawood.links import feeds
from wisteriawood.links import stores
from wisteriawood.standins import stores as store_standins
from wisteriawood.tests import builders

TABLE = "t"


def _at(key):
    return stores.RowKey(table=TABLE, part="p", key=key)


class StaleStore:
    """A store whose reads of a whole table miss its newest rows."""

    def __init__(self, *, store, is_stale=False):
        self._link = store.link("me")
        self.is_stale = is_stale
        self.hidden = set()

    async def parts(self, table):
        return await self._link.parts(table)

    async def read(self, table, part, *, key=""):
        page = await self._link.read(table, part, key=key)
        if self.is_stale:
            page.rows = [r for r in page.rows if r.at.key not in self.hidden]
        return page

    async def feed(self, table, after, wait_s):
        return await self._link.feed(table, after, wait_s)


class FeedTests(unittest.TestCase):
    """A store loses its history and returns old rows for some seconds."""

    def _run(self, check):
        async def _main():
            memory = store_standins.MemoryStore()
            store = StaleStore(store=memory)
            taken = {}

            def _take(rows):
                for row in rows:
                    taken[row.at.key] = row.value

            feed = feeds.Feed(store=store, table=TABLE, take=_take)

            def _write(key, value):
                memory.apply(stores.Change(writes={_at(key): value}))

            _write("old", b"1")
            async with anyio.create_task_group() as group:
                group.start_soon(feed.run)
                await anyio.sleep(1)
                await check(memory, store, _write, taken)
                group.cancel_scope.cancel()

        builders.run_virtual(_main)

    def test_a_row_that_an_old_read_left_out_comes_within_seconds(self):
        """Seen on scale-1 of kroupa-dilna: a job waited for 35 s."""

        async def _check(memory, store, write, taken):
            store.is_stale = True
            store.hidden.add("new")
            write("new", b"2")
            memory.forget_history()
            memory._changed.set()
            write("other", b"3")
            memory.forget_history()
            await anyio.sleep(2.5)
            store.is_stale = False
            await anyio.sleep(feeds.AUDITS_S[-1])
            self.assertEqual(taken["new"], b"2")
            self.assertEqual(taken["old"], b"1")

        self._run(_check)

    def test_an_old_read_does_not_bring_back_what_was_removed(self):
        async def _check(memory, store, write, taken):
            write("gone", b"2")
            await anyio.sleep(0.5)
            row = memory.rows[_at("gone")]
            write("gone", None)
            await anyio.sleep(0.5)
            self.assertIsNone(taken["gone"])
            memory.rows[_at("gone")] = row
            memory.forget_history()
            write("other", b"3")
            memory.forget_history()
            await anyio.sleep(feeds.AUDITS_S[0] + 2)
            self.assertIsNone(taken["gone"])

        self._run(_check)

    def test_what_was_removed_during_the_loss_goes_in_the_end(self):
        async def _check(memory, _store, write, taken):
            write("old", None)
            write("other", b"3")
            memory.forget_history()
            await anyio.sleep(feeds.AUDITS_S[-1] + 3)
            self.assertIsNone(taken["old"])
            self.assertEqual(taken["other"], b"3")

        self._run(_check)

    def test_a_rest_ends_when_told_to_hurry(self):
        async def _main():
            memory = store_standins.MemoryStore()
            found = []
            feed = feeds.Feed(
                store=memory.link("me"),
                table=TABLE,
                take=found.extend,
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

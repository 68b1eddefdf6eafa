"""Tests of what a host believes of holders, from heartbeats and claims."""

import unittest

import anyio

from wisteriawood.cells import claims
from wisteriawood.cells import members
from wisteriawood.cells import tables
from wisteriawood.links.codecs import rows
from wisteriawood.links import stores
from wisteriawood.standins import stores as store_standins
from wisteriawood.tests import builders

CELL = "shop@a"


def _claim(holder, incarnation, version=1):
    row = claims.ClaimRow(holder=holder, incarnation=incarnation, epoch=1)
    return claims.Claim(cell=CELL, row=row, version=version)


def _beat(incarnation, count):
    return claims.HostBeat(zone="a", incarnation=incarnation, count=count)


class HolderTests(unittest.TestCase):
    def _run(self, check):
        async def _main():
            store = store_standins.MemoryStore()
            view = members.Members(
                store=store.link("me"), name="me", zone="a", incarnation="mine"
            )

            def _write(at, value):
                store.apply(stores.Change(writes={at: value}))

            def _say(incarnation, count):
                data = claims.beat_to_bytes(_beat(incarnation, count))
                _write(tables.host_row("other"), data)

            async def _beat_forever():
                while True:
                    await view.beat({})
                    await anyio.sleep(members.BEAT_S)

            async with anyio.create_task_group() as group:
                group.start_soon(view.beat_feed.run)
                group.start_soon(_beat_forever)
                await check(view, _say)
                group.cancel_scope.cancel()

        builders.run_virtual(_main)

    def test_a_heartbeat_older_than_the_claim_proves_nothing(self):
        """Seen when all hosts restart at once: two stole from each other."""

        async def _check(view, say):
            say("before", 9)
            await anyio.sleep(1)
            view.note_claim(_claim("other", "after"))
            self.assertFalse(view.is_holder_gone(view.claims[CELL], 2.6))
            say("after", 1)
            await anyio.sleep(2)
            self.assertFalse(view.is_holder_gone(view.claims[CELL], 2.6))

        self._run(_check)

    def test_a_restarted_holder_is_gone(self):
        async def _check(view, say):
            say("before", 9)
            view.note_claim(_claim("other", "before"))
            await anyio.sleep(1)
            self.assertFalse(view.is_holder_gone(view.claims[CELL], 2.6))
            say("after", 1)
            await anyio.sleep(0.6)
            self.assertTrue(view.is_holder_gone(view.claims[CELL], 2.6))

        self._run(_check)

    def test_a_claim_without_its_process_is_gone_after_a_while(self):
        async def _check(view, say):
            say("after", 9)
            await anyio.sleep(1)
            view.note_claim(_claim("other", "before"))
            self.assertFalse(view.is_holder_gone(view.claims[CELL], 99))
            await anyio.sleep(2)
            self.assertTrue(view.is_holder_gone(view.claims[CELL], 99))

        self._run(_check)

    def test_an_own_claim_that_is_not_worked_for_is_taken_up(self):
        """Seen as LOST: the rightful holder let go after a conflict."""

        async def _check(view, say):
            say("x", 1)
            await anyio.sleep(1)
            self.assertTrue(view.is_holder_gone(_claim("me", "mine"), 99))

        self._run(_check)

    def test_silence_counts_only_while_the_store_is_heard(self):
        async def _check(view, say):
            say("before", 1)
            await anyio.sleep(1)
            view.beat_feed.steady_since_s = 0.0
            self.assertEqual(view.silence_s("other"), 0.0)

        self._run(_check)

    def test_silence_proves_nothing_while_own_heartbeats_fail(self):
        """Seen in incident inc-afd0: a slow store, and all cells changed."""

        async def _check(view, say):
            say("before", 1)
            await anyio.sleep(1)
            view._store._store.is_down = True
            view.written_at_s -= members.WRITTEN_S
            await anyio.sleep(0.1)
            view.beat_feed.steady_since_s = 0.1
            view.beat_feed.heard_at_s = anyio.current_time()
            self.assertEqual(view.silence_s("other"), 0.0)
            view.written_at_s = anyio.current_time()
            self.assertGreater(view.silence_s("other"), 0.9)

        self._run(_check)

    def test_a_late_heartbeat_does_not_revive(self):
        async def _check(view, say):
            say("before", 5)
            await anyio.sleep(1)
            say("before", 4)
            await anyio.sleep(3)
            self.assertGreater(view.silence_s("other"), 2.6)

        self._run(_check)

    def test_rows_that_cannot_be_read_are_passed_over(self):
        async def _check(view, say):
            say("before", 5)
            row = stores.StoredRow(
                at=tables.claim_row(CELL), value=b"?", version=1
            )
            view._take_claims([row])
            self.assertEqual(view.claims, {})
            good = rows.to_json(_claim("other", "x").row)
            row = stores.StoredRow(
                at=tables.claim_row(CELL), value=good, version=2
            )
            view._take_claims([row])
            self.assertEqual(view.claims[CELL].row.holder, "other")

        self._run(_check)

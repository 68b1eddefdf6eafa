"""Tests of the bounds of the store's clock."""

import unittest

import anyio

from wisteriawood.links import clocks
from wisteriawood.links import store_clocks
from wisteriawood.tests import builders


class StoreClockTests(unittest.TestCase):
    """The store's clock runs 5 s ahead of this host's."""

    def _run(self, check):
        async def _main():
            clock = store_clocks.StoreClock()
            offset_ms = 5000 - clocks.suspended_s() * 1000

            def _record(call_s, before_s):
                """Record a call whose answer has just arrived."""
                now_s = clocks.elapsed_s()
                clock.record(
                    store_ms=(now_s - before_s) * 1000 + offset_ms,
                    sent_at_s=now_s - call_s,
                    answered_at_s=now_s,
                )

            await anyio.sleep(3)
            await check(clock, _record, offset_ms)

        builders.run_virtual(_main)

    def _now_ms(self, offset_ms):
        return clocks.elapsed_s() * 1000 + offset_ms

    def test_bounds_contain_the_clock(self):
        """Guards against a lease that counts as lapsed too early (TWICE)."""

        async def _check(clock, record, offset_ms):
            for call_s, before_s in ((0.4, 0.4), (0.4, 0.0), (1.0, 0.5)):
                record(call_s, before_s)
                await anyio.sleep(1)
                now_ms = self._now_ms(offset_ms)
                self.assertGreaterEqual(clock.latest_ms(), now_ms - 1)
                self.assertLessEqual(clock.passed_s(now_ms - 2000), 2.001)
            self.assertAlmostEqual(
                clock.latest_ms(), self._now_ms(offset_ms), delta=1
            )

        self._run(_check)

    def test_unknown_times(self):
        """Guards against a store without a clock that shows much time."""

        async def _check(clock, record, offset_ms):
            self.assertEqual(clock.latest_ms(), 0.0)
            self.assertEqual(clock.passed_s(1.0), 0.0)
            clock.record(store_ms=0, sent_at_s=0.0, answered_at_s=0.1)
            self.assertEqual(clock.latest_ms(), 0.0)
            record(0.1, 0.0)
            self.assertEqual(clock.passed_s(0.0), 0.0)
            later_ms = self._now_ms(offset_ms) + 9000
            self.assertEqual(clock.passed_s(later_ms), 0.0)

        self._run(_check)

    def test_bounds_that_touch_within_the_resolution(self):
        """Guards against readings of clocks that discard all bounds.

        Two bounds that touch missed each other by the microseconds between
        two readings, and the clock counted as one that has begun anew.
        """

        async def _check(clock, record, offset_ms):
            record(0.4, 0.4)
            record(0.4, -0.0005)
            self.assertAlmostEqual(
                clock.latest_ms(), self._now_ms(offset_ms), delta=1
            )

        self._run(_check)

    def test_clock_that_has_begun_anew(self):
        """Guards against answers of a former clock that still count."""

        async def _check(clock, record, _offset_ms):
            record(0.1, 0.0)
            now_s = clocks.elapsed_s()
            clock.record(
                store_ms=100.0, sent_at_s=now_s - 0.1, answered_at_s=now_s
            )
            self.assertAlmostEqual(clock.latest_ms(), 200.0, delta=1)

        self._run(_check)

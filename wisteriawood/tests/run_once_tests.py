"""Run-once requests: keys, stored answers and table outages."""

import unittest

import anyio

from wisteriawood.contracts import holdings
from wisteriawood.contracts import requests
from wisteriawood import errors
from wisteriawood.machines import run_once
from wisteriawood.tests import builders


def _request(**fields):
    return builders.make_request(
        key="order-7",
        request_class=requests.RequestClass.RUN_ONCE,
        **fields,
    )


async def _build_zone(world):
    target = world.add_target(builders.make_target_host())
    world.add_scheduler(builders.make_member())
    entries = [
        world.add_entry(
            builders.make_member(name=name, role=holdings.Role.ENTRY)
        )
        for name in ("linz-a-1", "linz-a-2")
    ]
    await anyio.sleep(5)
    return target, entries


class RunOnceTests(unittest.TestCase):

    def test_repeat_at_another_entry_host_gets_stored_answer(self):
        async def _check(world):
            target, entries = await _build_zone(world)
            for size_bytes in (5, run_once.MAX_ROW_BODY_BYTES + 1):
                body = b"x" * size_bytes
                key = str(size_bytes)
                answers = []
                for number, entry in enumerate(entries):
                    request = builders.make_request(
                        id=f"{key}-{number}",
                        key=key,
                        body=body,
                        request_class=requests.RequestClass.RUN_ONCE,
                    )
                    answers.append(await entry.serve(request))
                self.assertEqual([body, body], [a.body for a in answers])
                self.assertEqual(1, target.counts.keys[key])

        builders.run_world(_check)

    def test_key_reused_for_another_request_is_refused(self):
        async def _check(world):
            _target, entries = await _build_zone(world)
            await entries[0].serve(_request(id="1", body=b"one"))
            with self.assertRaises(errors.RequestNotRunError) as caught:
                await entries[1].serve(_request(id="2", body=b"two"))
            self.assertEqual(422, caught.exception.http_status)

        builders.run_world(_check)

    def test_request_is_refused_at_once_while_table_is_down(self):
        async def _check(world):
            target, entries = await _build_zone(world)
            world.platform.faults.down = True
            started_s = anyio.current_time()
            with self.assertRaises(errors.RequestNotRunError) as caught:
                await entries[0].serve(_request())
            self.assertLess(anyio.current_time() - started_s, 0.1)
            self.assertGreater(caught.exception.retry_after_s, 0)
            self.assertEqual(0, target.counts.started)

        builders.run_world(_check)

    def test_claim_stored_after_its_timeout_releases_the_key(self):
        async def _check(world):
            target, entries = await _build_zone(world)
            world.platform.faults.slow_s = 3.0
            with self.assertRaises(errors.RequestNotRunError):
                await entries[0].serve(_request(id="1"))
            await anyio.sleep(10)
            world.platform.faults.slow_s = 0.0
            await anyio.sleep(5)
            answer = await entries[1].serve(_request(id="2"))
            self.assertEqual(requests.Outcome.RAN, answer.outcome)
            self.assertEqual(1, target.counts.started)

        builders.run_world(_check)

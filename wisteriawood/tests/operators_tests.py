"""Tests of the front end for operators and of the explain command."""

import unittest
from unittest import mock

import anyio
import httpx

from wisteriawood.commands import explain
from wisteriawood import errors
from wisteriawood.links import jobs
from wisteriawood.links import operators
from wisteriawood.standins import platforms
from wisteriawood.telemetry import metrics
from wisteriawood.tests import builders


def _get(path, **options):
    async def _main():
        app = operators.make_app(
            registry=metrics.SchedulerMetrics().registry,
            unready_reason=lambda: "draining",
            status=lambda: {"pending": 1},
            **options,
        )
        async with httpx.AsyncClient(
            transport=httpx.ASGITransport(app=app), base_url="http://host"
        ) as client:
            return await client.get(path)

    return anyio.run(_main)


class OperatorsTests(unittest.TestCase):

    def test_readyz_returns_reason_if_not_ready(self):
        response = _get("/readyz")
        self.assertEqual(503, response.status_code)
        self.assertEqual("draining\n", response.text)

    def test_healthz_is_ok_if_not_ready(self):
        self.assertEqual(200, _get("/healthz").status_code)

    def test_waiting_returns_reason(self):
        response = _get("/waiting/a", explain=lambda task: f"{task} is big")
        self.assertEqual({"reason": "a is big"}, response.json())

    def test_waiting_has_no_reason_if_daemon_has_no_tasks(self):
        self.assertEqual({"reason": ""}, _get("/waiting/a").json())


class ExplainTests(unittest.TestCase):

    def explain_task(self, answers):
        """Return the reason found for a task that waits in linz-a.

        Args:
            answers: Answers, or exceptions, by address of the scheduler.
        """

        async def _answer(*, address, task):
            answer = answers[address]
            if isinstance(answer, Exception):
                raise answer
            return answer

        async def _main():
            platform = platforms.MemoryPlatform()
            for number, address in enumerate(answers):
                member = builders.make_member(
                    name=f"linz-a-{number}", operator_address=address
                )
                await builders.put_member(platform, member)
            await jobs.submit(platform, [builders.make_spec()], zone="linz-a")
            task = await jobs.find(platform, "task-1")
            with mock.patch.object(operators, "ask_waiting_reason", _answer):
                return await explain._ask_schedulers(platform, task)

        return anyio.run(_main)

    def test_dead_scheduler_is_skipped(self):
        dead = errors.LinkClosedError("gone")
        self.assertEqual(
            "full", self.explain_task({"a:1": dead, "b:1": "full"})
        )

    def test_reason_is_empty_if_no_scheduler_knows_the_task(self):
        self.assertEqual("", self.explain_task({"a:1": "", "b:1": ""}))

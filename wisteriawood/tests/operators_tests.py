"""The front end for operators: health, readiness and reasons."""

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
            ready=lambda: "draining",
            status=lambda: {"pending": 1},
            **options,
        )
        async with httpx.AsyncClient(
            transport=httpx.ASGITransport(app=app), base_url="http://host"
        ) as client:
            return await client.get(path)

    return anyio.run(_main)


class OperatorsTests(unittest.TestCase):

    def test_daemon_that_is_not_ready_says_why(self):
        response = _get("/readyz")
        self.assertEqual(503, response.status_code)
        self.assertEqual("draining\n", response.text)

    def test_daemon_that_is_not_ready_lives(self):
        self.assertEqual(200, _get("/healthz").status_code)

    def test_scheduler_says_why_a_task_waits(self):
        response = _get("/waiting/a", explain=lambda task: f"{task} is big")
        self.assertEqual({"reason": "a is big"}, response.json())

    def test_daemon_without_tasks_gives_no_reason(self):
        self.assertEqual({"reason": ""}, _get("/waiting/a").json())


class ExplainTests(unittest.TestCase):

    def ask(self, answers):
        """Return what is explained of a task that waits in linz-a."""

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
                return await explain._ask_why(platform, task)

        return anyio.run(_main)

    def test_dead_scheduler_is_passed_over(self):
        dead = errors.LinkClosedError("gone")
        self.assertEqual("full", self.ask({"a:1": dead, "b:1": "full"}))

    def test_no_scheduler_knows_the_task(self):
        self.assertEqual("", self.ask({"a:1": "", "b:1": ""}))

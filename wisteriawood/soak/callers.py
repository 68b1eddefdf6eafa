"""Callers that hand in jobs, ask for them and cancel them."""

import random
import typing

import anyio
import httpx

from wisteriawood.jobs import queues
from wisteriawood.jobs import specs
from wisteriawood.platform import standins
from wisteriawood.soak import checks

CALL_TIMEOUT_S = 3.0
# Attempts of a caller at one request.
ATTEMPTS = 5
RETRY_S = 0.4
# Shares of the requests; the rest ask for states.
SUBMIT_SHARE = 0.5
CANCEL_SHARE = 0.12
# Share of the jobs whose tasks last.
STANDING_SHARE = 0.1


class Caller:
    """A caller with connections that it keeps open.

    Args:
        checker: Told what the caller sees.
        fronts: Ports of the hosts.
        queue: Where jobs are handed in.
        rng: Source of its choices.
        work_s: Work of each job's tasks, which the caller sets.
    """

    __slots__ = ("_checker", "_client", "_fronts", "_queue", "_rng", "_work_s")

    def __init__(
        self,
        *,
        checker: checks.Checker,
        fronts: typing.Mapping[str, int],
        queue: queues.Queue,
        rng: random.Random,
        work_s: dict[str, float],
    ):
        self._checker = checker
        self._fronts = fronts
        self._queue = queue
        self._rng = rng
        self._work_s = work_s
        self._client = httpx.AsyncClient(timeout=CALL_TIMEOUT_S)

    async def run(self, until_s: float) -> None:
        """Make requests until some time.

        Args:
            until_s: The time, since the start of the soak.
        """
        mine: list[checks.SentJob] = []
        async with self._client:
            while self._checker.now_s() < until_s:
                await anyio.sleep(self._rng.uniform(0.05, 0.5))
                roll = self._rng.random()
                if roll < SUBMIT_SHARE or not mine:
                    mine.append(await self._submit())
                elif roll < SUBMIT_SHARE + CANCEL_SHARE:
                    await self._cancel(self._rng.choice(mine))
                else:
                    await self.ask(self._rng.choice(mine))

    async def ask_all(self) -> None:
        """Ask for all jobs that should be shown as completed by now."""
        for sent in list(self._checker.sent.values()):
            if len(sent.ended) < len(sent.names()):
                continue
            if sent.is_accepted and not sent.is_told_completed:
                await self.ask(sent)

    async def _call(
        self, method: str, job_id: str, content: bytes = b""
    ) -> tuple[int, dict]:
        """Make one attempt; return status 0 without an answer."""
        port = self._fronts[self._rng.choice(sorted(self._fronts))]
        try:
            response = await self._client.request(
                method,
                f"http://127.0.0.1:{port}{self._queue.prefix}{job_id}",
                headers={"host": self._queue.host_name},
                content=content,
            )
        except httpx.ConnectError:
            return 503, {}
        except httpx.HTTPError:
            return 0, {}
        if response.status_code != 200:
            return response.status_code, {}
        return 200, response.json()

    def _make_job(self) -> specs.JobSpec:
        job_id = f"{self._rng.getrandbits(64):016x}"
        is_standing = self._rng.random() < STANDING_SHARE
        steps = [
            specs.StepSpec(
                task_count=self._rng.randint(1, 4),
                cpu_millicores=self._rng.choice((500, 1500, 4000)),
                memory_mb=64,
                expected_run_ms=600,
                after=[number - 1] if number else [],
                is_standing=is_standing,
            )
            for number in range(1 if is_standing else self._rng.randint(1, 3))
        ]
        work_s = 1e6 if is_standing else self._rng.uniform(0.2, 1.5)
        self._work_s[job_id] = work_s
        return specs.JobSpec(
            id=job_id,
            queue=self._queue,
            payload=f"payload of {job_id}",
            steps=steps,
        )

    async def _submit(self) -> checks.SentJob:
        sent = checks.SentJob(spec=self._make_job())
        self._checker.sent[sent.spec.id] = sent
        body = standins.encode_job(sent.spec)
        for _attempt in range(ATTEMPTS):
            was_unknown, sent.is_unknown = sent.is_unknown, True
            status, _answer = await self._call("POST", sent.spec.id, body)
            if status == 200:
                sent.is_accepted = True
                return sent
            if status in (429, 503):
                sent.is_refused = True
                sent.is_unknown = was_unknown
            await anyio.sleep(RETRY_S)
        return sent

    async def ask(self, sent: checks.SentJob) -> None:
        """Ask for the state of a job.

        Args:
            sent: The job.
        """
        was_accepted = sent.is_accepted
        status, answer = await self._call("GET", sent.spec.id)
        if status == 200:
            self._checker.note_state(sent, answer["state"])
        elif status == 410 and was_accepted:
            self._checker.note_state(sent, "")

    async def _cancel(self, sent: checks.SentJob) -> None:
        if not sent.is_accepted:
            return
        sent.is_cancel_sent = True
        for _attempt in range(ATTEMPTS):
            status, _answer = await self._call("DELETE", sent.spec.id)
            if status in (200, 410):
                if not sent.cancelled_at_s:
                    sent.cancelled_at_s = self._checker.now_s()
                return
            await anyio.sleep(RETRY_S)

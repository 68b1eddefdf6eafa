"""Simulated callers that submit, query and cancel jobs."""

import math
import random
import typing

import anyio
import httpx

from wisteriawood.jobs import queues
from wisteriawood.jobs import specs
from wisteriawood.platform import standins
from wisteriawood.policies import registry
from wisteriawood.soak import checks

CALL_TIMEOUT_S = 3.0
# Largest number of attempts of one submission or cancellation.
MAX_ATTEMPTS = 5
RETRY_DELAY_S = 0.4
# Shares of all requests; the rest are queries of job states.
SUBMIT_SHARE = 0.5
CANCEL_SHARE = 0.12
# Share of jobs whose tasks run until they are cancelled.
LONG_RUNNING_SHARE = 0.1
# Shortest and longest run time of tasks that end.
WORK_RANGE_S = (0.2, 1.5)

JobMaker = typing.Callable[[random.Random], list[specs.StepSpec]]
# Kinds of jobs that fill the cells.
WIDE_JOBS: registry.Registry[JobMaker] = registry.Registry(kind="wide job")


@WIDE_JOBS.register("wide")
def _make_wide_steps(rng: random.Random) -> list[specs.StepSpec]:
    return [
        specs.StepSpec(
            task_count=rng.randint(6, 20),
            cpu_millicores=rng.choice((4000, 7800)),
            memory_mb=9984,
            expected_run_ms=600,
            is_checkpointing=True,
        )
    ]


@WIDE_JOBS.register("filler")
def _make_filler_steps(rng: random.Random) -> list[specs.StepSpec]:
    return [
        specs.StepSpec(
            task_count=rng.randint(4, 12),
            cpu_millicores=rng.choice((2000, 4000, 7800)),
            memory_mb=4096,
            expected_run_ms=600,
            image=rng.choice(("filler-1", "filler-2")),
            is_checkpointing=True,
            is_filler=True,
        )
    ]


@WIDE_JOBS.register("serving")
def _make_serving_steps(rng: random.Random) -> list[specs.StepSpec]:
    return [
        specs.StepSpec(
            task_count=rng.randint(1, 3),
            cpu_millicores=2000,
            memory_mb=1024,
            image=rng.choice(("serving-1", "serving-2")),
            is_standing=True,
            tail_target_ms=100,
        )
    ]


class Caller:
    """A caller with persistent connections to the hosts.

    Args:
        checker: Records the answers that the caller receives.
        caller_ports: Ports on which the hosts serve callers, by host name.
        queue: Queue that jobs are submitted to.
        rng: Source of random choices.
        work_s: Run time of the tasks of each job in seconds, by job id;
            the caller adds its jobs.
        wide_share: Share of jobs that are of a wide kind.
        wide_jobs: The wide kinds.
        work_range_s: Shortest and longest run time of tasks that end.
        max_open_jobs: Number of its open jobs beyond which it submits no
            further one.
    """

    __slots__ = (
        "_caller_ports",
        "_checker",
        "_client",
        "_max_open_jobs",
        "_queue",
        "_rng",
        "_wide_jobs",
        "_wide_share",
        "_work_range_s",
        "_work_s",
    )

    def __init__(
        self,
        *,
        checker: checks.Checker,
        caller_ports: typing.Mapping[str, int],
        queue: queues.Queue,
        rng: random.Random,
        work_s: dict[str, float],
        wide_share: float = 0.0,
        wide_jobs: registry.Registry[JobMaker] = WIDE_JOBS,
        work_range_s: tuple[float, float] = WORK_RANGE_S,
        max_open_jobs: float = math.inf,
    ):
        self._checker = checker
        self._caller_ports = caller_ports
        self._queue = queue
        self._rng = rng
        self._work_s = work_s
        self._wide_share = wide_share
        self._wide_jobs = wide_jobs
        self._work_range_s = work_range_s
        self._max_open_jobs = max_open_jobs
        self._client = httpx.AsyncClient(timeout=CALL_TIMEOUT_S)

    async def run(self, until_s: float) -> None:
        """Make requests until a given time.

        Args:
            until_s: End time in seconds since the start of the soak.
        """
        own_jobs: list[checks.SentJob] = []
        async with self._client:
            while self._checker.now_s() < until_s:
                await anyio.sleep(self._rng.uniform(0.05, 0.5))
                roll = self._rng.random()
                if not own_jobs or (
                    roll < SUBMIT_SHARE
                    and self._count_open(own_jobs) < self._max_open_jobs
                ):
                    own_jobs.append(await self.submit())
                elif roll < SUBMIT_SHARE + CANCEL_SHARE:
                    await self.cancel(self._rng.choice(own_jobs))
                else:
                    await self.query_state(self._rng.choice(own_jobs))

    def _count_open(self, own_jobs: list[checks.SentJob]) -> int:
        return sum(
            len(sent.ended) < len(sent.names())
            for sent in own_jobs
            if sent.is_accepted and not sent.is_cancel_sent
        )

    async def query_finished_jobs(self) -> None:
        """Query all finished jobs not yet reported as completed."""
        for sent in list(self._checker.sent.values()):
            if len(sent.ended) < len(sent.names()):
                continue
            if sent.is_accepted and not sent.is_reported_completed:
                await self.query_state(sent)

    async def _call(
        self, method: str, job_id: str, content: bytes = b""
    ) -> tuple[int, dict]:
        """Make one attempt; return its status and answer.

        The status is 503 if the connection failed, and 0 if there was no
        answer.
        """
        port = self._caller_ports[self._rng.choice(sorted(self._caller_ports))]
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

    def _make_job(self, steps: list[specs.StepSpec]) -> specs.JobSpec:
        job_id = f"{self._rng.getrandbits(64):016x}"
        steps = steps or self._make_steps()
        is_standing = steps[0].is_standing
        work_s = 1e6 if is_standing else self._rng.uniform(*self._work_range_s)
        self._work_s[job_id] = work_s
        return specs.JobSpec(
            id=job_id,
            queue=self._queue,
            payload=f"payload of {job_id}",
            steps=steps,
        )

    def _make_steps(self) -> list[specs.StepSpec]:
        # Without wide jobs, the random choices stay those of earlier seeds.
        if self._wide_share and self._rng.random() < self._wide_share:
            kind = self._rng.choice(self._wide_jobs.names())
            return self._wide_jobs.get(kind)(self._rng)
        return self._make_mixed_steps()

    def _make_mixed_steps(self) -> list[specs.StepSpec]:
        is_standing = self._rng.random() < LONG_RUNNING_SHARE
        return [
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

    async def submit(
        self, steps: typing.Sequence[specs.StepSpec] = ()
    ) -> checks.SentJob:
        """Submit a job.

        Args:
            steps: Its steps; empty for random ones.
        """
        sent = checks.SentJob(spec=self._make_job(list(steps)))
        self._checker.sent[sent.spec.id] = sent
        body = standins.encode_job(sent.spec)
        for _attempt in range(MAX_ATTEMPTS):
            was_unknown, sent.is_unknown = sent.is_unknown, True
            status, _answer = await self._call("POST", sent.spec.id, body)
            if status == 200:
                sent.is_accepted = True
                return sent
            if status in (429, 503):
                sent.is_refused = True
                sent.is_unknown = was_unknown
            await anyio.sleep(RETRY_DELAY_S)
        return sent

    async def query_state(self, sent: checks.SentJob) -> None:
        """Query the state of a job and check the answer.

        Args:
            sent: The job.
        """
        was_accepted = sent.is_accepted
        status, answer = await self._call("GET", sent.spec.id)
        if status == 200:
            self._checker.check_state(sent, answer["state"])
        elif status == 410 and was_accepted:
            self._checker.check_state(sent, "")

    async def cancel(self, sent: checks.SentJob) -> None:
        """Cancel a job, unless it was not accepted.

        Args:
            sent: The job.
        """
        if not sent.is_accepted:
            return
        sent.is_cancel_sent = True
        for _attempt in range(MAX_ATTEMPTS):
            status, _answer = await self._call("DELETE", sent.spec.id)
            if status in (200, 410):
                if not sent.cancelled_at_s:
                    sent.cancelled_at_s = self._checker.now_s()
                return
            await anyio.sleep(RETRY_DELAY_S)

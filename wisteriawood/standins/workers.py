"""Stand-in for a worker that runs attempts, with fault injection."""

import dataclasses
import typing

import anyio
from anyio import abc
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from wisteriawood.contracts import resources
from wisteriawood.contracts import tasks
from wisteriawood import errors
from wisteriawood.links.codecs import rows
from wisteriawood.links import workers
from wisteriawood.standins import targets

MAX_ENDED_ATTEMPTS = 1000


@dataclasses.dataclass(slots=True, kw_only=True)
class WorkerFaults:
    """Faults to inject.

    Attributes:
        frozen: Whether calls time out without an effect.
        fails_everything: Whether each attempt fails as soon as it starts.
        slow_s: Delay before each call in seconds.
        usage_lag_s: Age of usage reports in seconds.
    """

    frozen: bool = False
    fails_everything: bool = False
    slow_s: float = 0.0
    usage_lag_s: float = 2.0


@dataclasses.dataclass(slots=True, kw_only=True)
class RunRecord:
    """The worker's record of an attempt, for the checks of invariants.

    Attributes:
        task: Id of the task.
        attempt: Number of the attempt.
        started_s: Monotonic time of the start in seconds.
        stopped_s: Monotonic time of the end in seconds; 0 while it runs.
        resumed_from: Key of the checkpoint it resumed from; empty for none.
        end: State in which it ended; empty while it runs.
        traceparent: Trace context of the start command.
        needs: Resources allocated to it.
        is_told: Whether it was stopped by a command and not by the end of
            its lease.
    """

    task: str
    attempt: int
    started_s: float
    stopped_s: float = 0.0
    resumed_from: str = ""
    end: str = ""
    traceparent: str = ""
    needs: resources.Resources = resources.NOTHING
    is_told: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class Attempt:
    """An attempt on the worker.

    Attributes:
        spec: Specification of the task.
        number: Number of the attempt.
        state: State of the attempt.
        lease_ends_s: Monotonic time in seconds at which the lease ends.
        done_s: Work done so far, in seconds at full speed.
        run_s: Total work in seconds at full speed; 0 for unlimited.
        share: Share of its resources that it may use, 0 to 1.
        address: Address of the target that it serves.
        record: Record of the attempt.
        stop: Event that stops the server of the target.
        reason: Reason for its failure.
    """

    spec: tasks.TaskSpec
    number: int
    state: workers.AttemptState = workers.AttemptState.RUNNING
    lease_ends_s: float = 0.0
    done_s: float = 0.0
    run_s: float = 0.0
    share: float = 1.0
    address: str = ""
    record: RunRecord
    stop: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    reason: str = ""


ServeTarget = typing.Callable[[Attempt], typing.Awaitable[None]]


class StandinWorker:
    """Simulates the run times of tasks; does not enforce its capacity.

    Args:
        name: Name of the worker.
        capacity: Resources that it reports.
        objects: Object store for checkpoints, with put_object and
            get_object.
        serve_target: Serves the target of a service attempt, if any.

    Attributes:
        attempts: Known attempts, by task id and attempt number.
        boots: Number of starts of the worker process.
        faults: Faults to inject.
        records: Records of all attempts that were started.
    """

    __slots__ = (
        "_objects",
        "_serve_target",
        "attempts",
        "boots",
        "capacity",
        "faults",
        "group",
        "name",
        "records",
    )

    def __init__(
        self,
        *,
        name: str,
        capacity: resources.Resources,
        objects: typing.Any,
        serve_target: ServeTarget | None = None,
    ):
        self.name = name
        self.capacity = capacity
        self.faults = WorkerFaults()
        self.boots = 1
        self.attempts: dict[tuple[str, int], Attempt] = {}
        self.records: list[RunRecord] = []
        self.group: abc.TaskGroup | None = None
        self._objects = objects
        self._serve_target = serve_target

    async def _apply_faults(self) -> None:
        if self.faults.slow_s:
            await anyio.sleep(self.faults.slow_s)
        if self.faults.frozen:
            await anyio.sleep(workers.CALL_TIMEOUT_S)
            raise errors.LinkClosedError("frozen")

    async def run(self) -> None:
        """Run the task group of the attempts until cancelled."""
        async with anyio.create_task_group() as group:
            self.group = group
            await anyio.sleep_forever()

    async def start(self, command: workers.StartCommand) -> bool:
        """Start an attempt.

        Returns:
            Whether the attempt is known; False if the latest time to start
            it has passed.
        """
        await self._apply_faults()
        now_s = anyio.current_time()
        key = (command.spec.id, command.attempt)
        if now_s > command.not_after_s or key in self.attempts:
            return key in self.attempts
        attempt = Attempt(
            spec=command.spec,
            number=command.attempt,
            lease_ends_s=now_s + command.lease_s,
            run_s=float(
                command.spec.arguments.get("run_s", command.spec.run_s)
            ),
            record=RunRecord(
                task=command.spec.id,
                attempt=command.attempt,
                started_s=now_s,
                resumed_from=command.checkpoint,
                traceparent=command.traceparent,
                needs=command.spec.needs,
            ),
        )
        if command.checkpoint:
            data = await self._objects.get_object(command.checkpoint)
            attempt.done_s = float(data or b"0")
        self.attempts[key] = attempt
        self.records.append(attempt.record)
        self._forget_ended()
        self.group.start_soon(self._run_attempt, attempt)
        return True

    def _forget_ended(self) -> None:
        ended = [
            key
            for key, attempt in self.attempts.items()
            if attempt.state != workers.AttemptState.RUNNING
        ]
        for key in ended[:-MAX_ENDED_ATTEMPTS]:
            del self.attempts[key]

    async def _run_attempt(self, attempt: Attempt) -> None:
        if self.faults.fails_everything or attempt.spec.arguments.get("fails"):
            attempt.reason = "failed as told"
            self._end(attempt, workers.AttemptState.FAILED)
            return
        is_service = attempt.spec.kind == tasks.TaskKind.SERVICE
        if is_service and self._serve_target is not None:
            self.group.start_soon(self._serve_target, attempt)
        last_s = anyio.current_time()
        while attempt.state == workers.AttemptState.RUNNING:
            if attempt.run_s and attempt.done_s >= attempt.run_s - 1e-9:
                self._end(attempt, workers.AttemptState.FINISHED)
                return
            left_s = attempt.lease_ends_s - anyio.current_time()
            if left_s <= 0:
                self._end(attempt, workers.AttemptState.STOPPED)
                return
            if attempt.run_s:
                speed = max(attempt.share, 0.01)
                left_s = min(left_s, (attempt.run_s - attempt.done_s) / speed)
            await anyio.sleep(min(left_s, 0.1))
            now_s = anyio.current_time()
            attempt.done_s += attempt.share * (now_s - last_s)
            last_s = now_s

    def _end(self, attempt: Attempt, state: workers.AttemptState) -> None:
        attempt.state = state
        attempt.record.stopped_s = anyio.current_time()
        attempt.record.end = state
        attempt.stop.set()

    async def renew(self, command: workers.RenewCommand) -> None:
        """Renew the leases of attempts."""
        await self._apply_faults()
        now_s = anyio.current_time()
        if now_s > command.not_after_s:
            return
        for task, number in command.attempts.items():
            attempt = self.attempts.get((task, number))
            if attempt is not None:
                attempt.lease_ends_s = now_s + command.lease_s

    async def checkpoint(self, task: str, attempt: int) -> str:
        """Write a checkpoint and return its object key.

        Returns an empty string for an unknown attempt.
        """
        await self._apply_faults()
        found = self.attempts.get((task, attempt))
        if found is None:
            return ""
        key = f"checkpoint/{task}/{attempt}"
        await self._objects.put_object(key, repr(found.done_s).encode())
        return key

    async def throttle(self, task: str, attempt: int, share: float) -> None:
        """Limit an attempt to a share of its resources, 0 to 1."""
        await self._apply_faults()
        found = self.attempts.get((task, attempt))
        if found is not None:
            found.share = share

    async def stop(self, task: str, attempt: int) -> None:
        """Stop an attempt."""
        await self._apply_faults()
        found = self.attempts.get((task, attempt))
        if found and found.state == workers.AttemptState.RUNNING:
            found.record.is_told = True
            self._end(found, workers.AttemptState.STOPPED)

    def forget_attempts(self) -> None:
        """End and forget all attempts, as a restart of the process does."""
        for attempt in self.attempts.values():
            if attempt.state == workers.AttemptState.RUNNING:
                self._end(attempt, workers.AttemptState.STOPPED)
        self.attempts.clear()
        self.boots += 1

    async def inventory(self) -> workers.Inventory:
        """Return all known attempts, running and ended."""
        await self._apply_faults()
        return workers.Inventory(
            worker=self.name,
            clock_s=anyio.current_time(),
            capacity=self.capacity,
            boot=f"{self.name}.{self.boots}",
            attempts=[
                workers.AttemptReport(
                    task=attempt.spec.id,
                    attempt=attempt.number,
                    state=attempt.state,
                    address=attempt.address,
                    reason=attempt.reason,
                    progress=(
                        min(1.0, attempt.done_s / attempt.run_s)
                        if attempt.run_s
                        else 0.0
                    ),
                    throttle=attempt.share,
                    spec=attempt.spec,
                )
                for attempt in self.attempts.values()
            ],
        )

    async def usage(self) -> list[workers.UsageReport]:
        """Return usage reports that are usage_lag_s old."""
        await self._apply_faults()
        measured_s = anyio.current_time() - self.faults.usage_lag_s
        return [
            workers.UsageReport(
                task=attempt.spec.id,
                attempt=attempt.number,
                used=attempt.spec.needs,
                speed=attempt.share,
                measured_s=measured_s,
            )
            for attempt in self.attempts.values()
            if attempt.state == workers.AttemptState.RUNNING
            and attempt.record.started_s <= measured_s
        ]

    async def aclose(self) -> None:
        """Do nothing; the worker keeps running."""


class WorkerApp:
    """HTTP interface of the worker stand-in.

    Args:
        worker: The worker stand-in.
        served: All targets that the worker serves or has served.
    """

    __slots__ = ("served", "worker")

    def __init__(
        self,
        *,
        worker: StandinWorker,
        served: list[targets.StandinTarget],
    ):
        self.worker = worker
        self.served = served

    async def start(self, request: requests.Request) -> responses.Response:
        """Answer POST /start."""
        command = rows.from_json(await request.body(), workers.StartCommand)
        started = await self.worker.start(command)
        return responses.PlainTextResponse("\n", 200 if started else 409)

    async def renew(self, request: requests.Request) -> responses.Response:
        """Answer POST /renew."""
        command = rows.from_json(await request.body(), workers.RenewCommand)
        await self.worker.renew(command)
        return responses.PlainTextResponse("\n")

    async def checkpoint(
        self, request: requests.Request
    ) -> responses.Response:
        """Answer POST /checkpoint."""
        body = await request.json()
        key = await self.worker.checkpoint(body["task"], body["attempt"])
        if not key:
            return responses.PlainTextResponse("no such attempt\n", 404)
        return responses.JSONResponse({"checkpoint": key})

    async def throttle(self, request: requests.Request) -> responses.Response:
        """Answer POST /throttle."""
        body = await request.json()
        await self.worker.throttle(
            body["task"], body["attempt"], body["share"]
        )
        return responses.PlainTextResponse("\n")

    async def stop(self, request: requests.Request) -> responses.Response:
        """Answer POST /stop."""
        body = await request.json()
        await self.worker.stop(body["task"], body["attempt"])
        return responses.PlainTextResponse("\n")

    async def inventory(
        self, _request: requests.Request
    ) -> responses.Response:
        """Answer GET /inventory."""
        return responses.Response(
            rows.to_json(await self.worker.inventory()),
            media_type="application/json",
        )

    async def usage(self, _request: requests.Request) -> responses.Response:
        """Answer GET /usage."""
        return responses.Response(
            rows.to_json(await self.worker.usage()),
            media_type="application/json",
        )

    async def records(self, _request: requests.Request) -> responses.Response:
        """Answer GET /standin/records: the records of all attempts."""
        return responses.Response(
            rows.to_json(self.worker.records), media_type="application/json"
        )

    async def counts(self, _request: requests.Request) -> responses.Response:
        """Answer GET /standin/counts: the counts of its targets."""
        return responses.Response(
            rows.to_json([target.counts for target in self.served]),
            media_type="application/json",
        )

    async def faults(self, request: requests.Request) -> responses.Response:
        """Answer PUT /standin/faults: set the faults to inject."""
        self.worker.faults = rows.from_json(await request.body(), WorkerFaults)
        return responses.PlainTextResponse("set\n")

    def make_app(self) -> applications.Starlette:
        """Return the ASGI application."""

        async def _refuse(_request, exc):
            return responses.PlainTextResponse(str(exc) + "\n", 503)

        post = ["POST"]
        return applications.Starlette(
            routes=[
                routing.Route("/start", self.start, methods=post),
                routing.Route("/renew", self.renew, methods=post),
                routing.Route("/checkpoint", self.checkpoint, methods=post),
                routing.Route("/throttle", self.throttle, methods=post),
                routing.Route("/stop", self.stop, methods=post),
                routing.Route("/inventory", self.inventory),
                routing.Route("/usage", self.usage),
                routing.Route("/standin/records", self.records),
                routing.Route("/standin/counts", self.counts),
                routing.Route("/standin/faults", self.faults, methods=["PUT"]),
            ],
            exception_handlers={
                errors.LinkError: _refuse,
                errors.PlatformError: _refuse,
            },
        )

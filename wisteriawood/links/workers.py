"""Link to a worker of the platform."""

import dataclasses
import enum
import typing

import httpx

from wisteriawood.contracts import resources
from wisteriawood.contracts import tasks
from wisteriawood import errors
from wisteriawood.links import clients
from wisteriawood.links.codecs import rows

CALL_TIMEOUT_S = 2.0


class AttemptState(enum.StrEnum):
    """State of an attempt, as its worker reports it."""

    RUNNING = "running"
    STOPPED = "stopped"
    FINISHED = "finished"
    FAILED = "failed"


@dataclasses.dataclass(slots=True, kw_only=True)
class StartCommand:
    """Command to start one attempt of a task.

    Attributes:
        spec: The task.
        attempt: Number of the attempt.
        lease_s: Seconds for which it may run without a renewal.
        not_after_s: Latest start time, on the worker's clock.
        checkpoint: Object key of the checkpoint to resume from; empty to
            start from the beginning.
        traceparent: W3C trace context of the command.
    """

    spec: tasks.TaskSpec
    attempt: int
    lease_s: float
    not_after_s: float
    checkpoint: str = ""
    traceparent: str = ""


@dataclasses.dataclass(slots=True, kw_only=True)
class RenewCommand:
    """Command to renew the leases of attempts.

    Attributes:
        attempts: Attempt number by task id.
        lease_s: Seconds for which they may run without a further renewal.
        not_after_s: Latest time of the renewal, on the worker's clock.
    """

    attempts: dict[str, int]
    lease_s: float
    not_after_s: float


@dataclasses.dataclass(slots=True, kw_only=True)
class AttemptReport:
    """State of one attempt, as reported by its worker.

    Attributes:
        task: Id of the task.
        attempt: Number of the attempt.
        state: State of the attempt.
        address: Address of the target if the task is a service; else
            empty.
        reason: Reason for a failure.
        progress: Fraction of the work that is done, 0 to 1.
        throttle: Fraction of its resources that it may use, 0 to 1.
        spec: The task, so that a new holder of the rack knows which
            resources it needs.
    """

    task: str
    attempt: int
    state: AttemptState
    address: str = ""
    reason: str = ""
    progress: float = 0.0
    throttle: float = 1.0
    spec: tasks.TaskSpec | None = None


@dataclasses.dataclass(slots=True, kw_only=True)
class Inventory:
    """All attempts that are known to a worker.

    Attributes:
        worker: Name of the worker.
        clock_s: Time of the worker's monotonic clock in seconds.
        capacity: Resources that the worker offers.
        boot: Id of this instance of the worker process; a restart changes
            it and loses all attempts.
        attempts: Running and recently ended attempts.
    """

    worker: str
    clock_s: float
    capacity: resources.Resources
    boot: str = ""
    attempts: list[AttemptReport] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True, kw_only=True)
class UsageReport:
    """Resources that one attempt used; it is reported with a lag.

    Attributes:
        task: Id of the task.
        attempt: Number of the attempt.
        used: Average use of resources.
        speed: Speed relative to running alone, 0 to 1; 0 if unknown.
        measured_s: Time of the measurement, on the worker's clock.
    """

    task: str
    attempt: int
    used: resources.Resources
    speed: float = 0.0
    measured_s: float = 0.0


class WorkerLink(typing.Protocol):
    """Calls to a worker; a test bench may provide its own implementation.

    Every call raises LinkRefusedError if no process listens at the
    address, and LinkClosedError if the outcome is unknown.
    """

    async def start(self, command: StartCommand) -> bool:
        """Start an attempt; return whether the worker accepted it."""

    async def renew(self, command: RenewCommand) -> None:
        """Renew the leases of attempts."""

    async def checkpoint(self, task: str, attempt: int) -> str:
        """Write a checkpoint and return its object key; empty if refused."""

    async def throttle(self, task: str, attempt: int, share: float) -> None:
        """Limit an attempt to a fraction of its resources, 0 to 1."""

    async def stop(self, task: str, attempt: int) -> None:
        """Stop an attempt and return once it has stopped."""

    async def inventory(self) -> Inventory:
        """Return all attempts that are known to the worker."""

    async def usage(self) -> list[UsageReport]:
        """Return the latest usage reports."""

    async def aclose(self) -> None:
        """Close the link."""


class HttpWorker:
    """A worker that is called over HTTP with JSON bodies.

    Args:
        address: Address of the worker, as host:port.
        timeout_s: Timeout of a call, in seconds.
    """

    __slots__ = ("_client",)

    def __init__(self, *, address: str, timeout_s: float = CALL_TIMEOUT_S):
        self._client = clients.Client(
            url=f"http://{address}", timeout_s=timeout_s
        )

    async def _call(
        self, method: str, path: str, body: typing.Any = None
    ) -> httpx.Response:
        content = b"" if body is None else rows.to_json(body)
        try:
            response = await self._client.request(
                method, path, content=content
            )
        except httpx.ConnectError as exc:
            raise errors.LinkRefusedError(
                "the worker refused the connection"
            ) from exc
        except httpx.HTTPError as exc:
            raise errors.LinkClosedError(
                f"the call to the worker failed: {exc!r}"
            ) from exc
        if response.status_code >= 500:
            raise errors.LinkClosedError(
                f"the worker answered with status {response.status_code}"
            )
        return response

    async def start(self, command: StartCommand) -> bool:
        """Start an attempt; return whether the worker accepted it."""
        response = await self._call("POST", "/start", command)
        return response.status_code == 200

    async def renew(self, command: RenewCommand) -> None:
        """Renew the leases of attempts."""
        await self._call("POST", "/renew", command)

    async def checkpoint(self, task: str, attempt: int) -> str:
        """Write a checkpoint and return its object key; empty if refused."""
        response = await self._call(
            "POST", "/checkpoint", {"task": task, "attempt": attempt}
        )
        if response.status_code != 200:
            return ""
        return response.json()["checkpoint"]

    async def throttle(self, task: str, attempt: int, share: float) -> None:
        """Limit an attempt to a fraction of its resources, 0 to 1."""
        await self._call(
            "POST",
            "/throttle",
            {"task": task, "attempt": attempt, "share": share},
        )

    async def stop(self, task: str, attempt: int) -> None:
        """Stop an attempt and return once it has stopped."""
        await self._call("POST", "/stop", {"task": task, "attempt": attempt})

    async def inventory(self) -> Inventory:
        """Return all attempts that are known to the worker."""
        response = await self._call("GET", "/inventory")
        return rows.from_json(response.content, Inventory)

    async def usage(self) -> list[UsageReport]:
        """Return the latest usage reports."""
        response = await self._call("GET", "/usage")
        return rows.from_json(response.content, list[UsageReport])

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()

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
    """Order to start one attempt of a task.

    Attributes:
        spec: The task.
        attempt: Number of the attempt.
        lease_s: Seconds it may run without a renewal.
        not_after_s: Latest time of the worker's clock to start at.
        checkpoint: Object key to resume from; empty to start anew.
        traceparent: W3C trace context of the order.
    """

    spec: tasks.TaskSpec
    attempt: int
    lease_s: float
    not_after_s: float
    checkpoint: str = ""
    traceparent: str = ""


@dataclasses.dataclass(slots=True, kw_only=True)
class RenewCommand:
    """Order to renew the leases of attempts.

    Attributes:
        attempts: Attempt number by task id.
        lease_s: Seconds they may run without a further renewal.
        not_after_s: Latest time of the worker's clock to renew at.
    """

    attempts: dict[str, int]
    lease_s: float
    not_after_s: float


@dataclasses.dataclass(slots=True, kw_only=True)
class AttemptReport:
    """What a worker says of one attempt.

    Attributes:
        task: Id of the task.
        attempt: Number of the attempt.
        state: State of the attempt.
        address: Address of the target that a service runs; else empty.
        reason: Why it failed.
        progress: Share of the work that is done, 0 to 1.
        throttle: Share of its resources that it may use, 0 to 1.
        spec: The task, so that a new holder knows what it needs.
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
    """All attempts that a worker knows of.

    Attributes:
        worker: Name of the worker.
        clock_s: Time of the worker's monotonic clock in seconds.
        capacity: What the worker offers.
        boot: Id of this start of the worker; it loses all with it.
        attempts: Running attempts and those that ended lately.
    """

    worker: str
    clock_s: float
    capacity: resources.Resources
    boot: str = ""
    attempts: list[AttemptReport] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True, kw_only=True)
class UsageReport:
    """What one attempt used, with a lag.

    Attributes:
        task: Id of the task.
        attempt: Number of the attempt.
        used: Resources used on average.
        speed: Speed against running alone, 0 to 1; 0 if not known.
        measured_s: Time of the worker's clock at the measurement.
    """

    task: str
    attempt: int
    used: resources.Resources
    speed: float = 0.0
    measured_s: float = 0.0


class WorkerLink(typing.Protocol):
    """What a worker can be asked; the users' bench can stand in here.

    Every call raises LinkRefusedError where nobody listens and
    LinkClosedError where the outcome is not known.
    """

    async def start(self, command: StartCommand) -> bool:
        """Start an attempt; False if the worker refuses."""

    async def renew(self, command: RenewCommand) -> None:
        """Renew the leases of attempts."""

    async def checkpoint(self, task: str, attempt: int) -> str:
        """Write a checkpoint and return its object key."""

    async def throttle(self, task: str, attempt: int, share: float) -> None:
        """Limit an attempt to a share of its resources, 0 to 1."""

    async def stop(self, task: str, attempt: int) -> None:
        """Stop an attempt and return once it is stopped."""

    async def inventory(self) -> Inventory:
        """Return all attempts that the worker knows of."""

    async def usage(self) -> list[UsageReport]:
        """Return the newest usage reports."""

    async def aclose(self) -> None:
        """Close the link."""


class HttpWorker:
    """A worker over HTTP with JSON.

    Args:
        address: Address of the worker, as host:port.
        timeout_s: Seconds after which a call is given up.
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
            raise errors.LinkRefusedError("the worker refuses") from exc
        except httpx.HTTPError as exc:
            raise errors.LinkClosedError(
                f"the worker does not answer: {exc!r}"
            ) from exc
        if response.status_code >= 500:
            raise errors.LinkClosedError(
                f"the worker answers {response.status_code}"
            )
        return response

    async def start(self, command: StartCommand) -> bool:
        """Start an attempt; False if the worker refuses."""
        response = await self._call("POST", "/start", command)
        return response.status_code == 200

    async def renew(self, command: RenewCommand) -> None:
        """Renew the leases of attempts."""
        await self._call("POST", "/renew", command)

    async def checkpoint(self, task: str, attempt: int) -> str:
        """Write a checkpoint and return its object key."""
        response = await self._call(
            "POST", "/checkpoint", {"task": task, "attempt": attempt}
        )
        if response.status_code != 200:
            return ""
        return response.json()["checkpoint"]

    async def throttle(self, task: str, attempt: int, share: float) -> None:
        """Limit an attempt to a share of its resources, 0 to 1."""
        await self._call(
            "POST",
            "/throttle",
            {"task": task, "attempt": attempt, "share": share},
        )

    async def stop(self, task: str, attempt: int) -> None:
        """Stop an attempt and return once it is stopped."""
        await self._call("POST", "/stop", {"task": task, "attempt": attempt})

    async def inventory(self) -> Inventory:
        """Return all attempts that the worker knows of."""
        response = await self._call("GET", "/inventory")
        return rows.from_json(response.content, Inventory)

    async def usage(self) -> list[UsageReport]:
        """Return the newest usage reports."""
        response = await self._call("GET", "/usage")
        return rows.from_json(response.content, list[UsageReport])

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()

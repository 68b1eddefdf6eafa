"""Link to a worker that runs the tasks of jobs under one lease."""

import dataclasses
import enum
import typing

from wisteriawood import errors
from wisteriawood.jobs import tasks


class StartAnswer(enum.StrEnum):
    """What a worker says to a start."""

    STARTED = "started"
    FENCED = "fenced"
    OLD_RUN = "old-run"
    TOO_LATE = "too-late"
    NO_ROOM = "no-room"
    NO_TICKET = "no-ticket"
    UNHEALTHY = "unhealthy"
    REFUSED = "refused"


@dataclasses.dataclass(slots=True, kw_only=True)
class StartOrder:
    """A command to start a run.

    Attributes:
        task_name: Name of the task.
        run: Number of the run.
        payload: Text of the job, handed on untouched.
        lease_until_ms: End of the worker's lease, on the worker's clock.
        token: Fencing token.
        checkpoint: From where the run resumes; empty for the start.
        ticket: Permission of the advice service; empty for none.
    """

    task_name: str
    run: int
    payload: str
    lease_until_ms: int
    token: int
    checkpoint: str = ""
    ticket: str = ""


@dataclasses.dataclass(slots=True, kw_only=True)
class ActiveRun:
    """A run that is on a worker.

    Attributes:
        task_name: Name of the task.
        run: Number of the run.
        checkpoint: Newest checkpoint; empty for none.
        percent: Share of full speed at which it works.
        signal: Tail latency in milliseconds of a serving task, processor
            in use in thousandths of a core of any other.
    """

    task_name: str
    run: int
    checkpoint: str = ""
    percent: float = 0.0
    signal: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True)
class EndedRun:
    """The end of a run, listed until it is acknowledged.

    Attributes:
        number: Number of the end in the life of the worker.
        task_name: Name of the task.
        run: Number of the run.
        outcome: How it ended.
        checkpoint: Last checkpoint; empty for none.
    """

    number: int
    task_name: str
    run: int
    outcome: tasks.Outcome
    checkpoint: str = ""


@dataclasses.dataclass(slots=True, kw_only=True)
class RunReport:
    """What a worker says of its runs.

    Attributes:
        born_unix_ms: Start of this life of the worker.
        clock_ms: The worker's clock.
        active: Runs that are there.
        ended: Ends that have not been acknowledged, by number.
    """

    born_unix_ms: int
    clock_ms: int
    active: list[ActiveRun]
    ended: list[EndedRun]


class FencedError(errors.LinkError):
    """The worker has seen a higher fencing token."""


class OtherInstanceError(errors.LinkError):
    """Another life of the worker answers at its address."""


class RunLink(typing.Protocol):
    """Calls to one worker.

    Every call raises LinkError when there is no answer; the command may
    then have been carried out, or may be later.
    """

    async def start(self, order: StartOrder) -> StartAnswer:
        """Start a run."""

    async def stop(self, task_name: str, run: int, token: int) -> None:
        """Stop a run; it is refused for good if it isn't there yet.

        Raises:
            FencedError: The worker has seen a higher token.
        """

    async def pace(
        self, task_name: str, run: int, percent: int, token: int
    ) -> None:
        """Let a run work at a share of its speed.

        Raises:
            FencedError: The worker has seen a higher token.
        """

    async def renew(
        self,
        *,
        token: int,
        acknowledged: int,
        lease_until_ms: int,
        wait_ms: int,
    ) -> RunReport:
        """Renew the lease, acknowledge ends and return the runs.

        Args:
            token: Fencing token.
            acknowledged: Number of the last end that is in the store.
            lease_until_ms: End of the lease, on the worker's clock; 0 to
                leave it.
            wait_ms: Longest time to wait for an end.

        Raises:
            FencedError: The worker has seen a higher token.
            OtherInstanceError: Another life of the worker answers.
        """

    async def aclose(self) -> None:
        """Close the connections."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Registration:
    """A worker in the directory, which lags.

    Attributes:
        worker_id: Its id.
        service: Service to whose pool it belongs.
        address: Its address, as host:port.
        zone: Its availability zone.
        labels: Its labels; one of them is its rack.
        rack: Its rack; empty if unknown.
        cpu_millicores: Processor that it has.
        memory_mb: Memory that it has.
        accelerators: Accelerators that it has.
        is_draining: Whether it leaves soon.
        remaining_ms: Least time that a draining worker has left.
        born_unix_ms: Start of this life; 0 if unknown.
    """

    worker_id: str
    service: str
    address: str
    zone: str
    labels: list[str] = dataclasses.field(default_factory=list)
    rack: str = ""
    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    is_draining: bool = False
    remaining_ms: int = 0
    born_unix_ms: int = 0

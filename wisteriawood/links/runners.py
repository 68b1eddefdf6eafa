"""Link to a worker that runs the tasks of jobs under a single lease."""

import dataclasses
import enum
import typing

from wisteriawood import errors
from wisteriawood.jobs import tasks


class StartResult(enum.StrEnum):
    """Answer of a worker to a command to start a run."""

    STARTED = "started"
    FENCED = "fenced"
    OLD_RUN = "old-run"
    TOO_LATE = "too-late"
    NO_CAPACITY = "no-room"
    NO_TICKET = "no-ticket"
    UNHEALTHY = "unhealthy"
    REFUSED = "refused"


@dataclasses.dataclass(slots=True, kw_only=True)
class StartRunCommand:
    """A command to start a run.

    Attributes:
        task_name: Name of the task.
        run: Number of the run.
        payload: Text of the job, passed to the worker unchanged.
        lease_until_ms: End of the worker's lease, on the worker's clock.
        token: Fencing token.
        started_unix_ms: Start time of the instance of the worker process on
            whose clock the lease ends. No other instance gets the command.
        least_clock_ms: Least time that the clock of that instance shows when
            the command arrives.
        checkpoint: Checkpoint from which the run resumes; empty to start
            from the beginning.
        ticket: Permission from the advice service; empty for none.
    """

    task_name: str
    run: int
    payload: str
    lease_until_ms: int
    token: int
    started_unix_ms: int = 0
    least_clock_ms: float = 0.0
    checkpoint: str = ""
    ticket: str = ""


@dataclasses.dataclass(slots=True, kw_only=True)
class ActiveRun:
    """A run that is present on a worker.

    Attributes:
        task_name: Name of the task.
        run: Number of the run.
        checkpoint: Latest checkpoint; empty for none.
        percent: Speed at which it runs, as a percentage of full speed.
        signal: For a serving task its tail latency in milliseconds, for
            any other task its CPU use in millicores.
    """

    task_name: str
    run: int
    checkpoint: str = ""
    percent: float = 0.0
    signal: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True)
class EndedRun:
    """The end of a run, reported until it is acknowledged.

    Attributes:
        number: Sequence number of the end within this instance of the
            worker process.
        task_name: Name of the task.
        run: Number of the run.
        outcome: Outcome of the run.
        checkpoint: Last checkpoint; empty for none.
    """

    number: int
    task_name: str
    run: int
    outcome: tasks.Outcome
    checkpoint: str = ""


@dataclasses.dataclass(slots=True, kw_only=True)
class RunReport:
    """Runs of a worker, as the worker reports them.

    Attributes:
        started_unix_ms: Start time of this instance of the worker process.
        clock_ms: Time on the worker's clock.
        active: Runs that are present on the worker.
        ended: Ends that have not been acknowledged, in order of their
            number.
        is_complete: Whether `ended` has all such ends.
    """

    started_unix_ms: int
    clock_ms: int
    active: list[ActiveRun]
    ended: list[EndedRun]
    is_complete: bool = True


class FencedError(errors.LinkError):
    """The worker has received a higher fencing token."""


class OtherInstanceError(errors.LinkError):
    """Another worker answers at the address."""


class NotSentError(errors.LinkClosedError):
    """There is no connection to the worker; the call was not sent."""


class RestartedError(errors.LinkError):
    """The worker process has restarted; the call was not sent to it."""


class MisdirectedError(errors.LinkError):
    """Another instance of the worker process has carried out a command.

    It has taken the end of the lease as one on its own clock.
    """


def check_clock(command: StartRunCommand, clock_ms: float) -> None:
    """Check that the intended instance has carried out a command.

    Args:
        command: The command.
        clock_ms: The clock in the answer.

    Raises:
        MisdirectedError: The clock is that of a later instance.
    """
    if clock_ms < command.least_clock_ms:
        raise MisdirectedError(
            f"the worker has restarted: its clock shows {clock_ms:.0f} ms, "
            f"at least {command.least_clock_ms:.0f} ms are expected"
        )


class RunLink(typing.Protocol):
    """Calls to one worker.

    Every call raises LinkError if there is no answer; the command may
    then have been executed, or may still be executed later. What holds for
    one instance of the worker's process, the end of a lease and the number
    of an end, reaches no other instance.
    """

    async def start(self, command: StartRunCommand) -> StartResult:
        """Start a run.

        Raises:
            NotSentError: There is no connection to the worker.
            RestartedError: The worker process has restarted.
            MisdirectedError: It has, and has carried out the command.
        """

    async def stop(self, task_name: str, run: int, token: int) -> None:
        """Stop a run; if it has not arrived yet, its start will be refused.

        Raises:
            FencedError: The worker has received a higher token.
        """

    async def pace(
        self, task_name: str, run: int, percent: int, token: int
    ) -> None:
        """Limit a run to a percentage of its full speed.

        Raises:
            FencedError: The worker has received a higher token.
        """

    async def renew(
        self,
        *,
        token: int,
        acknowledged: int,
        lease_until_ms: int,
        wait_ms: int,
        started_unix_ms: int = 0,
    ) -> RunReport:
        """Renew the lease, acknowledge ended runs and return a report.

        Args:
            token: Fencing token.
            acknowledged: Number of the last end that has been stored.
            lease_until_ms: End of the lease, on the worker's clock; 0 to
                leave it unchanged.
            wait_ms: Maximum time to wait for a run to end.
            started_unix_ms: Start time of the instance of the worker process
                that the numbers are of; 0 if there are none, for any
                instance.

        Raises:
            FencedError: The worker has received a higher token.
            OtherInstanceError: Another worker answers.
            RestartedError: Another instance of the worker process answers.
        """

    async def aclose(self) -> None:
        """Close the connections."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Registration:
    """A worker in the directory, which may be out of date.

    Attributes:
        worker_id: Id of the worker, which hosts keep in rows and messages.
        full_id: Id by which the worker knows itself, if that one is longer;
            empty if it is the same.
        service: Service whose pool the worker belongs to.
        address: Address of the worker, as host:port.
        zone: Availability zone of the worker.
        labels: Labels of the worker; one of them names its rack.
        rack: Rack of the worker; empty if unknown.
        cpu_millicores: CPU capacity in millicores.
        memory_mb: Memory capacity in megabytes.
        accelerators: Number of accelerators.
        is_draining: Whether the worker is about to be removed.
        remaining_ms: Minimum time until a draining worker is removed.
        started_unix_ms: Start time of this instance of the worker process;
            0 if unknown.
        clock_ms: The worker's clock when it wrote the entry; 0 if unknown.
            Entries that differ in nothing else are equal.
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
    started_unix_ms: int = 0
    clock_ms: int = dataclasses.field(default=0, compare=False)
    full_id: str = ""

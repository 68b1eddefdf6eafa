"""Tasks, their attempts and their states."""

import dataclasses
import enum

from wisteriawood.contracts import resources


class TaskKind(enum.StrEnum):
    """Kinds of tasks that operators create."""

    SERVICE = "service"
    BATCH = "batch"
    WATCHER = "watcher"


class TaskState(enum.StrEnum):
    """States of a task; each run of a task is a numbered attempt."""

    PENDING = "pending"
    ASSIGNED = "assigned"
    RUNNING = "running"
    STOPPING = "stopping"
    EVICTED = "evicted"
    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"
    IMPOSSIBLE = "impossible"


WAITING_STATES = frozenset({TaskState.PENDING, TaskState.EVICTED})
ENDED_STATES = frozenset(
    {
        TaskState.FINISHED,
        TaskState.FAILED,
        TaskState.CANCELLED,
        TaskState.IMPOSSIBLE,
    }
)


@dataclasses.dataclass(slots=True, kw_only=True)
class TaskSpec:
    """Specification of a task by an operator.

    Attributes:
        id: Unique id of the task.
        team: Team that owns the task.
        kind: Service instance, batch job or watcher.
        needs: Declared resources.
        run_s: Declared run time in seconds; 0 for services and watchers.
        urgent: Whether it may evict others to start at once.
        priority: Precedence among the tasks of its team, highest first.
        task_class: Class for the estimates of interference and size.
        service: Name of the service that a service instance serves.
        slots: Requests that a service instance serves concurrently.
        labels: Labels for selection.
        arguments: Arguments passed to the worker unchanged.
    """

    id: str
    team: str
    kind: TaskKind
    needs: resources.Resources
    run_s: float = 0.0
    urgent: bool = False
    priority: int = 0
    task_class: str = ""
    service: str = ""
    slots: int = 0
    labels: dict[str, str] = dataclasses.field(default_factory=dict)
    arguments: dict[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, kw_only=True)
class Task:
    """The stored state of a task.

    Attributes:
        spec: Specification of the task.
        zone: Availability zone whose schedulers are responsible for it.
        state: State of the newest attempt.
        attempt: Number of the newest attempt; 0 before the first.
        rack: Rack of the newest attempt.
        worker: Worker of the newest attempt.
        worker_address: Address of the worker, as host:port, so that a new
            holder finds it even if it is not in the host list.
        epoch: Epoch of the rack holding under which it was assigned.
        checkpoint: Object key of the newest checkpoint, if any.
        cancel_requested: Whether an operator requested its cancellation.
        submitted_unix_s: Wall time of submission in seconds.
        started_unix_s: Wall time of the newest start in seconds.
        ended_unix_s: Wall time of the end in seconds.
        reason: Why it waits or how it ended, for operators.
        failures: Workers on which attempts failed, oldest first.
    """

    spec: TaskSpec
    zone: str
    state: TaskState = TaskState.PENDING
    attempt: int = 0
    rack: str = ""
    worker: str = ""
    worker_address: str = ""
    epoch: int = 0
    checkpoint: str = ""
    cancel_requested: bool = False
    submitted_unix_s: float = 0.0
    started_unix_s: float = 0.0
    ended_unix_s: float = 0.0
    reason: str = ""
    failures: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True, kw_only=True)
class TaskPointer:
    """The row that points to a task's row.

    Attributes:
        key: Key of the task's row.
    """

    key: str

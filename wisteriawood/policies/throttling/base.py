"""Interface and registry of throttling policies."""

import dataclasses
import typing

from wisteriawood.policies import registry

# A job that causes less slowdown of the services than this, as a logarithm, is
# neither throttled nor evicted.
MIN_HARM = 0.004


@dataclasses.dataclass(slots=True, kw_only=True)
class Aggressor:
    """A batch job on a worker with services.

    Attributes:
        task: Id of the task.
        harm: Predicted slowdown of the services that the job causes at its
            full share, as a logarithm.
        share: Share of its resources that it may use now, 0 to 1.
    """

    task: str
    harm: float
    share: float = 1.0

    def current_harm(self) -> float:
        """Return the slowdown that the job causes at its current share."""
        return self.harm * self.share


@dataclasses.dataclass(slots=True, kw_only=True)
class WorkerView:
    """A worker with services, as a throttling policy sees it.

    Attributes:
        worker: Name of the worker.
        excess: Highest ratio, among the services on the worker, of the
            slowdown to the one that the team allows; above 1 is too much.
        aggressors: Batch jobs on the worker.
        now_s: Monotonic time in seconds.
    """

    worker: str
    excess: float
    aggressors: list[Aggressor]
    now_s: float


@dataclasses.dataclass(slots=True, kw_only=True)
class Throttle:
    """A command to limit a task.

    Attributes:
        task: Id of the task.
        share: Share of its resources that it may use, 0 to 1.
    """

    task: str
    share: float


@dataclasses.dataclass(slots=True, kw_only=True)
class Decision:
    """What to do on a worker.

    Attributes:
        throttles: New limits of tasks.
        evict: Whether to evict a job, as throttling is not sufficient.
    """

    throttles: list[Throttle] = dataclasses.field(default_factory=list)
    evict: bool = False


class ThrottlingPolicy(typing.Protocol):
    """Decides which jobs to limit on workers with slowed services."""

    def decide(self, view: WorkerView) -> Decision:
        """Return what to do on a worker.

        Args:
            view: Current state of the worker.
        """

    def forget(self, worker: str) -> None:
        """Discard the state of a worker that was removed.

        Args:
            worker: Name of the worker.
        """


ThrottlingFactory = typing.Callable[[], ThrottlingPolicy]
THROTTLING: registry.Registry[ThrottlingFactory] = registry.Registry(
    kind="throttling policy"
)
DEFAULT = "step-down"

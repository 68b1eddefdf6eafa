"""What a throttling policy does, and the registry of them."""

import dataclasses
import typing

from wisteriawood.policies import registry

# Slowdown, as a logarithm, below which a job is not worth an order.
LEAST_HARM = 0.004


@dataclasses.dataclass(slots=True, kw_only=True)
class Culprit:
    """A batch job beside services.

    Attributes:
        task: Id of the task.
        harm: Predicted slowdown of the services by it, as a logarithm, if
            it ran at its full share.
        share: Share of its resources that it may use now, 0 to 1.
    """

    task: str
    harm: float
    share: float = 1.0

    def present_harm(self) -> float:
        """Return the slowdown by it at its present share."""
        return self.harm * self.share


@dataclasses.dataclass(slots=True, kw_only=True)
class WorkerView:
    """A worker with services, as a throttling policy sees it.

    Attributes:
        worker: Name of the worker.
        excess: Greatest slowdown of a service on it against what its team
            allows; above 1 is too much.
        culprits: Batch jobs on it.
        now_s: Monotonic time in seconds.
    """

    worker: str
    excess: float
    culprits: list[Culprit]
    now_s: float


@dataclasses.dataclass(slots=True, kw_only=True)
class Throttle:
    """An order to limit a task.

    Attributes:
        task: Id of the task.
        share: Share of its resources that it may use, 0 to 1.
    """

    task: str
    share: float


@dataclasses.dataclass(slots=True, kw_only=True)
class Verdict:
    """What is to be done on a worker.

    Attributes:
        throttles: Orders to limit tasks.
        evict: Whether throttling is not enough, so that one job must go.
    """

    throttles: list[Throttle] = dataclasses.field(default_factory=list)
    evict: bool = False


class ThrottlingPolicy(typing.Protocol):
    """Decides what is limited where services are slowed."""

    def decide(self, view: WorkerView) -> Verdict:
        """Return what is to be done on a worker.

        Args:
            view: The worker.
        """

    def forget(self, worker: str) -> None:
        """Forget a worker that is gone.

        Args:
            worker: Name of the worker.
        """


ThrottlingFactory = typing.Callable[[], ThrottlingPolicy]
THROTTLING: registry.Registry[ThrottlingFactory] = registry.Registry(
    kind="throttling policy"
)
DEFAULT = "step-down"

"""Interface and registry of ordering policies."""

import typing

from wisteriawood.cells import contention
from wisteriawood.cells import interference_models
from wisteriawood.cells import workers
from wisteriawood.jobs import jobs
from wisteriawood.policies import registry

DEFAULT = "most-value"


class OrderingPolicy(typing.Protocol):
    """Decides the order in which the jobs of a cell get workers.

    Each cell has one of its own.

    Attributes:
        plan: The newest selection of filler jobs; None for none.
    """

    plan: contention.Plan | None

    def __init__(self, *, model: interference_models.InterferenceModel):
        """Take the model of how fillers slow latency-sensitive tasks."""

    def prepare(
        self,
        waiting: typing.Iterable[jobs.Job],
        usable: typing.Iterable[workers.Worker],
        now_s: float,
    ) -> None:
        """Prepare a placement pass.

        Args:
            waiting: The jobs with tasks that may start.
            usable: The workers that may get new runs.
            now_s: Monotonic time.
        """

    def sort_key(self, job: jobs.Job, now_s: float) -> tuple:
        """Return the sort key of a job; lower is first.

        Args:
            job: The job.
            now_s: Monotonic time.
        """


ORDERING: registry.Registry[type[OrderingPolicy]] = registry.Registry(
    kind="ordering policy"
)

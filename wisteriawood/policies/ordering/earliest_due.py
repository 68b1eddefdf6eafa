"""Ordering by due time."""

import typing

from wisteriawood.cells import interference_models
from wisteriawood.cells import placers
from wisteriawood.cells import workers
from wisteriawood.jobs import jobs
from wisteriawood.policies.ordering import base


@base.ORDERING.register("earliest-due")
class EarliestDue:
    """Starts the jobs that can meet their objective first, by due time."""

    __slots__ = ("plan",)

    def __init__(self, *, model: interference_models.InterferenceModel):
        del model
        self.plan = None

    def prepare(
        self,
        waiting: typing.Iterable[jobs.Job],
        usable: typing.Iterable[workers.Worker],
        now_s: float,
    ) -> None:
        """Do nothing: each job is ordered by itself."""

    def sort_key(self, job: jobs.Job, now_s: float) -> tuple:
        """Return the sort key of placers.start_order."""
        return placers.start_order(job, now_s)

"""Interface and registry of admission policies."""

import dataclasses
import typing

from wisteriawood.jobs import specs
from wisteriawood.policies import registry

DEFAULT = "in-time"
# Retries are spread over this time by the ids of the jobs, so that refused
# callers don't all return at once.
RETRY_SPREAD_S = 2.0


@dataclasses.dataclass(slots=True, kw_only=True)
class CellView:
    """Load of a cell: the last report plus jobs sent by this host since.

    Attributes:
        capacity_millicores: CPU of the usable workers.
        free_millicores: CPU that no task has reserved or waits for.
        left_millicores: CPU that is expected to stay unused.
        backlog_millicore_s: Estimated work of fillers that is not done yet.
        rate_millicores: Estimated work of fillers done in a second.
    """

    capacity_millicores: int = 1
    free_millicores: int = 0
    left_millicores: int = 0
    backlog_millicore_s: int = 0
    rate_millicores: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class Refusal:
    """Why a job is refused.

    Attributes:
        reason: Why, for the caller.
        retry_after_s: Seconds after which a retry may be accepted.
        status: HTTP status of the refusal.
        outcome: Outcome of the submission, for the metric and the log.
    """

    reason: str
    retry_after_s: float
    status: int = 429
    outcome: str = "overload"


class AdmissionPolicy(typing.Protocol):
    """Decides whether a job is accepted."""

    def check(self, spec: specs.JobSpec, view: CellView) -> Refusal | None:
        """Return why a job is refused, or None to accept it.

        Args:
            spec: The job.
            view: Load of the cell that would receive it.
        """


ADMISSION: registry.Registry[type[AdmissionPolicy]] = registry.Registry(
    kind="admission policy"
)


def retry_spread_s(spec: specs.JobSpec) -> float:
    """Return what to add to the retry delay of a refused job.

    Args:
        spec: The job.
    """
    return RETRY_SPREAD_S * (sum(spec.id.encode()) % 100) / 100

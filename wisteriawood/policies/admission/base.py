"""What the policies of admission share."""

import dataclasses
import typing

from wisteriawood.jobs import specs
from wisteriawood.policies import registry

DEFAULT = "in-time"


@dataclasses.dataclass(slots=True, kw_only=True)
class CellView:
    """A cell as a host sees it, with what it has sent there itself.

    Attributes:
        capacity_millicores: Processor of the usable workers.
        free_millicores: Processor that nothing has reserved or waits for.
        left_millicores: Processor that nothing is expected to use.
        backlog_millicore_s: Work of fillers that is not done, as estimated.
        rate_millicores: Work of fillers done in a second, as estimated.
    """

    capacity_millicores: int = 1
    free_millicores: int = 0
    left_millicores: int = 0
    backlog_millicore_s: int = 0
    rate_millicores: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class Refusal:
    """Why a job is not taken in.

    Attributes:
        reason: Why, for the caller.
        retry_after_s: When it may find room.
    """

    reason: str
    retry_after_s: float


class AdmissionPolicy(typing.Protocol):
    """Decides whether a cell takes a job in."""

    def check(self, spec: specs.JobSpec, view: CellView) -> Refusal | None:
        """Return why a job is refused; None if it is taken in.

        Args:
            spec: The job.
            view: The cell with most room for it.
        """


POLICIES: registry.Registry[type[AdmissionPolicy]] = registry.Registry(
    kind="admission policy"
)

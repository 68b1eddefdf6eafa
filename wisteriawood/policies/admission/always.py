"""Admission of all jobs."""

from wisteriawood.jobs import specs
from wisteriawood.policies.admission import base


@base.ADMISSION.register("always")
class Always:
    """Accepts every job; under overload, jobs end late."""

    __slots__ = ()

    def check(
        self, spec: specs.JobSpec, view: base.CellView
    ) -> base.Refusal | None:
        """Return None."""
        del spec, view
        return None

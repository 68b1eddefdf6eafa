"""Spreading to the worker on which a run is pressed least."""

from wisteriawood.cells import workers
from wisteriawood.jobs import specs
from wisteriawood.policies.spreading import base

# Share of its processor that a filler must find left over to be started.
FILLER_MIN_SHARE = 0.5
# Processor by which a filler prefers a worker without a serving task, in
# thousandths of a core; about one filler's share.
SERVING_PENALTY_MILLICORES = 8000


@base.POLICIES.register("least-pressed")
class LeastPressed:
    """Takes the worker that leaves each run the most processor.

    Fillers look for processor that is left over and keep away from
    serving tasks; all others keep away from fillers.
    """

    __slots__ = ()

    def choose(
        self, candidates: list[workers.Worker], step: specs.StepSpec
    ) -> workers.Worker | None:
        """Return the least pressed worker, or None to wait."""
        best = max(candidates, key=lambda worker: self._room(worker, step))
        if step.is_filler and not self._is_enough(best, step):
            return None
        return best

    def _room(
        self, worker: workers.Worker, step: specs.StepSpec
    ) -> tuple[float, str]:
        room = worker.free_millicores - worker.filler_millicores
        if step.is_filler:
            room -= SERVING_PENALTY_MILLICORES * worker.pressed_count()
        return room * worker.speed, worker.id

    def _is_enough(self, worker: workers.Worker, step: specs.StepSpec) -> bool:
        left = worker.free_millicores - worker.filler_millicores
        return left >= FILLER_MIN_SHARE * step.cpu_millicores

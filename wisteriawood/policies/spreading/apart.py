"""Spreading that keeps fillers and serving tasks on workers of their own."""

from wisteriawood.cells import workers
from wisteriawood.jobs import specs
from wisteriawood.policies.spreading import base

# Share of its processor that a filler must find left over to be started.
FILLER_MIN_SHARE = 0.9


@base.POLICIES.register("apart")
class Apart:
    """Packs serving tasks, and gives fillers the workers that are left.

    Runs that neither fill nor serve go beside serving tasks first, as
    they leave the other workers' processor to the fillers.
    """

    __slots__ = ()

    def choose(
        self, candidates: list[workers.Worker], step: specs.StepSpec
    ) -> workers.Worker | None:
        """Return the best worker, or None to wait."""
        if step.is_filler:
            return _choose_for_filler(candidates, step)
        if step.tail_target_ms > 0:
            return min(candidates, key=_serving_order)
        return min(candidates, key=_plain_order)


def _left_over(worker: workers.Worker) -> float:
    return (worker.free_millicores - worker.filler_millicores) * worker.speed


def _choose_for_filler(
    candidates: list[workers.Worker], step: specs.StepSpec
) -> workers.Worker | None:
    alone = [w for w in candidates if not w.pressed_count()]
    if not alone:
        return None
    best = max(alone, key=lambda worker: (_left_over(worker), worker.id))
    if _left_over(best) < FILLER_MIN_SHARE * step.cpu_millicores:
        return None
    return best


def _serving_order(worker: workers.Worker) -> tuple:
    """Order by serving tasks there, then by fillers, then by best fit."""
    return (
        worker.pressed_count() == 0,
        worker.filler_millicores,
        worker.free_millicores,
        worker.id,
    )


def _plain_order(worker: workers.Worker) -> tuple:
    """Order by serving tasks there, then by processor left over."""
    return (worker.pressed_count() == 0, -_left_over(worker), worker.id)

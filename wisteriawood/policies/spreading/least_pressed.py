"""Spreading to the worker on which runs slow each other least."""

from wisteriawood.cells import interference_models
from wisteriawood.cells import workers
from wisteriawood.jobs import specs
from wisteriawood.policies.spreading import base

# A filler starts only on a worker whose unused CPU is at least this share of
# the CPU that the filler requests.
MIN_UNUSED_SHARE = 0.9
# A filler starts only if the predicted load of the latency-sensitive tasks on
# the worker stays at or below this value. They reach their latency target at
# BOUND_LOAD; the margin is for increases that reports show late.
MAX_SERVING_LOAD = interference_models.BOUND_LOAD - 0.03
# Weight of spare load relative to unused CPU in the choice.
SPARE_LOAD_WEIGHT = 2.0
# Spare load above this does not count.
MAX_SPARE_LOAD = 0.3


@base.SPREADING.register(base.DEFAULT)
class LeastPressed:
    """Limits how much fillers slow latency-sensitive tasks.

    Fillers start only beside latency-sensitive tasks that are predicted to
    stay below their target. Latency-sensitive tasks of one image are placed
    together, so that other workers remain usable for the fillers that are
    incompatible with this image.
    """

    __slots__ = ()

    def choose(
        self,
        candidates: list[workers.Worker],
        step: specs.StepSpec,
        model: interference_models.InterferenceModel,
    ) -> workers.Worker | None:
        """Return the worker with the least interference, or None to wait."""
        if step.is_filler:
            return _choose_for_filler(candidates, step, model)
        if step.tail_target_ms > 0:
            return min(
                candidates, key=lambda w: _serving_sort_key(w, step, model)
            )
        # The tightest fit keeps large amounts free on other workers.
        return min(candidates, key=lambda w: (w.free_millicores, w.id))

    def find_limit(
        self,
        worker: workers.Worker,
        step: specs.StepSpec,
        model: interference_models.InterferenceModel,
    ) -> str:
        """Return which load limit keeps a filler off a worker."""
        if self.choose([worker], step, model) is not None:
            return ""
        if worker.unused_millicores() < MIN_UNUSED_SHARE * step.cpu_millicores:
            return "unused CPU"
        return "serving load"


def _choose_for_filler(
    candidates: list[workers.Worker],
    step: specs.StepSpec,
    model: interference_models.InterferenceModel,
) -> workers.Worker | None:
    best = None
    best_order: tuple = ()
    for worker in candidates:
        unused = worker.unused_millicores() - step.cpu_millicores
        if unused < (MIN_UNUSED_SHARE - 1) * step.cpu_millicores:
            continue
        spare = MAX_SERVING_LOAD - worker.load_with(step, model)
        if spare < 0:
            continue
        value = unused / worker.capacity_millicores()
        value += SPARE_LOAD_WEIGHT * min(spare, MAX_SPARE_LOAD)
        order = (value, worker.id)
        if best is None or order > best_order:
            best, best_order = worker, order
    return best


def _serving_sort_key(
    worker: workers.Worker,
    step: specs.StepSpec,
    model: interference_models.InterferenceModel,
) -> tuple:
    """Return a sort key for workers of a latency-sensitive task.

    The first criterion is the CPU in millicores that fillers could no longer
    use if the task were placed there.
    """
    incompatible = model.incompatible_fillers(step.image)
    images = worker.serving_images()
    newly_excluded = len(incompatible - worker.excluded_fillers(model))
    lost_millicores = (
        newly_excluded
        / model.filler_count()
        * max(0.0, worker.unused_millicores())
    )
    # Incompatible fillers that run there would have to stop.
    lost_millicores += sum(
        share * worker.capacity_millicores()
        for image, share in worker.filler_shares().items()
        if image in incompatible
    )
    same_image = images.get(step.image, 0)
    is_mixed = bool(images) and not same_image
    added_load = model.added_load(step.image, worker.filler_shares())
    return (
        lost_millicores,
        is_mixed,
        -same_image,
        worker.free_millicores,
        added_load,
        worker.id,
    )

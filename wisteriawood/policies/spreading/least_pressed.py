"""Spreading to the worker on which runs disturb each other least."""

from wisteriawood.cells import pressure
from wisteriawood.cells import workers
from wisteriawood.jobs import specs
from wisteriawood.policies.spreading import base

# Share of its processor that a filler must find left over to be started.
FILLER_MIN_SHARE = 0.9
# Load that a filler may bring the serving tasks beside it to; the rest up
# to the bound is for what reports show late.
MAX_LOAD = pressure.BOUND_LOAD - 0.03
# Worth of spare load against that of spare processor, in choosing.
LOAD_VALUE = 2.0
# Spare load above this is of no more use.
ENOUGH_SPARE_LOAD = 0.3


@base.POLICIES.register(base.DEFAULT)
class LeastPressed:
    """Puts fillers where serving tasks hold out, and groups those.

    Serving tasks of one image go together, so that fillers which disturb
    that image find other workers free of it.
    """

    __slots__ = ()

    def choose(
        self,
        candidates: list[workers.Worker],
        step: specs.StepSpec,
        book: pressure.PressureBook,
    ) -> workers.Worker | None:
        """Return the least pressed worker, or None to wait."""
        if step.is_filler:
            return _choose_for_filler(candidates, step, book)
        if step.tail_target_ms > 0:
            return min(candidates, key=lambda w: _serving_order(w, step, book))
        # The tightest fit leaves room for tasks that ask for more.
        return min(candidates, key=lambda w: (w.free_millicores, w.id))


def _choose_for_filler(
    candidates: list[workers.Worker],
    step: specs.StepSpec,
    book: pressure.PressureBook,
) -> workers.Worker | None:
    best = None
    best_order: tuple = ()
    for worker in candidates:
        left = worker.left_over() - step.cpu_millicores
        if left < (FILLER_MIN_SHARE - 1) * step.cpu_millicores:
            continue
        spare = MAX_LOAD - worker.load_with(step, book)
        if spare < 0:
            continue
        value = left / worker.capacity_millicores()
        value += LOAD_VALUE * min(spare, ENOUGH_SPARE_LOAD)
        order = (value, worker.id)
        if best is None or order > best_order:
            best, best_order = worker, order
    return best


def _serving_order(
    worker: workers.Worker, step: specs.StepSpec, book: pressure.PressureBook
) -> tuple:
    """Order workers by what a serving task there would take from fillers."""
    heavy = book.heavy_fillers(step.image)
    images = worker.serving_images()
    newly = len(heavy - worker.shut_out(book))
    lost = newly / book.filler_count() * max(0.0, worker.left_over())
    # Fillers that run there would have to stop.
    lost += sum(
        share * worker.capacity_millicores()
        for image, share in worker.filler_shares().items()
        if image in heavy
    )
    alike = images.get(step.image, 0)
    is_mixed = bool(images) and not alike
    added = book.added_load(step.image, worker.filler_shares())
    return (lost, is_mixed, -alike, worker.free_millicores, added, worker.id)

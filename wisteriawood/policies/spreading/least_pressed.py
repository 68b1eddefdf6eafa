"""Spreading to the worker on which runs disturb each other least."""

from wisteriawood.cells import pressure
from wisteriawood.cells import workers
from wisteriawood.jobs import specs
from wisteriawood.policies.spreading import base

# Share of its processor that a filler must find left over to be started.
FILLER_MIN_SHARE = 0.9
# Strain that a filler may bring the serving tasks beside it to.
MAX_STRAIN = 0.75


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
        return max(candidates, key=lambda w: (w.left_over(), w.id))


def _choose_for_filler(
    candidates: list[workers.Worker],
    step: specs.StepSpec,
    book: pressure.PressureBook,
) -> workers.Worker | None:
    best = None
    best_order: tuple = ()
    for worker in candidates:
        left = worker.left_over()
        if left < FILLER_MIN_SHARE * step.cpu_millicores:
            continue
        strain = worker.strain_with(step, book)
        if max(strain, worker.strain_now()) > MAX_STRAIN:
            continue
        order = (left - strain * step.cpu_millicores, worker.id)
        if best is None or order > best_order:
            best, best_order = worker, order
    return best


def _serving_order(
    worker: workers.Worker, step: specs.StepSpec, book: pressure.PressureBook
) -> tuple:
    """Order workers by what a serving task there would take from fillers."""
    strain = book.strain(step.image, worker.filler_shares())
    images = worker.serving_images()
    shut_out = worker.shut_out(book)
    newly = len(book.heavy_fillers(step.image) - shut_out)
    alike = images.get(step.image, 0)
    is_mixed = bool(images) and not alike
    return (
        strain > MAX_STRAIN,
        newly * worker.left_over(),
        is_mixed,
        -alike,
        strain,
        worker.id,
    )

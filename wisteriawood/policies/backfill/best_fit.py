"""Best fit by shape: the largest steps first, where they leave least over."""

import sys

from wisteriawood.jobs import specs
from wisteriawood.policies.backfill import base

# Rooms that become free this much later than the first one, relative to the
# time until then, count as equally early.
TOLERANCE = 0.25


@base.BACKFILL.register("best-fit")
class BestFit:
    """Reserves for the largest steps first, on the tightest early room."""

    __slots__ = ()

    def select(self, candidates: list[base.Candidate]) -> list[base.Candidate]:
        """Return the candidates with the largest first."""
        return sorted(
            candidates,
            key=lambda found: (
                -_count(found.step) * found.step.cpu_millicores,
                -_count(found.step) * found.step.memory_mb,
                found.position,
            ),
        )

    def choose(self, offers: list[base.Offer], now_s: float) -> base.Offer:
        """Return the room with least left over among the early ones."""
        first_s = base.earliest(offers).ready_at_s
        late_s = first_s + TOLERANCE * max(0.0, first_s - now_s)
        early = [offer for offer in offers if offer.ready_at_s <= late_s]
        return min(
            early,
            key=lambda offer: (
                offer.left_millicores,
                offer.left_mb,
                offer.ready_at_s,
                offer.worker.id,
            ),
        )

    def most_steps(self) -> int:
        """Return a number without a bound; the look-ahead bounds workers."""
        return sys.maxsize


def _count(step: specs.StepSpec) -> int:
    """Return how many tasks of a step need their room at the same time."""
    return step.task_count if step.is_gang else 1

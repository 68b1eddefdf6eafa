"""No throttling: jobs that slow services are evicted."""

from wisteriawood.policies.throttling import base

EVICT_AFTER_S = 5.0


@base.THROTTLING.register("never")
class Never:
    """Evicts a job once a service has been slowed for EVICT_AFTER_S."""

    __slots__ = ("_slowed_since_s",)

    def __init__(self):
        self._slowed_since_s: dict[str, float] = {}

    def decide(self, view: base.WorkerView) -> base.Decision:
        """Return whether to evict a job."""
        if view.excess <= 1.0 or not view.aggressors:
            self._slowed_since_s.pop(view.worker, None)
            return base.Decision()
        slowed_since_s = self._slowed_since_s.setdefault(
            view.worker, view.now_s
        )
        if view.now_s - slowed_since_s < EVICT_AFTER_S:
            return base.Decision()
        del self._slowed_since_s[view.worker]
        return base.Decision(evict=True)

    def forget(self, worker: str) -> None:
        """Discard the state of a worker that was removed."""
        self._slowed_since_s.pop(worker, None)

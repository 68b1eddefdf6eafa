"""No throttling: a job that slows services is evicted."""

from wisteriawood.policies.throttling import base

PATIENCE_S = 5.0


@base.THROTTLING.register("never")
class Never:
    """Asks for an eviction wherever a service is slowed for long."""

    __slots__ = ("_since_s",)

    def __init__(self):
        self._since_s: dict[str, float] = {}

    def decide(self, view: base.WorkerView) -> base.Verdict:
        """Return an eviction once a service was slowed for a while."""
        if view.excess <= 1.0 or not view.culprits:
            self._since_s.pop(view.worker, None)
            return base.Verdict()
        since_s = self._since_s.setdefault(view.worker, view.now_s)
        if view.now_s - since_s < PATIENCE_S:
            return base.Verdict()
        del self._since_s[view.worker]
        return base.Verdict(evict=True)

    def forget(self, worker: str) -> None:
        """Forget a worker that is gone."""
        self._since_s.pop(worker, None)

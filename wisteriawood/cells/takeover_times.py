"""The time that a takeover of a cell takes, by phase."""

import anyio

from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events
from wisteriawood.telemetry import job_metrics

_LOG = events.Logger(name=__name__)


class TakeoverTimes:
    """Measures a takeover, from its decision to the first placement.

    The phases are `claim`, the commit of the claim; `load`, the reads of the
    jobs; and `first_pass`, until tasks are placed while a worker answers.

    Args:
        former: Host of the former holder; empty for none.
        silent_s: Time without a heartbeat of it at the decision.
        decided_at_s: Monotonic time of the decision.
        counters: Metrics of the host.
    """

    __slots__ = (
        "_counters",
        "_decided_at_s",
        "_former",
        "_phase_began_at_s",
        "_phases_s",
        "_silent_s",
    )

    def __init__(
        self,
        *,
        former: str,
        silent_s: float,
        decided_at_s: float,
        counters: job_metrics.JobMetrics,
    ):
        self._former = former
        self._silent_s = silent_s
        self._decided_at_s = decided_at_s
        self._counters = counters
        self._phase_began_at_s = decided_at_s
        self._phases_s: dict[str, float] = {}

    def end_phase(self, name: str) -> None:
        """Record that a phase has ended and the next one begins.

        Args:
            name: Name of the phase.
        """
        now_s = anyio.current_time()
        self._phases_s[name] = now_s - self._phase_began_at_s
        self._phase_began_at_s = now_s

    def report(self, cell: str, epoch: int) -> None:
        """Log and count the takeover after its last phase.

        Args:
            cell: Name of the cell.
            epoch: Epoch of the claim.
        """
        for phase, took_s in self._phases_s.items():
            self._counters.takeover_phase_s.labels(phase=phase).observe(took_s)
        _LOG.log(
            job_events.TAKEOVER_TIMED,
            cell=cell,
            epoch=epoch,
            former=self._former,
            silent_s=round(self._silent_s, 3),
            phases_s={
                phase: round(took_s, 3)
                for phase, took_s in self._phases_s.items()
            },
            total_s=round(self._phase_began_at_s - self._decided_at_s, 3),
        )

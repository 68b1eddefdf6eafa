"""Records an operator's requests to drain zones, and when they end."""

import anyio

from wisteriawood.cells import zone_drains
from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events
from wisteriawood.telemetry import job_metrics

_LOG = events.Logger(name=__name__)
MAX_LOGGED_NAME_LENGTH = 64


class ZoneDrainRequests:
    """Keeps the drained zones of a host up to date.

    A deployment that drains no zones has no requests; what is passed on is
    ignored then.

    Args:
        drains: The drained zones.
        counters: Metrics of the host.
    """

    __slots__ = ("_counters", "_drains", "_unknown")

    def __init__(
        self,
        *,
        drains: zone_drains.ZoneDrains,
        counters: job_metrics.JobMetrics,
    ):
        self._drains = drains
        self._counters = counters
        # Names in requests that no zone has, each of which is logged once.
        self._unknown: set[str] = set()

    def record(self, zone: str, *, is_requested: bool) -> None:
        """Record that there is a request for a zone, or no longer one.

        Args:
            zone: The name in the request.
            is_requested: Whether there is a request.
        """
        if not self._drains.is_enabled():
            return
        if not self._drains.has_zone(zone):
            self._record_unknown(zone, is_requested)
            return
        now_s = anyio.current_time()
        if is_requested:
            if self._drains.begin(zone, now_s):
                _LOG.log(
                    job_events.ZONE_DRAINED,
                    zone=zone,
                    drained=self._drains.drained(),
                )
        else:
            drained_s = self._drains.end(zone, now_s)
            if drained_s is not None:
                _LOG.log(
                    job_events.ZONE_DRAIN_ENDED,
                    zone=zone,
                    drained_s=round(drained_s, 3),
                    drained=self._drains.drained(),
                )
        self._counters.zone_drained.labels(zone=zone).set(int(is_requested))

    def _record_unknown(self, zone: str, is_requested: bool) -> None:
        if not is_requested:
            self._unknown.discard(zone)
            return
        if zone in self._unknown:
            return
        self._unknown.add(zone)
        _LOG.log(
            job_events.ZONE_DRAIN_UNKNOWN, zone=zone[:MAX_LOGGED_NAME_LENGTH]
        )

    def confirm(self, at_s: float) -> None:
        """Record as of when the requests are known.

        Args:
            at_s: Time of clocks.elapsed_s at which the read that showed it
                was sent; 0 before the first.
        """
        if at_s:
            self._drains.confirm(at_s)

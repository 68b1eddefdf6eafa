"""Outlier detection: failing targets are ejected, probed, readmitted."""

import dataclasses
import enum
import math
import random
import typing

from wisteriawood.machines import targets
from wisteriawood.telemetry import events

FAILURES_TO_EJECT = 3
BASE_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
MAX_EJECTED_SHARE = 0.5
MIN_STALL_TIMEOUT_S = 0.5
STALL_P99_FACTOR = 4.0

_LOG = events.Logger(name=__name__)


class Verdict(enum.Enum):
    """What the result of an attempt implies about its target."""

    GOOD = "good"
    FAILED = "failed"
    INCONCLUSIVE = "untold"


@dataclasses.dataclass(slots=True, kw_only=True)
class TargetRecord:
    """Health record of one target.

    Attributes:
        failures: Failures since the last good answer.
        answered_s: Monotonic time in seconds of the last good answer, or of
            the last request that was sent while no other was in flight,
            whichever is later.
        ejections: Number of ejections since the last good answer.
        ejected_until_s: Monotonic time in seconds from which the next probe
            may be sent.
        is_probe_in_flight: Whether a probe is in flight.
    """

    failures: int = 0
    answered_s: float = 0.0
    ejections: int = 0
    ejected_until_s: float = 0.0
    is_probe_in_flight: bool = False


def stall_timeout_s(*, p99_s: float) -> float:
    """Return the time after which a target without answers is stalled.

    Args:
        p99_s: 99th percentile of the service's latency in seconds; 0 while
            too few answers have been observed.

    Returns:
        Seconds; infinite while too few answers have been observed.
    """
    if not p99_s:
        return math.inf
    return max(MIN_STALL_TIMEOUT_S, STALL_P99_FACTOR * p99_s)


class OutlierDetector:
    """Ejects failing targets of one service and probes them.

    When more than MAX_EJECTED_SHARE of the targets are ejected, the cause
    is unlikely to lie with the targets, so all of them are used as if none
    were ejected.

    Args:
        rng: Source of the jitter between probes.
    """

    __slots__ = ("_ejected", "_records", "_rng")

    def __init__(self, *, rng: random.Random):
        self._rng = rng
        self._records: dict[str, TargetRecord] = {}
        self._ejected: dict[str, TargetRecord] = {}

    def ejected(
        self, *, targets_count: int
    ) -> typing.Mapping[str, TargetRecord]:
        """Return the ejected targets by id; they get only probes.

        Empty while more than MAX_EJECTED_SHARE of the targets are ejected.

        Args:
            targets_count: Number of targets of the service.
        """
        if len(self._ejected) > MAX_EJECTED_SHARE * targets_count:
            return {}
        return self._ejected

    def is_probe_due(self, target_id: str, *, now_s: float) -> bool:
        """Return whether an ejected target may get a probe request."""
        record = self._ejected[target_id]
        return (
            not record.is_probe_in_flight and now_s >= record.ejected_until_s
        )

    def record_sent(self, target: targets.Target, *, now_s: float) -> bool:
        """Record that a request is about to be sent.

        Args:
            target: Target of the request; its slot is already acquired.
            now_s: Monotonic time in seconds.

        Returns:
            Whether the request is a probe.
        """
        record = self._records.setdefault(target.id, TargetRecord())
        if target.in_flight <= 1:
            record.answered_s = now_s
        if target.id not in self._ejected:
            return False
        record.is_probe_in_flight = True
        return True

    def record_ended(
        self, target: targets.Target, *, verdict: Verdict, now_s: float
    ) -> None:
        """Record the result of an attempt.

        Args:
            target: Target of the attempt.
            verdict: What the result implies about the target.
            now_s: Monotonic time in seconds.
        """
        record = self._records.setdefault(target.id, TargetRecord())
        was_probe_in_flight, record.is_probe_in_flight = (
            record.is_probe_in_flight,
            False,
        )
        if verdict is Verdict.GOOD:
            self._readmit(target.id, record, now_s=now_s)
        if verdict is Verdict.FAILED:
            record.failures += 1
            is_ejected = target.id in self._ejected
            if is_ejected and was_probe_in_flight:
                self._eject(target.id, record, now_s=now_s)
            if not is_ejected and record.failures >= FAILURES_TO_EJECT:
                self._eject(target.id, record, now_s=now_s)

    def eject_stalled(
        self,
        current: typing.Iterable[targets.Target],
        *,
        p99_s: float,
        now_s: float,
    ) -> list[str]:
        """Eject targets with requests in flight that answer none of them.

        Args:
            current: Targets of the service.
            p99_s: 99th percentile of the service's latency in seconds.
            now_s: Monotonic time in seconds.

        Returns:
            The ids of the targets that were ejected.
        """
        stalled = []
        for target in current:
            record = self._records.get(target.id)
            if record is None or not target.in_flight:
                continue
            if target.id in self._ejected:
                continue
            if now_s - record.answered_s > stall_timeout_s(p99_s=p99_s):
                self._eject(target.id, record, now_s=now_s)
                stalled.append(target.id)
        return stalled

    def forget(self, target_id: str) -> None:
        """Remove the record of a target that has left."""
        self._records.pop(target_id, None)
        self._ejected.pop(target_id, None)

    def known_ids(self) -> list[str]:
        """Return the ids of the targets that have a record."""
        return list(self._records)

    def _eject(
        self, target_id: str, record: TargetRecord, *, now_s: float
    ) -> None:
        ejection_s = min(MAX_EJECTION_S, BASE_EJECTION_S * 2**record.ejections)
        record.ejections += 1
        record.ejected_until_s = now_s + ejection_s * self._rng.uniform(
            0.5, 1.0
        )
        if target_id not in self._ejected:
            _LOG.log(events.TARGET_TAKEN_OUT, target=target_id)
        self._ejected[target_id] = record

    def _readmit(
        self, target_id: str, record: TargetRecord, *, now_s: float
    ) -> None:
        record.failures = 0
        record.ejections = 0
        record.answered_s = now_s
        if self._ejected.pop(target_id, None) is not None:
            _LOG.log(events.TARGET_BROUGHT_IN, target=target_id)

"""A host's view of the directory of workers: its age, and who has left."""

import dataclasses
import math
import typing

from wisteriawood.links import clocks
from wisteriawood.links import runners
from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events

_LOG = events.Logger(name=__name__)
# Part of the time after which the directory removes the entry of a silent
# worker. A worker whose entry is removed sooner has left: it may be almost a
# third of that time since its last heartbeat.
LEFT_RATIO = 0.6
# Time for which the removal of an entry is remembered: longer than any wait
# for the end of a lease.
REMOVAL_RETENTION_S = 60.0


Fleet = dict[str, runners.Registration]


@dataclasses.dataclass(slots=True, kw_only=True)
class _Removal:
    # Time of clocks.elapsed_s.
    at_s: float
    worker: runners.Registration
    entry_age_s: float


class WorkerDirectory:
    """The workers that the directory lists, as this host last read it.

    Args:
        max_age_s: Age up to which an entry may be relied on for a start.
        silence_s: Time after which the directory removes the entry of a
            worker that is silent.

    Attributes:
        workers: All listed workers, by id.
        confirmed_at_s: Time of clocks.elapsed_s as of which the entries are
            known to be current; 0 before the first read.
        unverified: Ids of workers whose entries may be older than that.
    """

    __slots__ = (
        "_max_age_s",
        "_by_cell",
        "_removals",
        "_silence_s",
        "confirmed_at_s",
        "unverified",
        "workers",
    )

    def __init__(self, *, max_age_s: float, silence_s: float):
        self._max_age_s = max_age_s
        self._silence_s = silence_s
        self._removals: dict[str, _Removal] = {}
        self._by_cell: dict[tuple[str, str], Fleet] = {}
        self.workers: Fleet = {}
        self.confirmed_at_s = 0.0
        self.unverified: set[str] = set()

    def update(self, workers: Fleet) -> None:
        """Apply the directory's current list.

        Args:
            workers: All listed workers, by id.
        """
        self.workers = workers
        self._by_cell = {}
        for worker_id, worker in workers.items():
            key = (worker.service, worker.zone)
            self._by_cell.setdefault(key, {})[worker_id] = worker
        for worker_id in self._removals.keys() & workers.keys():
            del self._removals[worker_id]

    def record_removal(
        self, worker: runners.Registration, entry_age_s: float
    ) -> None:
        """Record that the entry of a worker was removed.

        Args:
            worker: The removed entry.
            entry_age_s: Longest time that may lie between its last write and
                its removal; infinite if it is not known.
        """
        now_s = clocks.elapsed_s()
        for worker_id, removal in list(self._removals.items()):
            if now_s - removal.at_s > REMOVAL_RETENTION_S:
                del self._removals[worker_id]
        self._removals[worker.worker_id] = _Removal(
            at_s=now_s, worker=worker, entry_age_s=entry_age_s
        )
        _LOG.log(
            job_events.WORKER_ENTRY_REMOVED,
            worker=worker.worker_id,
            is_draining=worker.is_draining,
            entry_age_s=(
                round(entry_age_s, 3) if math.isfinite(entry_age_s) else None
            ),
        )

    def removed_entry(self, worker_id: str) -> runners.Registration | None:
        """Return the entry of a worker that was removed of late.

        Args:
            worker_id: Id of the worker.
        """
        removal = self._removals.get(worker_id)
        return None if removal is None else removal.worker

    def has_left(self, worker_id: str, for_s: float) -> bool:
        """Return whether a removed entry shows that its worker has left.

        A worker that drained, and whose entry was removed sooner than silence
        removes it, has left. Any other may be cut off and run on. So may one
        that answers after all: the store may have applied its last writes
        late.

        Args:
            worker_id: Id of the worker.
            for_s: Time for which that must have been known.
        """
        removal = self._removals.get(worker_id)
        if removal is None or not removal.worker.is_draining:
            return False
        if removal.entry_age_s > LEFT_RATIO * self._silence_s:
            return False
        return clocks.elapsed_s() - removal.at_s >= for_s

    def confirm(
        self, at_s: float, unverified: typing.Collection[str] = ()
    ) -> None:
        """Record as of when the entries are known to be current.

        Args:
            at_s: Time of clocks.elapsed_s at which the read that showed it
                was sent.
            unverified: Ids of workers to which this does not apply.
        """
        self.confirmed_at_s = max(self.confirmed_at_s, at_s)
        self.unverified = set(unverified)

    def age_s(self) -> float:
        """Return the time since the entries were known to be current."""
        return clocks.elapsed_s() - self.confirmed_at_s

    def is_current(self) -> bool:
        """Return whether the entries are recent enough for a start."""
        return self.age_s() <= self._max_age_s

    def is_recent(self, worker_id: str) -> bool:
        """Return whether a worker's entry is recent enough for a start.

        Args:
            worker_id: Id of the worker.
        """
        return worker_id not in self.unverified and self.is_current()

    def workers_of(self, service: str, zone: str) -> Fleet:
        """Return the workers of a service in an availability zone, by id.

        Args:
            service: The service.
            zone: The availability zone.
        """
        return self._by_cell.get((service, zone), {})

    def services(self) -> set[str]:
        """Return the services that have workers."""
        return {service for service, _zone in self._by_cell}

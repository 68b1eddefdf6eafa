"""A host's view of the directory of workers, and how old it is."""

import typing

from wisteriawood.links import clocks
from wisteriawood.links import runners


class WorkerDirectory:
    """The workers that the directory lists, as this host last read it.

    Args:
        max_age_s: Age up to which an entry may be relied on for a start.

    Attributes:
        workers: All listed workers, by id.
        confirmed_at_s: Time of clocks.elapsed_s as of which the entries are
            known to be current; 0 before the first read.
        unverified: Ids of workers whose entries may be older than that.
    """

    __slots__ = ("_max_age_s", "confirmed_at_s", "unverified", "workers")

    def __init__(self, *, max_age_s: float):
        self._max_age_s = max_age_s
        self.workers: dict[str, runners.Registration] = {}
        self.confirmed_at_s = 0.0
        self.unverified: set[str] = set()

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

    def is_recent(self, worker_id: str) -> bool:
        """Return whether a worker's entry is recent enough for a start.

        Args:
            worker_id: Id of the worker.
        """
        if worker_id in self.unverified:
            return False
        return self.age_s() <= self._max_age_s

    def select(
        self, is_wanted: typing.Callable[[runners.Registration], bool]
    ) -> dict[str, runners.Registration]:
        """Return the workers for which a condition holds, by id.

        Args:
            is_wanted: The condition.
        """
        return {
            worker_id: worker
            for worker_id, worker in self.workers.items()
            if is_wanted(worker)
        }

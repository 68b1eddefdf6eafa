"""Finds the workers where tasks that fit nowhere now will fit soon."""

import math
import typing

from wisteriawood.cells import forecasts
from wisteriawood.cells import holds
from wisteriawood.cells import reservations
from wisteriawood.cells import run_times
from wisteriawood.cells import workers
from wisteriawood.jobs import specs
from wisteriawood.policies.backfill import base

# How far ahead room is reserved.
MAX_AHEAD_S = 8.0
# Time after which also a task gets an offer that would fit after the end of
# one run, but that others always precede.
MAX_ORDER_WAIT_S = 30.0
# In a larger cell, the offers for a step are sought on a part of the workers,
# so that the time does not grow with the cell: on this many, until there are
# as many offers as below. The next search continues with other workers.
MAX_SCANNED = 128
MAX_OFFERS = 16


class OfferFinder:
    """Finds room that workers will have, as one placement pass sees it.

    Args:
        times: Learned run times.
        book: The reservations.

    Attributes:
        kept: The room that the pass keeps for standing tasks.
        now_s: Monotonic time of the pass.
    """

    __slots__ = (
        "_book",
        "_forecasts",
        "_scan_start",
        "_times",
        "kept",
        "now_s",
    )

    def __init__(self, *, times: run_times.RunTimes, book: holds.HoldBook):
        self._book = book
        self._times = times
        self._forecasts: dict[str, forecasts.Forecast] = {}
        self._scan_start = 0
        self.kept = reservations.Reservations()
        self.now_s = 0.0

    def begin_pass(
        self, kept: reservations.Reservations, now_s: float
    ) -> None:
        """Begin a placement pass.

        Args:
            kept: The room that it keeps for standing tasks.
            now_s: Monotonic time.
        """
        self.kept = kept
        self.now_s = now_s
        self._forecasts.clear()

    def forecast(self, worker: workers.Worker) -> forecasts.Forecast:
        """Return the forecast for a worker, made once in a pass.

        Args:
            worker: The worker.
        """
        found = self._forecasts.get(worker.id)
        if found is None:
            found = self._forecasts[worker.id] = forecasts.Forecast(
                worker=worker, times=self._times, now_s=self.now_s
            )
        return found

    def forget(self, worker: workers.Worker) -> None:
        """Forget the forecast for a worker that got a run.

        Args:
            worker: The worker.
        """
        self._forecasts.pop(worker.id, None)

    def room(
        self, worker: workers.Worker, at_s: float = -math.inf
    ) -> forecasts.Room:
        """Return what is free on a worker and not kept for standing tasks.

        Args:
            worker: The worker.
            at_s: Monotonic time; now if it has passed.
        """
        return self.forecast(worker).room_at(at_s, self.kept.kept_on(worker))

    def open_room(self, worker: workers.Worker) -> forecasts.Room:
        """Return what is free on a worker, not kept and not reserved.

        Args:
            worker: The worker.
        """
        found = self.room(worker)
        for hold in self._book.on(worker):
            found.add(hold.step, -1)
        return found

    def _scan(
        self, step: specs.StepSpec, usable: list[workers.Worker]
    ) -> typing.Iterator[workers.Worker]:
        """Yield workers that may have room for a step without other runs.

        In a large cell, each call continues where the last one ended.
        """
        count = len(usable)
        for _number in range(min(count, MAX_SCANNED)):
            worker = usable[self._scan_start % count]
            self._scan_start = (self._scan_start + 1) % count
            entry = worker.registration
            if (
                entry.memory_mb < step.memory_mb
                or entry.accelerators < step.accelerators
                or entry.is_draining
            ):
                continue
            if (
                not step.is_filler
                and entry.cpu_millicores < step.cpu_millicores
            ):
                continue
            if step.required_label not in ("", *entry.labels):
                continue
            if worker.is_unblocked_for(step, self.now_s):
                yield worker

    def find(
        self, wait: holds.Wait, usable: list[workers.Worker], is_firm: bool
    ) -> list[base.Offer]:
        """Return the worker rooms where a task will fit soon.

        A task that fits after the end of one run needs no reservation at
        first: the order of starts gives the room to it or to an earlier task.

        Args:
            wait: The step.
            usable: The workers that may get new runs.
            is_firm: Whether the step has waited too long.
        """
        step = wait.step
        most_s = math.inf if is_firm else MAX_AHEAD_S
        offers: list[base.Offer] = []
        for worker in self._scan(step, usable):
            if self._is_full_beside(worker, wait):
                continue
            offer = self._find_on(worker, step, self.now_s + most_s)
            if offer is None:
                continue
            if not offer.ends and step.is_filler:
                # Load limits keep it away, not the lack of room.
                return []
            offers.append(offer)
            if len(offers) >= _most_offers(usable):
                break
        if not offers:
            return []
        has_starved = wait.losses or (
            self.now_s - wait.since_s >= MAX_ORDER_WAIT_S
        )
        if base.earliest(offers).ends > 1 or (is_firm and has_starved):
            return offers
        return []

    def _find_on(
        self, worker: workers.Worker, step: specs.StepSpec, until_s: float
    ) -> base.Offer | None:
        forecast = self.forecast(worker)
        room = self.open_room(worker)
        ready_at_s, ends = self.now_s, 0
        if not room.fits(step):
            for end_s, ended in forecast.ends:
                if end_s > until_s:
                    return None
                room.add(ended.step)
                ends += 1
                if room.fits(step):
                    ready_at_s = end_s
                    break
            else:
                return None
        return base.Offer(
            worker=worker,
            ready_at_s=ready_at_s,
            ends=ends,
            left_millicores=room.cpu_millicores - step.cpu_millicores,
            left_mb=room.memory_mb - step.memory_mb,
        )

    def find_for_gang(
        self,
        wait: holds.Wait,
        usable: list[workers.Worker],
        most_workers: int,
        is_firm: bool,
    ) -> list[base.Offer]:
        """Return the rooms for all members of a gang; none if too few.

        Args:
            wait: The gang.
            usable: The workers that may get new runs.
            most_workers: Workers that may be reserved.
            is_firm: Whether the gang has waited too long.
        """
        step = wait.step
        until_s = math.inf if is_firm else self.now_s + MAX_AHEAD_S
        rooms: list[list[base.Offer]] = []
        for worker in self._scan(step, usable):
            found = self._find_members(worker, wait, until_s)
            if found:
                rooms.append(found)
            if len(rooms) >= _most_offers(usable):
                break
        # Workers for the most members first, so that few workers suffice.
        rooms.sort(
            key=lambda found: (
                -len(found),
                found[-1].ready_at_s,
                found[0].worker.id,
            )
        )
        offers = [offer for found in rooms[:most_workers] for offer in found]
        count = len(wait.tasks)
        if len(offers) < count:
            return []
        offers.sort(key=lambda offer: (offer.ready_at_s, offer.worker.id))
        return offers[:count]

    def _find_members(
        self, worker: workers.Worker, wait: holds.Wait, until_s: float
    ) -> list[base.Offer]:
        """Return the rooms for members of a gang that a worker will have."""
        step = wait.step
        forecast = self.forecast(worker)
        room = self.open_room(worker)
        found: list[base.Offer] = []
        ready_at_s, ends = self.now_s, 0
        left = list(reversed(forecast.ends))
        while len(found) < len(wait.tasks):
            if step.most_per_worker and len(found) >= step.most_per_worker:
                break
            if room.fits(step):
                room.add(step, -1)
                found.append(
                    base.Offer(
                        worker=worker,
                        ready_at_s=ready_at_s,
                        ends=ends,
                        left_millicores=room.cpu_millicores,
                        left_mb=room.memory_mb,
                    )
                )
                continue
            if not left or left[-1][0] > until_s:
                break
            ready_at_s, ended = left.pop()
            ends += 1
            room.add(ended.step)
        return found

    def _is_full_beside(
        self, worker: workers.Worker, wait: holds.Wait
    ) -> bool:
        """Return whether no further task of a step may be on a worker."""
        if not wait.step.most_per_worker:
            return False
        name = wait.job.task_name(wait.tasks[0]).rpartition(".")[0] + "."
        beside = worker.count_step_tasks(name)
        beside += sum(hold.step is wait.step for hold in self._book.on(worker))
        return beside >= wait.step.most_per_worker


def _most_offers(usable: list[workers.Worker]) -> int:
    """Return the offers to compare; all in a cell that a plan looks over."""
    return len(usable) if len(usable) <= MAX_SCANNED else MAX_OFFERS

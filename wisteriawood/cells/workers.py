"""A worker as the holder of its cell knows it."""

import math
import typing

import anyio

from wisteriawood.cells import leases
from wisteriawood.cells import pressure
from wisteriawood.cells import runs
from wisteriawood.cells import share_histories
from wisteriawood.cells import soundness
from wisteriawood.jobs import specs
from wisteriawood.links import runners

# A worker that refused a start is left alone for this time.
REFUSAL_PAUSE_S = 0.5
# Part of what serving tasks ask for that they use, with some headroom.
SERVING_USE_SHARE = 0.5
# Least time between two reports that are learned from; those in between
# cover almost the same time.
LEARN_PERIOD_S = 0.3
# How far ahead the own loads of serving tasks are looked at when a filler
# is placed beside them: the guard sees later changes in time.
AHEAD_S = 0.3
# The same for a filler that adds much; slowing it later would come too late.
HEAVY_AHEAD_S = 2.5
# Load that a filler adds from which it adds much.
HEAVY_LOAD = 0.07
# Age from which the tail of a serving task tells of its load.
WARM_S = 1.0
# A worker whose last answer is older gets no new runs.
FRESH_S = 2.5


class Worker:
    """A worker with the runs that may be on it.

    Args:
        registration: What the directory says of it.
        link: Calls to it.
        token: Fencing token of the holder.
        lease: Its lease.

    Attributes:
        runs: Runs that may be there, by task name.
        acknowledged: Number of the last end that is in the store.
        seen: Number of the last end that was taken in.
        born_unix_ms: Start of the life that we know; 0 before an answer.
        answered_at_s: When it last answered; 0 before.
        is_gone: Whether the directory no longer lists it.
        is_over: Whether the life of the worker is over for its holder.
        no_fillers_until_s: Monotonic time before which no filler starts.
        leaving_images: Serving images that are moved off the worker, with
            the monotonic time until which none of them is placed here.
    """

    __slots__ = (
        "_history",
        "_learned_at_s",
        "_loads_ahead",
        "_own_loads",
        "_serving_millicores",
        "_soundness",
        "acknowledged",
        "answered_at_s",
        "avoided_until_s",
        "born_unix_ms",
        "filler_millicores",
        "free_memory_mb",
        "free_accelerators",
        "free_millicores",
        "is_gone",
        "is_over",
        "lease",
        "leaving_images",
        "link",
        "no_fillers_until_s",
        "orders",
        "orders_out",
        "registration",
        "runs",
        "seen",
        "speed",
        "token",
    )

    def __init__(
        self,
        *,
        registration: runners.Registration,
        link: runners.RunLink,
        token: int,
        lease: leases.Lease,
    ):
        self.registration = registration
        self.link = link
        self.token = token
        self.lease = lease
        self.runs: dict[str, runs.Run] = {}
        self.acknowledged = 0
        self.seen = 0
        self.born_unix_ms = 0
        self.answered_at_s = 0.0
        self.is_gone = False
        self.is_over = False
        self.avoided_until_s = 0.0
        self.no_fillers_until_s = 0.0
        self.leaving_images: dict[str, float] = {}
        self.filler_millicores = 0
        self._serving_millicores = 0
        self._history = share_histories.ShareHistory()
        self._learned_at_s = 0.0
        self._own_loads: dict[str, pressure.OwnLoad] = {}
        self._loads_ahead: dict[float, dict[str, float]] = {}
        self.free_millicores = registration.cpu_millicores
        self.free_memory_mb = registration.memory_mb
        self.free_accelerators = registration.accelerators
        self.speed = 1.0
        self._soundness = soundness.Soundness()
        # Orders are few and short; the rooms of the worker bound them.
        self.orders, self.orders_out = anyio.create_memory_object_stream[
            runs.Run
        ](math.inf)

    def order(self, run: runs.Run) -> None:
        """Have a run started, or stopped if that was decided.

        Args:
            run: The run.
        """
        if not self.is_over:
            self.orders.send_nowait(run)

    def close(self) -> None:
        """End the queue of orders."""
        self.is_over = True
        self.orders.close()
        self.orders_out.close()

    @property
    def id(self) -> str:
        """Id of the worker."""
        return self.registration.worker_id

    def update(self, found: runners.Registration) -> None:
        """Take in what the directory says now.

        Args:
            found: The worker in the directory.
        """
        held = self.registration
        self.free_millicores += found.cpu_millicores - held.cpu_millicores
        self.free_memory_mb += found.memory_mb - held.memory_mb
        self.free_accelerators += found.accelerators - held.accelerators
        self.registration = found
        self.is_gone = False

    def take(self, run: runs.Run) -> None:
        """Take the room of a run.

        Args:
            run: The run.
        """
        self.runs[run.name] = run
        self._loads_ahead.clear()
        self._count(run.step, 1)

    def free(self, run: runs.Run) -> None:
        """Give back the room of a run that is surely not there.

        Args:
            run: The run.
        """
        if self.runs.get(run.name) is run:
            del self.runs[run.name]
            self._own_loads.pop(run.job.id, None)
            self._count(run.step, -1)
            self.note_shares(anyio.current_time())

    def _count(self, step: specs.StepSpec, sign: int) -> None:
        if step.is_filler:
            self.filler_millicores += sign * step.cpu_millicores
        else:
            self.free_millicores -= sign * step.cpu_millicores
        if step.tail_target_ms > 0:
            self._serving_millicores += sign * step.cpu_millicores
        self.free_memory_mb -= sign * step.memory_mb
        self.free_accelerators -= sign * step.accelerators

    def accepts(
        self, step: specs.StepSpec, task_name: str, now_s: float
    ) -> bool:
        """Tell whether a task may be placed here.

        Args:
            step: Step of the task.
            task_name: Name of the task.
            now_s: Monotonic time.
        """
        if not self.has_room(step) or not self.welcomes(step, now_s):
            return False
        if step.required_label not in ("", *self.registration.labels):
            return False
        if not step.most_per_worker:
            return True
        step_name = task_name.rpartition(".")[0] + "."
        return self.spread_count(step_name) < step.most_per_worker

    def has_room(self, step: specs.StepSpec) -> bool:
        """Tell whether a task of a step fits beside what may be there.

        Args:
            step: The step.
        """
        if step.memory_mb > self.free_memory_mb:
            return False
        if step.accelerators > self.free_accelerators:
            return False
        return step.is_filler or step.cpu_millicores <= self.free_millicores

    def is_usable(self, now_s: float) -> bool:
        """Tell whether new runs may be sent here.

        Args:
            now_s: Monotonic time.
        """
        return (
            not self.is_gone
            and not self.registration.is_draining
            and self.born_unix_ms > 0
            and self.is_fresh(now_s)
            and now_s >= self.avoided_until_s
        )

    def welcomes(self, step: specs.StepSpec, now_s: float) -> bool:
        """Tell whether tasks of a step may come here, room apart.

        Args:
            step: The step.
            now_s: Monotonic time.
        """
        if step.is_filler:
            return now_s >= self.no_fillers_until_s
        return now_s >= self.leaving_images.get(step.image, 0.0)

    def spread_count(self, step_name: str) -> int:
        """Return how many tasks of a step and occurrence are here.

        Args:
            step_name: What their names have in common.
        """
        return sum(1 for name in self.runs if name.startswith(step_name))

    def lease_for_start(self, now_s: float) -> int:
        """Return the end of the lease that goes out with a start.

        Args:
            now_s: Monotonic time.

        Returns:
            A renewed lease while the worker answers, else the last one.
        """
        if self.is_fresh(now_s):
            return self.lease.grant(now_s)
        return self.lease.granted_until_ms

    def is_fresh(self, now_s: float) -> bool:
        """Tell whether the worker answered lately.

        Args:
            now_s: Monotonic time.
        """
        return now_s - self.answered_at_s <= FRESH_S

    def capacity_millicores(self) -> int:
        """Return the processor of the worker."""
        return max(1, self.registration.cpu_millicores)

    def left_over(self) -> float:
        """Return the processor that nothing here is expected to use.

        Serving tasks use a part of what they ask for, on average.
        """
        unused = (1 - SERVING_USE_SHARE) * self._serving_millicores
        left = self.free_millicores + unused - self.filler_millicores
        return left * self.speed

    def serving_images(self) -> dict[str, int]:
        """Return how many tasks with a bound on their tail are here."""
        found: dict[str, int] = {}
        for run in self.runs.values():
            if run.step.tail_target_ms > 0:
                found[run.step.image] = found.get(run.step.image, 0) + 1
        return found

    def shut_out(self, book: pressure.PressureBook) -> frozenset[str]:
        """Return the filler images that a serving task here can't bear.

        Args:
            book: What is known of how fillers disturb serving tasks.
        """
        return frozenset().union(
            *(book.heavy_fillers(image) for image in self.serving_images())
        )

    def share_of(self, run: runs.Run) -> float:
        """Return the share of the processor at which a filler works.

        Args:
            run: The filler.
        """
        share = run.step.cpu_millicores / self.capacity_millicores()
        return share * run.pace_percent / 100

    def filler_shares(self) -> dict[str, float]:
        """Return the shares of the processor of the fillers, by image."""
        return self._shares_of(
            run for run in self.runs.values() if not run.is_stopping
        )

    def _shares_of(self, found: typing.Iterable[runs.Run]) -> dict[str, float]:
        """Return the shares of the fillers among some runs, by image."""
        shares: dict[str, float] = {}
        for run in found:
            if run.step.is_filler:
                share = shares.get(run.step.image, 0.0)
                shares[run.step.image] = share + self.share_of(run)
        return shares

    def note_shares(self, now_s: float) -> None:
        """Note that a filler here has started, ended or changed its pace.

        Args:
            now_s: Monotonic time.
        """
        self._loads_ahead.clear()
        shares = self._shares_of(
            run for run in self.runs.values() if run.is_confirmed
        )
        self._history.note(shares, now_s)

    def loads_ahead(
        self, book: pressure.PressureBook, ahead_s: float = AHEAD_S
    ) -> dict[str, float]:
        """Return the highest load to expect soon, by serving image.

        Args:
            book: What is known of how fillers disturb serving tasks.
            ahead_s: How far ahead.
        """
        found = self._loads_ahead.get(ahead_s)
        if found is not None:
            return found
        own: dict[str, float] = {}
        for run in self.runs.values():
            if run.step.tail_target_ms > 0:
                image = run.step.image
                ahead = book.own_ahead(image, self.own_load(run), ahead_s)
                own[image] = max(own.get(image, 0.0), ahead)
        shares = self.filler_shares()
        found = {
            image: load + book.cautious_load(image, shares)
            for image, load in own.items()
        }
        self._loads_ahead[ahead_s] = found
        return found

    def load_with(
        self, step: specs.StepSpec, book: pressure.PressureBook
    ) -> float:
        """Return the highest load to expect beside one more filler.

        Args:
            step: Step of the filler.
            book: What is known of how fillers disturb serving tasks.

        Returns:
            0 if nothing here has a bound on its tail.
        """
        share = step.cpu_millicores / self.capacity_millicores()
        highest = 0.0
        for image, load in self.loads_ahead(book).items():
            added = book.cautious_weight(image, step.image) * share
            if added >= HEAVY_LOAD:
                load = self.loads_ahead(book, HEAVY_AHEAD_S)[image]
            highest = max(highest, load + added)
        return highest

    def learn(self, book: pressure.PressureBook, now_s: float) -> None:
        """Learn from the tails in the newest report.

        Args:
            book: Where it is kept.
            now_s: Monotonic time.
        """
        if now_s - self._learned_at_s < LEARN_PERIOD_S:
            return
        self._learned_at_s = now_s
        self._loads_ahead.clear()
        shares = self._history.mean(now_s)
        for told in self._warm_runs(now_s).values():
            # Tasks of one job share its callers, so their tails together
            # tell one load.
            strain = sum(run.strain() for run in told) / len(told)
            book.learn(
                told[0].step.image,
                self.own_load(told[0]),
                shares,
                strain,
                now_s,
            )

    def own_load(self, run: runs.Run) -> pressure.OwnLoad:
        """Return what is known of the load that a task's callers make.

        Args:
            run: A run of the task.
        """
        return self._own_loads.setdefault(run.job.id, pressure.OwnLoad())

    def _warm_runs(self, now_s: float) -> dict[str, list[runs.Run]]:
        """Return the serving tasks whose tails tell something, by job."""
        found: dict[str, list[runs.Run]] = {}
        for run in self.runs.values():
            if run.step.tail_target_ms <= 0 or run.signal <= 0:
                continue
            if now_s - run.started_at_s >= WARM_S:
                found.setdefault(run.job.id, []).append(run)
        return found

    def note_refusal(self, now_s: float) -> None:
        """Leave the worker alone for a moment after it refused a start.

        Args:
            now_s: Monotonic time.
        """
        self.avoided_until_s = max(
            self.avoided_until_s, now_s + REFUSAL_PAUSE_S
        )

    def note_end(self, run: runs.Run, has_failed: bool, now_s: float) -> bool:
        """Learn from the end of a run whether the worker is sound.

        Args:
            run: The run.
            has_failed: Whether it failed.
            now_s: Monotonic time.

        Returns:
            Whether the worker is now on probation.
        """
        length_s = self._soundness.note_end(run.job.id, has_failed)
        if not length_s:
            return False
        self.avoided_until_s = now_s + length_s
        return True

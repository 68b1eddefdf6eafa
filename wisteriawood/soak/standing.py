"""Checks that standing tasks run again soon after their last run."""

import contextlib
import math
import typing

from wisteriawood.jobs import specs
from wisteriawood.soak import checks

# A standing task runs again this long after the end of its last run, and at
# most ROOM_S later if there is room for it all that time.
RESTART_S = 6.0
ROOM_S = 3.0
# Time before ROOM_S that must be free of disruptions as well.
CALM_BEFORE_S = 4.0
# How often the task must fit, on one worker or on several.
COPIES = 2
# Tasks of one step on a worker, without anti-affinity.
UNLIMITED_TASKS = 1000
# Gaps of at least this duration are listed, and those in which there was room
# for at least this time.
LISTED_GAP_S = 6.5
LISTED_ROOM_S = 1.0
# Faults after which the rule holds all the same.
HARMLESS_FAULTS = frozenset({"new-configuration", "reload-host"})


class Disruptions:
    """The faults in progress, and the end of the last one."""

    __slots__ = ("_active", "_ended_at_s", "_now_s")

    def __init__(self, *, now_s: typing.Callable[[], float]):
        self._now_s = now_s
        self._active = 0
        self._ended_at_s = -math.inf

    @contextlib.contextmanager
    def during(self, name: str) -> typing.Iterator[None]:
        """Return a context in which a fault is in progress.

        Args:
            name: Name of the fault.
        """
        if name in HARMLESS_FAULTS:
            yield
            return
        self._active += 1
        try:
            yield
        finally:
            self._active -= 1
            self._ended_at_s = self._now_s()

    def calm_s(self) -> float:
        """Return for how long no fault has been in progress."""
        if self._active:
            return 0.0
        return self._now_s() - self._ended_at_s


class Room:
    """Room for a task on the living workers of its service.

    Attributes:
        copies: How often the task fits.
        most_millicores: Most free CPU of one worker.
    """

    __slots__ = ("copies", "most_millicores")

    def __init__(self):
        self.copies = 0
        self.most_millicores = 0

    def add(self, free: specs.StepSpec, needs: specs.StepSpec) -> None:
        """Add the free capacity of a worker.

        Args:
            free: The free capacity, and how many tasks of the step the
                worker may still run.
            needs: Step of the task.
        """
        self.most_millicores = max(self.most_millicores, free.cpu_millicores)
        fitting = free.task_count
        for left, need in (
            (free.cpu_millicores, needs.cpu_millicores),
            (free.memory_mb, needs.memory_mb),
            (free.accelerators, needs.accelerators),
        ):
            if need:
                fitting = min(fitting, left // need)
        self.copies += max(0, fitting)

    def __str__(self) -> str:
        return f"{self.copies} times (at most {self.most_millicores} free)"


class Gap:
    """A time for which a standing task does not run.

    Attributes:
        since_s: Time of the end of its last run.
        room_since_s: Time since which there has been room for it; infinite
            while there is none.
        is_recorded: Whether it was recorded as a breach.
    """

    __slots__ = ("is_recorded", "room_since_s", "since_s")

    def __init__(self, *, since_s: float):
        self.since_s = since_s
        self.room_since_s = math.inf
        self.is_recorded = False


class StandingWatch:
    """Watches the standing tasks of accepted jobs.

    Args:
        checker: Knows the jobs and the workers; records the breaches.

    Attributes:
        disruptions: The faults in progress.
        gaps: Descriptions of the long gaps that have ended.
        roomy_gaps: Descriptions of gaps that went on although there was room.
        longest_gap_s: Duration of the longest gap that has ended.
    """

    __slots__ = (
        "_checker",
        "_open",
        "disruptions",
        "gaps",
        "longest_gap_s",
        "roomy_gaps",
    )

    def __init__(self, *, checker: checks.Checker):
        self._checker = checker
        self._open: dict[str, Gap] = {}
        self.disruptions = Disruptions(now_s=checker.now_s)
        self.gaps: list[str] = []
        self.roomy_gaps: list[str] = []
        self.longest_gap_s = 0.0

    def check(self) -> None:
        """Check the standing tasks as they are now."""
        away = self._find_away()
        for name in set(self._open) - set(away):
            self._close(name, self._open.pop(name))
        for name, since_s in away.items():
            gap = self._open.get(name)
            if gap is None or gap.since_s != since_s:
                gap = self._open[name] = Gap(since_s=since_s)
            self._check_gap(name, gap)

    def _find_away(self) -> dict[str, float]:
        """Return the ends of the last runs of tasks that are away."""
        found = {}
        for sent in self._checker.sent.values():
            if not sent.is_standing() or not sent.is_accepted:
                continue
            if sent.is_cancel_sent:
                continue
            for name in set(sent.names()) - self._checker.runs_of(sent):
                if name in self._checker.ended_at_s:
                    found[name] = self._checker.ended_at_s[name]
        return found

    def _close(self, name: str, gap: Gap) -> None:
        sent = self._checker.sent[name.partition(".")[0]]
        if sent.is_cancel_sent:
            return
        away_s = self._checker.now_s() - gap.since_s
        self.longest_gap_s = max(self.longest_gap_s, away_s)
        if away_s >= LISTED_GAP_S:
            self.gaps.append(
                f"{gap.since_s:.2f} s {name} away for {away_s:.2f} s"
            )
        room_s = self._checker.now_s() - gap.room_since_s
        if room_s >= LISTED_ROOM_S:
            self.roomy_gaps.append(
                f"{gap.since_s:.2f} s {name} away for {away_s:.2f} s, with "
                f"room for {room_s:.2f} s"
            )

    def lost_zone(self) -> str:
        """Return the zone of the worker that was lost last; empty for none."""
        lost = [
            (worker.lost_at_s, worker.registration.zone)
            for worker in self._checker.workers.values()
            if worker.lost_at_s
        ]
        return max(lost, default=(0.0, ""))[1]

    def _check_gap(self, name: str, gap: Gap) -> None:
        now_s = self._checker.now_s()
        if now_s - gap.since_s < RESTART_S:
            return
        room = self.find_room(name, counts_ending=False)
        if room.copies < COPIES:
            gap.room_since_s = math.inf
            return
        gap.room_since_s = min(gap.room_since_s, now_s)
        calm_s = self.disruptions.calm_s()
        if gap.is_recorded or now_s - gap.room_since_s < ROOM_S:
            return
        if calm_s < ROOM_S + CALM_BEFORE_S:
            return
        gap.is_recorded = True
        step = self._checker.step_of(name)
        rest = self.find_room(name, counts_ending=True)
        self._checker.record_breach(
            "lost",
            f"{name} away for {now_s - gap.since_s:.1f} s since "
            f"{gap.since_s:.2f} s; needs {step.cpu_millicores} millicores, "
            f"{step.memory_mb} MB; room but for tasks that end: {room}, "
            f"beside them: {rest}",
        )

    def find_room(self, name: str, *, counts_ending: bool) -> Room:
        """Return the room for a standing task on all workers.

        Args:
            name: Name of the task.
            counts_ending: Whether tasks that end take room; otherwise only
                standing tasks do.
        """
        needs = self._checker.step_of(name)
        found = Room()
        for worker in self._checker.workers.values():
            if worker.is_dead or worker.registration.is_draining:
                continue
            found.add(self._find_free(worker, name, counts_ending), needs)
        return found

    def _find_free(
        self, worker: checks.WatchedWorker, name: str, counts_ending: bool
    ) -> specs.StepSpec:
        entry = worker.registration
        most = self._checker.step_of(name).most_per_worker
        step_name = name.rpartition(".")[0] + "."
        free = specs.StepSpec(
            task_count=most or UNLIMITED_TASKS,
            cpu_millicores=entry.cpu_millicores,
            memory_mb=entry.memory_mb,
            accelerators=entry.accelerators,
        )
        for other in worker.runs:
            step = self._checker.step_of(other)
            if most and other.startswith(step_name):
                free.task_count -= 1
            if not (step.is_standing or counts_ending):
                continue
            # Fillers reserve no CPU.
            free.cpu_millicores -= (not step.is_filler) * step.cpu_millicores
            free.memory_mb -= step.memory_mb
            free.accelerators -= step.accelerators
        return free

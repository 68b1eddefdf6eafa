"""Workers of a cell: their capacity, runs and expected loads."""

import copy
import math
import typing

import anyio

from wisteriawood.cells import interference_models
from wisteriawood.cells import late_starts
from wisteriawood.cells import leases
from wisteriawood.cells import probations
from wisteriawood.cells import runs
from wisteriawood.cells import share_histories
from wisteriawood.cells import worker_groups
from wisteriawood.jobs import specs
from wisteriawood.links import runners

# Time without new starts on a worker after it refused one.
REFUSAL_PAUSE_S = 0.5
# Share of their requested CPU that serving tasks are expected to use, with
# some headroom.
SERVING_UTILIZATION = 0.5
# Least time between two reports used for estimates; the tail latencies of
# reports in between cover almost the same time.
LEARN_INTERVAL_S = 0.3
# How far ahead the baseline loads of serving tasks are projected when a filler
# is placed beside them; the filler pacer reacts in time to later changes.
LOOKAHEAD_S = 0.3
# The same for a filler that adds much load: slowing it later is too late.
HEAVY_LOOKAHEAD_S = 2.5
# Added load from which a filler needs the longer lookahead.
HEAVY_ADDED_LOAD = 0.07
# Age of a serving task from which its tail latency reflects its load.
TAIL_WARMUP_S = 1.0
# Time without an answer after which a worker counts as silent once a renewal
# has failed; the first retry follows within it.
SILENCE_S = 0.5
# Workers whose last answer is older get no new runs.
MAX_ANSWER_AGE_S = 2.5


class Worker:
    """A worker with the runs that may be on it, as its cell's holder sees it.

    Args:
        registration: Entry of the worker in the directory.
        link: Sends commands to the worker.
        token: Fencing token of the holder.
        lease: Lease that the holder grants to the worker.

    Attributes:
        runs: Runs that may be on the worker, by task name.
        acknowledged: Number of the last reported end that is stored.
        last_processed_end: Number of the last reported end that was processed.
        started_unix_ms: Start of the worker's known process, as wall time; 0
            before its first answer.
        answered_at_s: Monotonic time of the last answer; 0 before the first.
        answer_due_at_s: Monotonic time from which the answer to the renewal
            under way is overdue; infinite while there is none.
        renewed_at_s: Monotonic time at which the last renewal that extends
            the lease was sent; 0 before the first.
        restarts: Number of restarts of its process that were noticed.
        renewal: Scope of the renewal of the lease that is under way; None for
            none.
        is_answering: Whether the last renewal of the lease was answered.
        lost_from_s: Monotonic time from which it counts as lost rather than
            slow unless a retry is answered; set when a renewal fails.
        commands: Sending end of the queue of runs to start or stop.
        commands_out: Receiving end of that queue.
        free_millicores: CPU that no task has reserved; fillers reserve none.
        free_memory_mb: Memory that no task has reserved.
        free_accelerators: Accelerators that no task has reserved.
        filler_millicores: CPU that the fillers here request.
        speed: Factor applied to the unused CPU; always 1 at present.
        avoided_until_s: Monotonic time before which no run is sent here.
        is_gone: Whether the directory no longer lists the worker.
        is_closed: Whether the holder no longer sends commands to the worker.
        no_fillers_until_s: Monotonic time before which no filler starts.
        blocked_images_until_s: Monotonic time until which no task of an
            image is placed here after one was moved away, by image.
    """

    __slots__ = (
        "_baseline_loads",
        "_learned_at_s",
        "_probation",
        "_projected_loads",
        "_serving_millicores",
        "_share_history",
        "acknowledged",
        "answer_due_at_s",
        "answered_at_s",
        "avoided_until_s",
        "blocked_images_until_s",
        "started_unix_ms",
        "commands",
        "commands_out",
        "filler_millicores",
        "free_accelerators",
        "free_memory_mb",
        "free_millicores",
        "is_answering",
        "is_closed",
        "is_gone",
        "last_processed_end",
        "lease",
        "link",
        "lost_from_s",
        "no_fillers_until_s",
        "registration",
        "renewal",
        "renewed_at_s",
        "restarts",
        "runs",
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
        self.last_processed_end = 0
        self.started_unix_ms = 0
        self.renewed_at_s = 0.0
        self.restarts = 0
        self.renewal: anyio.CancelScope | None = None
        self.answered_at_s = 0.0
        self.answer_due_at_s = math.inf
        self.is_answering = False
        self.lost_from_s = 0.0
        self.is_gone = False
        self.is_closed = False
        self.avoided_until_s = 0.0
        self.no_fillers_until_s = 0.0
        self.blocked_images_until_s: dict[str, float] = {}
        self.filler_millicores = 0
        self._serving_millicores = 0
        self._share_history = share_histories.ShareHistory()
        self._learned_at_s = 0.0
        self._baseline_loads: dict[str, interference_models.BaselineLoad] = {}
        self._projected_loads: dict[float, dict[str, float]] = {}
        self.free_millicores = registration.cpu_millicores
        self.free_memory_mb = registration.memory_mb
        self.free_accelerators = registration.accelerators
        self.speed = 1.0
        self._probation = probations.ProbationTracker()
        # Unbounded, since the worker's capacity limits the number of runs.
        self.commands, self.commands_out = anyio.create_memory_object_stream[
            runs.Run
        ](math.inf)

    def queue_command(self, run: runs.Run) -> None:
        """Queue the start of a run, or its stop if it is stopping.

        Args:
            run: The run.
        """
        if not self.is_closed:
            self.commands.send_nowait(run)

    def close(self) -> None:
        """Close the queue of commands."""
        self.is_closed = True
        self.commands.close()
        self.commands_out.close()

    @property
    def id(self) -> str:
        """Id of the worker."""
        return self.registration.worker_id

    def update(self, new: runners.Registration) -> None:
        """Replace the directory entry and adjust the free capacity.

        Args:
            new: The worker's newest entry in the directory.
        """
        old = self.registration
        self.free_millicores += new.cpu_millicores - old.cpu_millicores
        self.free_memory_mb += new.memory_mb - old.memory_mb
        self.free_accelerators += new.accelerators - old.accelerators
        self.registration = new
        self.is_gone = False

    def add_run(self, run: runs.Run) -> None:
        """Reserve capacity for a run.

        Args:
            run: The run.
        """
        self.runs[run.name] = run
        self._projected_loads.clear()
        self._adjust_usage(run.step, 1)

    def remove_run(self, run: runs.Run) -> None:
        """Release the capacity of a run that is certainly not running.

        Args:
            run: The run.
        """
        if self.runs.get(run.name) is run:
            del self.runs[run.name]
            self._baseline_loads.pop(run.job.id, None)
            self._adjust_usage(run.step, -1)
            self.record_shares(anyio.current_time())

    def _adjust_usage(self, step: specs.StepSpec, sign: int) -> None:
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
        """Return whether a task may be placed here.

        Args:
            step: Step of the task.
            task_name: Name of the task.
            now_s: Monotonic time.
        """
        return not self.find_conflict(step, task_name, now_s)

    def find_conflict(
        self, step: specs.StepSpec, task_name: str, now_s: float
    ) -> str:
        """Return why a task may not be placed here.

        Args:
            step: Step of the task.
            task_name: Name of the task.
            now_s: Monotonic time.

        Returns:
            The reason; empty if the task may be placed here.
        """
        shortage = self.find_shortage(step)
        if shortage:
            return shortage
        if not self.is_unblocked_for(step, now_s):
            return "blocked for fillers" if step.is_filler else "blocked image"
        if step.required_label not in ("", *self.registration.labels):
            return "label"
        if step.most_per_worker and not self.accepts_beside(step, task_name):
            return "anti-affinity"
        return ""

    def accepts_beside(self, step: specs.StepSpec, task_name: str) -> bool:
        """Return whether few enough tasks of a step are here already.

        Args:
            step: The step, which limits their number.
            task_name: Name of a further task.
        """
        step_name = task_name.rpartition(".")[0] + "."
        return self.count_step_tasks(step_name) < step.most_per_worker

    def lasting_group(self) -> worker_groups.WorkerGroup:
        """Return the worker with the capacity that no standing task has."""
        group = self.free_group()
        for run in self.runs.values():
            step = run.step
            if step.is_standing:
                continue
            if not step.is_filler:
                group.cpu_millicores += step.cpu_millicores
            group.memory_mb += step.memory_mb
            group.accelerators += step.accelerators
        return group

    def total_group(self) -> worker_groups.WorkerGroup:
        """Return the worker with all of its capacity."""
        entry = self.registration
        return worker_groups.WorkerGroup(
            workers=1,
            cpu_millicores=entry.cpu_millicores,
            memory_mb=entry.memory_mb,
            accelerators=entry.accelerators,
            labels=[name for name in entry.labels if name != entry.rack],
        )

    def free_group(self) -> worker_groups.WorkerGroup:
        """Return the worker with the capacity that no task has reserved."""
        group = self.total_group()
        group.cpu_millicores = max(0, self.free_millicores)
        group.memory_mb = max(0, self.free_memory_mb)
        group.accelerators = max(0, self.free_accelerators)
        return group

    def has_capacity_for(self, step: specs.StepSpec) -> bool:
        """Return whether there is enough free capacity for a task of a step.

        Fillers reserve no CPU.

        Args:
            step: The step.
        """
        return not self.find_shortage(step)

    def find_shortage(self, step: specs.StepSpec) -> str:
        """Return which resource does not suffice for a task of a step.

        Args:
            step: The step.

        Returns:
            The resource; empty if there is enough free capacity.
        """
        if step.memory_mb > self.free_memory_mb:
            return "memory"
        if step.accelerators > self.free_accelerators:
            return "accelerators"
        if step.is_filler or step.cpu_millicores <= self.free_millicores:
            return ""
        return "CPU"

    def is_usable(self, now_s: float) -> bool:
        """Return whether new runs may be sent here.

        Args:
            now_s: Monotonic time.
        """
        return not self.find_fault(now_s)

    def find_fault(self, now_s: float) -> str:
        """Return why no new runs may be sent here.

        Args:
            now_s: Monotonic time.

        Returns:
            The reason; empty if new runs may be sent.
        """
        if self.is_gone:
            return "gone"
        if self.registration.is_draining:
            return "draining"
        if self.started_unix_ms <= 0:
            return "never answered"
        if not self.is_answering or not self.has_answered_recently(now_s):
            return "silent"
        if self.lease.is_withheld:
            return "its lease is not extended"
        if now_s < self.avoided_until_s:
            return "on probation or refusing"
        return ""

    def snapshot(self) -> "Worker":
        """Return a copy whose forecasts are not kept by this worker."""
        found = copy.copy(self)
        found._projected_loads = dict(self._projected_loads)
        found._baseline_loads = dict(self._baseline_loads)
        return found

    def is_unblocked_for(self, step: specs.StepSpec, now_s: float) -> bool:
        """Return whether no temporary block excludes tasks of a step.

        Args:
            step: The step.
            now_s: Monotonic time.
        """
        if step.is_filler:
            return now_s >= self.no_fillers_until_s
        return now_s >= self.blocked_images_until_s.get(step.image, 0.0)

    def count_step_tasks(self, step_name: str) -> int:
        """Return how many tasks of one occurrence of a step are here.

        Args:
            step_name: Common prefix of the task names.
        """
        return sum(1 for name in self.runs if name.startswith(step_name))

    def end_instance(self, started_unix_ms: int) -> None:
        """Forget an instance of the worker's process, as another one answers.

        The numbers of ends and the end of the lease are of that instance. The
        next one has seen no token; once it has answered the higher one, it
        accepts nothing that was sent to the former one.

        Args:
            started_unix_ms: Start time of the instance that has ended.
        """
        if self.started_unix_ms != started_unix_ms:
            return
        self.started_unix_ms = 0
        self.restarts += 1
        self.token += 1
        self.last_processed_end = self.acknowledged = 0
        self.lease.reset()
        if self.renewal is not None:
            self.renewal.cancel()

    def check_fence(self, token: int) -> None:
        """Check that it was this holder's next token that fenced a call.

        Args:
            token: Token of the call.

        Raises:
            FencedError: The worker has a newer holder.
        """
        if self.token <= token:
            raise runners.FencedError("the worker has a newer holder")

    def late_start_until_s(self, run: runs.Run) -> float:
        """Return until when a start without an answer may affect a run.

        It takes no effect after an answer that came later than it may. A
        renewal of a former instance may prolong what it has started.

        Args:
            run: A run on this worker.

        Returns:
            Monotonic time; infinitely early if there is no such start.
        """
        until_s = max(
            run.late_start_until_s, self.lease.former_start_until_s(run.name)
        )
        if until_s <= self.answered_at_s:
            return -math.inf
        return max(until_s, self.renewed_at_s + late_starts.LATE_ORDER_S)

    def late_start_ends_s(self, run: runs.Run) -> float:
        """Return until when a start without an answer may let a run go on.

        Args:
            run: A run on this worker.

        Returns:
            Monotonic time; infinitely early if there is no such start.
        """
        return self.late_start_until_s(run) + leases.lapse_s(
            self.lease.longest_s
        )

    def run_ended_at_s(self, run: runs.Run) -> float:
        """Return from when a run is certainly over if the worker is silent.

        Its lease bounds what the known instance of the worker's process has
        answered. A start without an answer may take effect in another one.

        Args:
            run: A run on this worker.

        Returns:
            Monotonic time.
        """
        return max(self.lease.ended_at_s(), self.late_start_ends_s(run))

    def find_lapsed_runs(self, now_s: float) -> list[runs.Run]:
        """Return the runs that are certainly over if the worker is silent.

        Args:
            now_s: Monotonic time.
        """
        if not self.lease.has_lapsed(now_s):
            return []
        return [
            run
            for run in self.runs.values()
            if now_s >= self.run_ended_at_s(run)
        ]

    def has_lapsed(self, now_s: float) -> bool:
        """Return whether nothing can run here if the worker is silent.

        Args:
            now_s: Monotonic time.
        """
        return self.lease.has_lapsed(now_s) and len(
            self.find_lapsed_runs(now_s)
        ) == len(self.runs)

    def lease_for_start(self, now_s: float) -> int:
        """Return the end of the lease to send with a start.

        Only renewals extend a lease: a start that a lost worker never
        answers must not prolong the wait for the end of its lease.

        Args:
            now_s: Monotonic time.

        Returns:
            End of the lease on the worker's clock, in milliseconds. If the
            worker answers and has none, that of a new one.
        """
        if self.is_answering and not self.lease.is_granted(now_s):
            return self.lease.grant(now_s)
        return self.lease.granted_until_ms

    def is_silent(self, now_s: float) -> bool:
        """Return whether the worker left a renewal unanswered, and another.

        A single failed call may be due to its connection.

        Args:
            now_s: Monotonic time.
        """
        if self.is_answering:
            return False
        return now_s - self.answered_at_s > SILENCE_S

    def has_answered_recently(self, now_s: float) -> bool:
        """Return whether the worker answered recently.

        Args:
            now_s: Monotonic time.
        """
        return now_s - self.answered_at_s <= MAX_ANSWER_AGE_S

    def capacity_millicores(self) -> int:
        """Return the worker's CPU in millicores, at least 1."""
        return max(1, self.registration.cpu_millicores)

    def unused_millicores(self) -> float:
        """Return the CPU expected to stay unused, in millicores.

        Serving tasks use only a part of the CPU they request, on average.
        The result is multiplied by the worker's speed.
        """
        unused = (1 - SERVING_UTILIZATION) * self._serving_millicores
        left = self.free_millicores + unused - self.filler_millicores
        return left * self.speed

    def serving_images(self) -> dict[str, int]:
        """Return the number of serving tasks here, by image."""
        found: dict[str, int] = {}
        for run in self.runs.values():
            if run.step.tail_target_ms > 0:
                found[run.step.image] = found.get(run.step.image, 0) + 1
        return found

    def excluded_fillers(
        self, model: interference_models.InterferenceModel
    ) -> frozenset[str]:
        """Return the filler images incompatible with a serving task here.

        Args:
            model: Estimates of the load that fillers add.
        """
        return frozenset().union(
            *(
                model.incompatible_fillers(image)
                for image in self.serving_images()
            )
        )

    def share_of(self, run: runs.Run) -> float:
        """Return the share of the worker's CPU that a filler may use.

        Args:
            run: The filler.
        """
        share = run.step.cpu_millicores / self.capacity_millicores()
        return share * run.pace_percent / 100

    def filler_shares(self) -> dict[str, float]:
        """Return the CPU shares of the fillers, by image."""
        return self._shares_of(
            run for run in self.runs.values() if not run.is_stopping
        )

    def _shares_of(
        self, selected: typing.Iterable[runs.Run]
    ) -> dict[str, float]:
        """Return the CPU shares of the fillers among some runs, by image."""
        shares: dict[str, float] = {}
        for run in selected:
            if run.step.is_filler:
                share = shares.get(run.step.image, 0.0)
                shares[run.step.image] = share + self.share_of(run)
        return shares

    def record_shares(self, now_s: float) -> None:
        """Record the CPU shares after a filler or its pace has changed.

        Args:
            now_s: Monotonic time.
        """
        self._projected_loads.clear()
        shares = self._shares_of(
            run for run in self.runs.values() if run.is_confirmed
        )
        self._share_history.record(shares, now_s)

    def projected_loads(
        self,
        model: interference_models.InterferenceModel,
        lookahead_s: float = LOOKAHEAD_S,
    ) -> dict[str, float]:
        """Return the highest load expected within some time, by image.

        Args:
            model: Estimates of the load that fillers add.
            lookahead_s: How far to look ahead, in seconds.
        """
        found = self._projected_loads.get(lookahead_s)
        if found is not None:
            return found
        baselines: dict[str, float] = {}
        for run in self.runs.values():
            if run.step.tail_target_ms > 0:
                image = run.step.image
                ahead = model.projected_baseline(
                    image, self.baseline_load(run), lookahead_s
                )
                baselines[image] = max(baselines.get(image, 0.0), ahead)
        shares = self.filler_shares()
        found = {
            image: load + model.conservative_load(image, shares)
            for image, load in baselines.items()
        }
        self._projected_loads[lookahead_s] = found
        return found

    def load_with(
        self,
        step: specs.StepSpec,
        model: interference_models.InterferenceModel,
    ) -> float:
        """Return the highest load expected after adding a filler.

        Args:
            step: Step of the filler.
            model: Estimates of the load that fillers add.

        Returns:
            Highest load of a serving task; 0 if there is none here.
        """
        share = step.cpu_millicores / self.capacity_millicores()
        highest = 0.0
        for image, load in self.projected_loads(model).items():
            added = model.conservative_weight(image, step.image) * share
            if added >= HEAVY_ADDED_LOAD:
                load = self.projected_loads(model, HEAVY_LOOKAHEAD_S)[image]
            highest = max(highest, load + added)
        return highest

    def learn(
        self, model: interference_models.InterferenceModel, now_s: float
    ) -> None:
        """Update the estimates from the newest reported tail latencies.

        Args:
            model: Estimates to update.
            now_s: Monotonic time.
        """
        if now_s - self._learned_at_s < LEARN_INTERVAL_S:
            return
        self._learned_at_s = now_s
        self._projected_loads.clear()
        shares = self._share_history.mean(now_s)
        for job_runs in self._runs_with_tail(now_s).values():
            # Tasks of one job share its callers, so their mean latency ratio
            # is one measurement.
            latency_ratio = sum(run.latency_ratio() for run in job_runs) / len(
                job_runs
            )
            model.learn(
                job_runs[0].step.image,
                self.baseline_load(job_runs[0]),
                shares,
                latency_ratio,
                now_s,
            )

    def baseline_load(self, run: runs.Run) -> interference_models.BaselineLoad:
        """Return the estimate of the load that a task's callers cause.

        Args:
            run: A run of the task.
        """
        return self._baseline_loads.setdefault(
            run.job.id, interference_models.BaselineLoad()
        )

    def _runs_with_tail(self, now_s: float) -> dict[str, list[runs.Run]]:
        """Return serving runs with a usable tail latency, by job."""
        found: dict[str, list[runs.Run]] = {}
        for run in self.runs.values():
            if run.step.tail_target_ms <= 0 or run.signal <= 0:
                continue
            if now_s - run.started_at_s >= TAIL_WARMUP_S:
                found.setdefault(run.job.id, []).append(run)
        return found

    def record_refusal(self, now_s: float) -> None:
        """Avoid the worker for a short time after it refused a start.

        Args:
            now_s: Monotonic time.
        """
        self.avoided_until_s = max(
            self.avoided_until_s, now_s + REFUSAL_PAUSE_S
        )

    def record_end(
        self, run: runs.Run, has_failed: bool, now_s: float
    ) -> bool:
        """Count the end of a run for the worker's probation.

        Args:
            run: The run.
            has_failed: Whether it failed.
            now_s: Monotonic time.

        Returns:
            Whether the worker is now on probation.
        """
        length_s = self._probation.record_end(
            run.job.id,
            has_failed,
            assigned_at_s=run.assigned_at_s,
            now_s=now_s,
        )
        if not length_s:
            return False
        self.avoided_until_s = now_s + length_s
        return True

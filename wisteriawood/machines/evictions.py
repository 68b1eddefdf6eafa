"""Selection of the tasks to evict so that another task fits."""

import dataclasses
import typing

from wisteriawood.contracts import quotas
from wisteriawood.contracts import resources
from wisteriawood.contracts import tasks
from wisteriawood.machines import indexes
from wisteriawood.policies.eviction import base
from wisteriawood.telemetry import events

# Workers examined for one eviction plan or reservation.
SAMPLE_SIZE = 24
# Time after which an eviction that had no effect may be ordered again.
ORDER_TIMEOUT_S = 20.0
# Factor on the cost of evicting a job of a team above its fair share.
OVER_SHARE_COST_FACTOR = 0.25

_LOG = events.Logger(name=__name__)


@dataclasses.dataclass(slots=True, kw_only=True)
class Plan:
    """Tasks to evict from one worker.

    Attributes:
        entry: The worker's entry.
        victims: The tasks.
        cost: Total cost of the evictions, according to the policy.
    """

    entry: indexes.IndexEntry
    victims: list[base.Victim]
    cost: float


class Evictions:
    """Plans and orders evictions.

    Args:
        index: The workers.
        policy: Computes the cost of an eviction.
        team_quotas: Quotas of the teams, with the classes never evicted.
    """

    __slots__ = (
        "_index",
        "_ordered_at_s",
        "_policy",
        "_quotas",
        "_started_at_s",
    )

    def __init__(
        self,
        *,
        index: indexes.WorkerIndex,
        policy: base.EvictionPolicy,
        team_quotas: quotas.Quotas,
    ):
        self._quotas = team_quotas
        self._index = index
        self._policy = policy
        self._ordered_at_s: dict[str, float] = {}
        self._started_at_s: dict[str, float] = {}

    def record_start(self, task: str, *, now_s: float) -> None:
        """Record when a task was placed.

        Args:
            task: Id of the task.
            now_s: Monotonic time in seconds.
        """
        self._started_at_s[task] = now_s

    def forget_except(self, placed: set[str]) -> None:
        """Discard the state of tasks that are no longer on a worker.

        Args:
            placed: Ids of the tasks that are on workers.
        """
        for known in (self._started_at_s, self._ordered_at_s):
            for task in known.keys() - placed:
                del known[task]

    def expire_orders(self, *, now_s: float) -> None:
        """Discard old orders, so that those without effect can be repeated.

        Args:
            now_s: Monotonic time in seconds.
        """
        self._ordered_at_s = {
            task: at_s
            for task, at_s in self._ordered_at_s.items()
            if now_s - at_s < ORDER_TIMEOUT_S
        }

    def is_ordered(self, task: str) -> bool:
        """Return whether the eviction of a task has been ordered.

        Args:
            task: Id of the task.
        """
        return task in self._ordered_at_s

    def victims(
        self, entry: indexes.IndexEntry, *, now_s: float
    ) -> list[base.Victim]:
        """Return the batch jobs of a worker that may be evicted.

        The cheapest to evict comes first. Urgent jobs, jobs already being
        evicted and classes that the team's quota protects are left out.

        Args:
            entry: The worker's entry.
            now_s: Monotonic time in seconds.
        """
        evictable = []
        for task_id, placement in entry.worker.placements.items():
            spec = placement.task.spec
            if spec.kind != tasks.TaskKind.BATCH or spec.urgent:
                continue
            if task_id in self._ordered_at_s or placement.eviction_reason:
                continue
            if spec.task_class in self._quotas.of(spec.team).not_evicted:
                continue
            started_at_s = self._started_at_s.setdefault(task_id, now_s)
            evictable.append(
                base.Victim(
                    spec=spec,
                    worker=entry.worker.name,
                    allocated=placement.allocated,
                    elapsed_s=now_s - started_at_s,
                )
            )
        return base.eviction_order(self._policy, evictable)

    def plan(
        self,
        *,
        needs: resources.Resources,
        now_s: float,
        over_share: typing.Callable[[str], bool],
        only_over_share: bool,
        avoid: typing.AbstractSet[str] = frozenset(),
    ) -> Plan | None:
        """Return the cheapest plan that frees enough resources, or None.

        Args:
            needs: Resources that must be free afterwards.
            now_s: Monotonic time in seconds.
            over_share: Returns whether a team uses more than its fair share.
            only_over_share: Whether only jobs of such teams may be evicted.
            avoid: Workers on which the waiting task failed.
        """
        best = None
        for entry in self._index.sample_any(SAMPLE_SIZE):
            if entry.worker.name in avoid:
                continue
            if not needs.fits(entry.worker.capacity):
                continue
            victims = [
                victim
                for victim in self.victims(entry, now_s=now_s)
                if not only_over_share or over_share(victim.spec.team)
            ]
            plan = self._cheapest(entry, victims, needs, over_share)
            if plan and (best is None or plan.cost < best.cost):
                best = plan
        return best

    def _cheapest(
        self,
        entry: indexes.IndexEntry,
        victims: list[base.Victim],
        needs: resources.Resources,
        over_share: typing.Callable[[str], bool],
    ) -> Plan | None:
        free = entry.worker.free
        chosen: list[base.Victim] = []
        for victim in victims:
            if needs.fits(free):
                break
            chosen.append(victim)
            free = free + victim.allocated
        if not needs.fits(free):
            return None
        # A later, larger victim can make an earlier one unnecessary.
        for victim in list(chosen):
            if needs.fits(free - victim.allocated):
                chosen.remove(victim)
                free = free - victim.allocated
        cost = 0.0
        for victim in chosen:
            factor = (
                OVER_SHARE_COST_FACTOR if over_share(victim.spec.team) else 1
            )
            cost += factor * self._policy.cost(victim)
        return Plan(entry=entry, victims=chosen, cost=cost)

    def order(self, plan: Plan, *, reason: str, now_s: float) -> None:
        """Order the evictions of a plan.

        Args:
            plan: The plan.
            reason: Reason shown to the operator.
            now_s: Monotonic time in seconds.
        """
        for victim in plan.victims:
            self._ordered_at_s[victim.spec.id] = now_s
            plan.entry.worker.request_eviction(victim.spec.id, reason)
            _LOG.log(events.ROOM_MADE, task=victim.spec.id, reason=reason)

    def evict_one(
        self,
        entry: indexes.IndexEntry,
        *,
        harms: dict[str, float],
        reason: str,
        now_s: float,
    ) -> bool:
        """Order the eviction with the highest ratio of harm to cost.

        Args:
            entry: The worker's entry.
            harms: Predicted harm to services by task id, for the tasks that
                may be evicted.
            reason: Reason shown to the operator.
            now_s: Monotonic time in seconds.

        Returns:
            Whether an eviction was ordered.
        """
        victims = [
            victim
            for victim in self.victims(entry, now_s=now_s)
            if victim.spec.id in harms
        ]
        if not victims:
            return False
        worst = max(
            victims,
            key=lambda victim: (
                harms[victim.spec.id] / self._policy.cost(victim)
            ),
        )
        plan = Plan(entry=entry, victims=[worst], cost=0.0)
        self.order(plan, reason=reason, now_s=now_s)
        return True

    def find_worker_to_reserve(
        self, needs: resources.Resources
    ) -> indexes.IndexEntry | None:
        """Return a worker on which a task fits once the batch jobs end.

        Of a sample of workers, the one with the most free cores is chosen;
        None if no worker of the sample qualifies.

        Args:
            needs: Resources that the task needs.
        """
        best, most = None, -1.0
        for entry in self._index.sample_any(SAMPLE_SIZE):
            worker = entry.worker
            free = worker.free
            for placement in worker.placements.values():
                if placement.task.spec.kind == tasks.TaskKind.BATCH:
                    free = free + placement.allocated
            if not needs.fits(free):
                continue
            if worker.free.cores > most:
                best, most = entry, worker.free.cores
        return best

"""Placement where the task and its neighbours harm each other least."""

import math
import random

from wisteriawood.contracts import quotas
from wisteriawood.contracts import tasks
from wisteriawood.machines import indexes
from wisteriawood.policies import interference
from wisteriawood.policies.placement import base

SAMPLE = 16
# Slowdown of a service that a team of weight 1 allows.
ALLOWED_SLOWDOWN = 1.08
# Weight of a batch job that uses a whole worker, against one service.
BATCH_WEIGHT = 4.0
# Costs of a second instance of a group on one worker and in one rack.
SAME_WORKER_COST = 0.1
SAME_RACK_COST = 0.02
# Cost of free cores that are left over, so that large holes remain.
HOLE_COST = 0.01


def ceiling(quota: quotas.Quota) -> float:
    """Return the logarithm of the slowdown that a team allows.

    Args:
        quota: Quota of the team.
    """
    weight = max(quota.tail_latency_weight, 0.1)
    return math.log(ALLOWED_SLOWDOWN) / math.sqrt(weight)


@base.PLACEMENT.register("least-harm")
class LeastHarm:
    """Chooses, of a few random workers, the one with the least harm.

    Batch jobs are not placed where they would slow a service by more than
    its team allows; they wait instead.

    Args:
        rng: Not used; the index draws the sample.
        estimates: What is known of slowdowns.
        team_quotas: What teams weigh most.
    """

    __slots__ = ("_estimates", "_quotas")

    def __init__(
        self,
        *,
        rng: random.Random,
        estimates: interference.Estimates,
        team_quotas: quotas.Quotas,
    ):
        self._estimates = estimates
        self._quotas = team_quotas

    def choose(
        self, request: base.Request, index: indexes.WorkerIndex
    ) -> indexes.Entry:
        """Return the worker with the least harm, of a sample."""
        fitting = [
            entry
            for entry in index.sample(request.needs, SAMPLE)
            if entry.worker.name not in request.avoid
        ]
        if not fitting:
            raise base.no_room(request.needs)
        best, least = None, math.inf
        for entry in fitting:
            cost = self._cost(request, entry, index)
            if cost < least:
                best, least = entry, cost
        if best is None:
            raise base.HarmError(
                f"{len(fitting)} workers have room, but services there "
                "would be slowed by more than their team allows"
            )
        return best

    def _cost(
        self,
        request: base.Request,
        entry: indexes.Entry,
        index: indexes.WorkerIndex,
    ) -> float:
        spec = request.spec
        is_batch = spec.kind == tasks.TaskKind.BATCH
        if is_batch and entry.is_hot and not spec.urgent:
            return math.inf
        quota = self._quotas.of(spec.team)
        load = request.needs.cores / entry.worker.capacity.cores
        name = indexes.class_of(spec)
        own = 0.0
        cost = 0.0
        for other in entry.neighbours.values():
            own += self._harm(name, other.name, request) * other.load
            added = self._harm(other.name, name, request) * load
            cost += self._cost_to(request, entry, other, added)
        if is_batch:
            cost += quota.throughput_weight * BATCH_WEIGHT * load * own
        else:
            cost += quota.tail_latency_weight * own
            cost += 20 * max(0.0, own - ceiling(quota))
            cost += self._cost_of_group(spec, entry, index)
        left = entry.worker.free.cores - request.needs.cores
        return cost + HOLE_COST * left / entry.worker.capacity.cores

    def _cost_to(
        self,
        request: base.Request,
        entry: indexes.Entry,
        other: interference.Neighbour,
        added: float,
    ) -> float:
        quota = self._quotas.of(other.team)
        if other.kind == tasks.TaskKind.BATCH:
            weight = quota.throughput_weight * BATCH_WEIGHT * other.load
            return weight * added
        over = self._pressure(entry, other, request) + added - ceiling(quota)
        is_batch = request.spec.kind == tasks.TaskKind.BATCH
        if over > 0 and is_batch and not request.spec.urgent:
            return math.inf
        weight = quota.tail_latency_weight * other.count
        return weight * (added + 20 * max(0.0, over))

    def _harm(self, victim: str, other: str, request: base.Request) -> float:
        return self._estimates.harm(victim, other, request.now_s)

    def _pressure(
        self,
        entry: indexes.Entry,
        victim: interference.Neighbour,
        request: base.Request,
    ) -> float:
        found = entry.pressures.get(victim.name)
        if found is None:
            found = 0.0
            for other in entry.neighbours.values():
                load = other.load
                if other is victim:
                    load -= load / other.count
                found += self._harm(victim.name, other.name, request) * load
            entry.pressures[victim.name] = found
        return found

    def _cost_of_group(
        self,
        spec: tasks.TaskSpec,
        entry: indexes.Entry,
        index: indexes.WorkerIndex,
    ) -> float:
        group = indexes.group_of(spec)
        in_rack = index.rack_groups.get((entry.worker.rack, group), 0)
        on_worker = entry.groups.get(group, 0)
        return SAME_WORKER_COST * on_worker + SAME_RACK_COST * in_rack

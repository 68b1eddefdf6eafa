"""Placement where the task and its neighbours harm each other least."""

import math
import random

from wisteriawood.contracts import quotas
from wisteriawood.contracts import tasks
from wisteriawood.machines import indexes
from wisteriawood.policies import interference
from wisteriawood.policies.placement import base

SAMPLE = 12
# More for services, which are few, so that they spread evenly over racks.
SERVICE_SAMPLE = 64
# Slowdown of a service that a team of weight 1 allows.
ALLOWED_SLOWDOWN = 1.08
# Weight of a batch job that uses a whole worker, against one service.
BATCH_WEIGHT = 4.0
# Cost of another instance of a group on one worker, by the square of those
# there, and of one in the same rack.
SAME_WORKER_COST = 0.04
SAME_RACK_COST = 0.4
# Cost of a first service on a worker: batch that is noisy can't go there.
FIRST_SERVICE_COST = 0.3
# Cost of a whole worker's load of batch where no services are, so that
# quiet batch leaves that room to noisy batch.
CALM_COST = 1.0
# Cost of what goes beyond the slowdown that a team allows.
OVER_COST = 20.0
# A batch job waits where it would take more than this share of its own
# speed from the batch jobs beside it; the share grows with the wait.
LOSS_LIMIT = 0.7
PATIENCE_S = 60.0
# Cost of free cores that are left over, so that large holes remain.
HOLE_COST = 0.01


def ceiling(quota: quotas.Quota) -> float:
    """Return the logarithm of the slowdown that a team allows.

    Args:
        quota: Quota of the team.
    """
    weight = max(quota.tail_latency_weight, 0.1)
    return math.log(ALLOWED_SLOWDOWN) / weight**0.25


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
        is_batch = request.spec.kind == tasks.TaskKind.BATCH
        count = SAMPLE if is_batch else SERVICE_SAMPLE
        fitting = request.sample(index, count)
        best, least = None, math.inf
        for entry in fitting:
            cost = self._cost(request, entry, index)
            if cost < least:
                best, least = entry, cost
        if best is None:
            raise base.HarmError(
                f"{len(fitting)} workers have room, but services there "
                "would be slowed by more than their team allows, or batch "
                "jobs by more than this one would get done"
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
        if request.share < 1.0 and not entry.groups:
            # Batch jobs beside it are spared by waiting, not by throttling.
            return math.inf
        load = request.needs.cores / entry.worker.capacity.cores
        load *= request.share
        name = indexes.class_of(spec)
        harm = self._estimates.harm
        now_s = request.now_s
        own = 0.0
        batch_loss = 0.0
        cost = 0.0
        for other in entry.neighbours.values():
            own += harm(name, other.name, now_s) * other.load
            added = harm(other.name, name, now_s) * load
            pressure = self._pressure(entry, other, request)
            if other.kind == tasks.TaskKind.BATCH:
                weight = self._quotas.of(other.team).throughput_weight
                loss = other.load * math.exp(-pressure) * added
                batch_loss += loss
                cost += weight * BATCH_WEIGHT * loss
            else:
                cost += self._cost_to(request, other, pressure, added)
        if is_batch:
            cost += self._cost_of_batch(request, entry, load, own, batch_loss)
        else:
            cost += self._cost_of_service(spec, entry, index, own)
        left = entry.worker.free.cores - request.needs.cores
        return cost + HOLE_COST * left / entry.worker.capacity.cores

    def _cost_to(
        self,
        request: base.Request,
        other: interference.Neighbour,
        pressure: float,
        added: float,
    ) -> float:
        quota = self._quotas.of(other.team)
        over = pressure + added - ceiling(quota)
        is_batch = request.spec.kind == tasks.TaskKind.BATCH
        if over > 0 and is_batch and not request.spec.urgent:
            return math.inf
        weight = quota.tail_latency_weight * other.count
        return weight * (added + OVER_COST * max(0.0, over))

    def _cost_of_batch(
        self,
        request: base.Request,
        entry: indexes.Entry,
        load: float,
        own: float,
        batch_loss: float,
    ) -> float:
        gain = load * math.exp(-own)
        patience = 1.0 + request.waited_s / PATIENCE_S
        if batch_loss > LOSS_LIMIT * patience * gain:
            if not request.spec.urgent:
                return math.inf
        quota = self._quotas.of(request.spec.team)
        cost = quota.throughput_weight * BATCH_WEIGHT * (load - gain)
        return cost if entry.groups else cost + CALM_COST * load

    def _cost_of_service(
        self,
        spec: tasks.TaskSpec,
        entry: indexes.Entry,
        index: indexes.WorkerIndex,
        own: float,
    ) -> float:
        quota = self._quotas.of(spec.team)
        over = max(0.0, own - ceiling(quota))
        group = indexes.group_of(spec)
        in_rack = index.rack_groups.get((entry.worker.rack, group), 0)
        on_worker = entry.groups.get(group, 0)
        first = 0.0 if entry.groups else FIRST_SERVICE_COST
        return (
            quota.tail_latency_weight * (own + OVER_COST * over)
            + first
            + SAME_WORKER_COST * on_worker**2
            + SAME_RACK_COST * in_rack
        )

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
                harm = self._estimates.harm
                found += harm(victim.name, other.name, request.now_s) * load
            entry.pressures[victim.name] = found
        return found

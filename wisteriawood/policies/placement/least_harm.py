"""Placement where the task and its neighbours slow each other least."""

import math
import random

from wisteriawood.contracts import quotas
from wisteriawood.contracts import tasks
from wisteriawood.machines import indexes
from wisteriawood.policies import interference
from wisteriawood.policies.placement import base

SAMPLE_SIZE = 12
# Services are few, so a larger sample is affordable and spreads them evenly
# over racks.
SERVICE_SAMPLE_SIZE = 64
# Slowdown of its services that a team with a tail latency weight of 1
# allows.
ALLOWED_SLOWDOWN = 1.08
# Weight of a batch job that uses a whole worker, relative to one service.
BATCH_WEIGHT = 4.0
# Cost of instances of the same group on a worker, multiplied by the square of
# their number.
SAME_WORKER_COST = 0.04
# Cost of each instance of the same group in the worker's rack.
SAME_RACK_COST = 0.4
# Cost of the first service on a worker: batch jobs that slow services can no
# longer be placed there.
FIRST_SERVICE_COST = 0.3
# Cost of a batch job that uses a whole worker without services, so that
# batch jobs which slow others little leave these workers to those which slow
# others a lot.
BATCH_ONLY_WORKER_COST = 1.0
# Cost of a slowdown, as a logarithm, above the one that a team allows.
EXCESS_SLOWDOWN_COST = 20.0
# A batch job is not placed where the batch jobs beside it would lose more
# than this multiple of the throughput that it gains; the limit increases by
# this value for each LOSS_RATIO_PERIOD_S that the job waits.
MAX_LOSS_RATIO = 0.7
LOSS_RATIO_PERIOD_S = 60.0
# Cost of the cores that stay free on a worker, so that tasks are packed and
# other workers keep large amounts free.
UNUSED_CORES_COST = 0.01


def allowed_log_slowdown(quota: quotas.Quota) -> float:
    """Return the logarithm of the slowdown of its services that a team allows.

    Args:
        quota: Quota of the team.
    """
    weight = max(quota.tail_latency_weight, 0.1)
    return math.log(ALLOWED_SLOWDOWN) / weight**0.25


@base.PLACEMENT.register("least-harm")
class LeastHarm:
    """Chooses the worker with the lowest cost from a random sample.

    The cost adds the predicted slowdowns of the task and of its neighbours,
    weighted by their teams, and terms for spreading and packing.

    Batch jobs that are not urgent are not placed where they would slow a
    service by more than its team allows; they wait instead.

    Args:
        rng: Not used; the index draws the sample.
        estimates: Predicted slowdowns of classes by each other.
        team_quotas: Quotas and weights of the teams.
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
    ) -> indexes.IndexEntry:
        """Return the worker with the lowest cost from a sample."""
        is_batch = request.spec.kind == tasks.TaskKind.BATCH
        count = SAMPLE_SIZE if is_batch else SERVICE_SAMPLE_SIZE
        fitting = request.sample(index, count)
        best, lowest_cost = None, math.inf
        for entry in fitting:
            cost = self._cost(request, entry, index)
            if cost < lowest_cost:
                best, lowest_cost = entry, cost
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
        entry: indexes.IndexEntry,
        index: indexes.WorkerIndex,
    ) -> float:
        spec = request.spec
        is_batch = spec.kind == tasks.TaskKind.BATCH
        if is_batch and entry.blocks_batch_jobs and not spec.urgent:
            return math.inf
        if request.share < 1.0 and not entry.groups:
            # Throttling protects services only; a job that would slow other
            # batch jobs too much waits instead.
            return math.inf
        load = request.needs.cores / entry.worker.capacity.cores
        load *= request.share
        name = indexes.class_of(spec)
        harm = self._estimates.harm
        now_s = request.now_s
        own_log_slowdown = 0.0
        batch_loss = 0.0
        cost = 0.0
        for other in entry.neighbours.values():
            own_log_slowdown += harm(name, other.name, now_s) * other.load
            added = harm(other.name, name, now_s) * load
            log_slowdown = self._log_slowdown(entry, other, request)
            if other.kind == tasks.TaskKind.BATCH:
                weight = self._quotas.of(other.team).throughput_weight
                loss = other.load * math.exp(-log_slowdown) * added
                batch_loss += loss
                cost += weight * BATCH_WEIGHT * loss
            else:
                cost += self._neighbour_service_cost(
                    request, other, log_slowdown, added
                )
        if is_batch:
            cost += self._batch_cost(
                request, entry, load, own_log_slowdown, batch_loss
            )
        else:
            cost += self._service_cost(spec, entry, index, own_log_slowdown)
        unused_cores = entry.worker.free.cores - request.needs.cores
        return (
            cost
            + UNUSED_CORES_COST * unused_cores / entry.worker.capacity.cores
        )

    def _neighbour_service_cost(
        self,
        request: base.Request,
        other: interference.Neighbour,
        log_slowdown: float,
        added: float,
    ) -> float:
        quota = self._quotas.of(other.team)
        excess = log_slowdown + added - allowed_log_slowdown(quota)
        is_batch = request.spec.kind == tasks.TaskKind.BATCH
        if excess > 0 and is_batch and not request.spec.urgent:
            return math.inf
        weight = quota.tail_latency_weight * other.count
        return weight * (added + EXCESS_SLOWDOWN_COST * max(0.0, excess))

    def _batch_cost(
        self,
        request: base.Request,
        entry: indexes.IndexEntry,
        load: float,
        own_log_slowdown: float,
        batch_loss: float,
    ) -> float:
        gain = load * math.exp(-own_log_slowdown)
        limit_factor = 1.0 + request.waited_s / LOSS_RATIO_PERIOD_S
        if batch_loss > MAX_LOSS_RATIO * limit_factor * gain:
            if not request.spec.urgent:
                return math.inf
        quota = self._quotas.of(request.spec.team)
        cost = quota.throughput_weight * BATCH_WEIGHT * (load - gain)
        return cost if entry.groups else cost + BATCH_ONLY_WORKER_COST * load

    def _service_cost(
        self,
        spec: tasks.TaskSpec,
        entry: indexes.IndexEntry,
        index: indexes.WorkerIndex,
        own_log_slowdown: float,
    ) -> float:
        quota = self._quotas.of(spec.team)
        excess = max(0.0, own_log_slowdown - allowed_log_slowdown(quota))
        group = indexes.group_of(spec)
        in_rack = index.rack_group_counts.get((entry.worker.rack, group), 0)
        on_worker = entry.groups.get(group, 0)
        first_cost = 0.0 if entry.groups else FIRST_SERVICE_COST
        return (
            quota.tail_latency_weight
            * (own_log_slowdown + EXCESS_SLOWDOWN_COST * excess)
            + first_cost
            + SAME_WORKER_COST * on_worker**2
            + SAME_RACK_COST * in_rack
        )

    def _log_slowdown(
        self,
        entry: indexes.IndexEntry,
        victim: interference.Neighbour,
        request: base.Request,
    ) -> float:
        log_slowdown = entry.log_slowdowns.get(victim.name)
        if log_slowdown is None:
            log_slowdown = 0.0
            for other in entry.neighbours.values():
                load = other.load
                if other is victim:
                    # A task does not slow itself, only others of its class.
                    load -= load / other.count
                harm = self._estimates.harm
                log_slowdown += (
                    harm(victim.name, other.name, request.now_s) * load
                )
            entry.log_slowdowns[victim.name] = log_slowdown
        return log_slowdown

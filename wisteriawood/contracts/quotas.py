"""Quotas of teams, and the weights of their objectives."""

import dataclasses

from wisteriawood.contracts import resources


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Quota:
    """The resources that a team may use and the weights of its objectives.

    Attributes:
        team: Name of the team.
        weight: Share of the resources, relative to the other teams.
        limit: Maximum that its tasks may use in one zone; None for no limit.
        tail_latency_weight: Weight of the slowdown of a service or watcher.
        throughput_weight: Weight of the slowdown of a batch job.
        eviction_weight: Weight of the cost of an eviction.
        not_evicted: Task classes of batch jobs that are not evicted.
        not_throttled: Task classes of batch jobs that are not throttled.
    """

    team: str
    weight: float = 1.0
    limit: resources.Resources | None = None
    tail_latency_weight: float = 1.0
    throughput_weight: float = 1.0
    eviction_weight: float = 1.0
    not_evicted: frozenset[str] = frozenset()
    not_throttled: frozenset[str] = frozenset()


class Quotas:
    """The quotas of all teams; teams without one have the default.

    Args:
        quotas: Quotas by name of the team.
    """

    __slots__ = ("_quotas",)

    def __init__(self, *, quotas: dict[str, Quota] | None = None):
        self._quotas = dict(quotas or {})

    def of(self, team: str) -> Quota:
        """Return the quota of a team.

        Args:
            team: Name of the team.
        """
        quota = self._quotas.get(team)
        if quota is None:
            quota = self._quotas[team] = Quota(team=team)
        return quota

    def replace(self, quotas: dict[str, Quota]) -> None:
        """Replace all quotas with those of a new configuration.

        Args:
            quotas: Quotas by name of the team.
        """
        self._quotas = dict(quotas)

"""Metrics of the daemons, in the Prometheus text format."""

import prometheus_client

LATENCY_BUCKETS_S = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
)


class EntryMetrics:
    """Metrics of an entry daemon."""

    __slots__ = (
        "in_flight",
        "latency_s",
        "registry",
        "requests",
        "slots_held",
        "waiting",
    )

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
        self.requests = prometheus_client.Counter(
            "wisteriawood_requests",
            "Requests answered, by team and outcome.",
            ["team", "outcome"],
            registry=self.registry,
        )
        self.latency_s = prometheus_client.Histogram(
            "wisteriawood_request_latency_seconds",
            "Time from the whole request to the whole answer.",
            ["team"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.in_flight = prometheus_client.Gauge(
            "wisteriawood_requests_in_flight",
            "Requests that may be at a target.",
            registry=self.registry,
        )
        self.waiting = prometheus_client.Gauge(
            "wisteriawood_requests_waiting",
            "Requests that wait for a slot.",
            registry=self.registry,
        )
        self.slots_held = prometheus_client.Gauge(
            "wisteriawood_slots_held",
            "Slots granted to this entry host.",
            registry=self.registry,
        )


class SchedulerMetrics:
    """Metrics of a scheduler daemon."""

    __slots__ = (
        "commits",
        "placements",
        "racks_held",
        "registry",
        "transitions",
    )

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
        self.placements = prometheus_client.Counter(
            "wisteriawood_placements",
            "Tasks assigned to a worker.",
            registry=self.registry,
        )
        self.racks_held = prometheus_client.Gauge(
            "wisteriawood_racks_held",
            "Racks that this scheduler holds.",
            registry=self.registry,
        )
        self.commits = prometheus_client.Counter(
            "wisteriawood_commits",
            "Transactions committed to the table.",
            registry=self.registry,
        )
        self.transitions = prometheus_client.Counter(
            "wisteriawood_transitions",
            "Changes of state committed to the table.",
            registry=self.registry,
        )


def render(registry: prometheus_client.CollectorRegistry) -> bytes:
    """Return the metrics of a registry in the text format."""
    return prometheus_client.generate_latest(registry)

"""Metrics of the jobs that a host takes in and runs."""

import prometheus_client

from wisteriawood.telemetry import metrics


class JobMetrics:
    """Metrics of a job host."""

    __slots__ = (
        "accepted_s",
        "acknowledged_s",
        "calls",
        "cells_held",
        "ends",
        "submissions",
        "jobs_ended",
        "lines_left_out",
        "paces",
        "ready",
        "registry",
        "started_s",
        "takeover_s",
    )

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
        self.submissions = self._counter(
            "handins", "Jobs handed in, by outcome.", "outcome"
        )
        self.ready = self._counter("jobs_opened", "Jobs and occurrences.")
        self.ends = self._counter("run_ends", "Ends of runs.", "outcome")
        self.jobs_ended = self._counter("jobs_ended", "Ends of jobs.", "state")
        self.paces = self._counter("paces", "Orders to fillers.", "cause")
        self.calls = self._counter(
            "calls", "Calls to the store and to workers.", "to", "outcome"
        )
        self.lines_left_out = self._counter(
            "log_lines_left_out", "Log lines over the budget."
        )
        self.cells_held = prometheus_client.Gauge(
            "wisteriawood_cells_held",
            "Cells that this host holds.",
            registry=self.registry,
        )
        self.accepted_s = self._histogram(
            "handin_seconds", "From the whole request to its answer."
        )
        self.started_s = self._histogram(
            "start_seconds", "From the assignment of a run to its start."
        )
        self.acknowledged_s = self._histogram(
            "end_seconds", "From the report of an end to its commit."
        )
        self.takeover_s = self._histogram(
            "takeover_seconds", "From the claim of a cell to its work."
        )

    def _counter(
        self, name: str, text: str, *labels: str
    ) -> prometheus_client.Counter:
        return prometheus_client.Counter(
            f"wisteriawood_{name}", text, labels, registry=self.registry
        )

    def _histogram(self, name: str, text: str) -> prometheus_client.Histogram:
        return prometheus_client.Histogram(
            f"wisteriawood_{name}",
            text,
            buckets=metrics.LATENCY_BUCKETS_S,
            registry=self.registry,
        )

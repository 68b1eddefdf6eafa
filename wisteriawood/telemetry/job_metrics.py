"""Metrics of the jobs that a host accepts and runs."""

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
        "handins",
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
        self.handins = self._counter(
            "handins", "Submissions of jobs, by outcome.", "outcome"
        )
        self.ready = self._counter(
            "jobs_opened", "Jobs and occurrences of jobs that became ready."
        )
        self.ends = self._counter(
            "run_ends", "Runs that ended, by outcome.", "outcome"
        )
        self.jobs_ended = self._counter(
            "jobs_ended", "Jobs that ended, by state.", "state"
        )
        self.paces = self._counter(
            "paces", "Changes of the pace of fillers, by cause.", "cause"
        )
        self.calls = self._counter(
            "calls",
            "Calls to the store and to workers, by outcome.",
            "to",
            "outcome",
        )
        self.lines_left_out = self._counter(
            "log_lines_left_out", "Log lines that were dropped."
        )
        self.cells_held = prometheus_client.Gauge(
            "wisteriawood_cells_held",
            "Cells that this host holds.",
            registry=self.registry,
        )
        self.accepted_s = self._histogram(
            "handin_seconds", "Time from the complete request to its answer."
        )
        self.started_s = self._histogram(
            "start_seconds", "Time from the assignment of a run to its start."
        )
        self.acknowledged_s = self._histogram(
            "end_seconds", "Time from the report of a run's end to its commit."
        )
        self.takeover_s = self._histogram(
            "takeover_seconds",
            "Time from the claim of a cell until it is open.",
        )

    def _counter(
        self, name: str, help_text: str, *labels: str
    ) -> prometheus_client.Counter:
        return prometheus_client.Counter(
            f"wisteriawood_{name}", help_text, labels, registry=self.registry
        )

    def _histogram(
        self, name: str, help_text: str
    ) -> prometheus_client.Histogram:
        return prometheus_client.Histogram(
            f"wisteriawood_{name}",
            help_text,
            buckets=metrics.LATENCY_BUCKETS_S,
            registry=self.registry,
        )

"""Metrics of the jobs that a host accepts and runs."""

import typing

import prometheus_client

from wisteriawood.telemetry import metrics

# A standing task must run again 6 s after its last run, and has 3 s more.
STANDING_GAP_BUCKETS_S = (
    0.5,
    1.0,
    2.0,
    3.0,
    4.0,
    5.0,
    6.0,
    6.5,
    7.0,
    8.0,
    9.0,
    12.0,
    18.0,
    30.0,
    60.0,
)


class JobMetrics:
    """Metrics of a job host.

    Attributes:
        submissions: Submissions of jobs, by outcome.
        jobs_opened: Jobs and occurrences of jobs that became ready.
        ends: Runs that ended, by outcome.
        jobs_ended: Jobs that ended, by state.
        paces: Changes of the pace of fillers, by cause.
        bodies: Request bodies that are held.
        body_bytes: Bytes that they occupy.
        calls: Calls to the store and to workers, by outcome.
        lines_left_out: Log lines that were dropped.
        cells_held: Cells that this host holds.
        client_refusals: Clients that were refused, or whose connections were
            closed, by reason; see links.client_refusals.
        connections: Connections of callers, by what they wait for.
        jobs_unknown: Stored jobs of a held cell that this host does not know,
            by cell.
        jobs_idle: Jobs of which nothing runs although a step is ready, by
            cell and reason: passed_over, no_worker, assigned, pending_write
            or not_queued.
        hold_checks: Checks of the claims of held cells after the store was
            silent, by outcome: held, lost or unknown.
        witness_requests: Holds of other hosts that were to be confirmed, by
            outcome: confirmed or superseded.
        witness_answers: Answers of witnesses to this host, by outcome:
            confirmed, superseded or unanswered.
        jobs_refused: Jobs whose rows the store has refused.
        checkpoints_dropped: Checkpoints that are too long to be kept, and
            rows of jobs that had no room for all, by reason: too_long or
            row_full.
        heartbeats_trimmed: Heartbeats that left out figures for lack of room.
        jobs_deferred: Filler jobs that start after those that can still be
            completed in time, by cell; see cells.contention.
        standing_tasks_away: Standing tasks that have run before and don't
            run, by cell and phase; see cells.absences.
        reservations: Reservations of the look-ahead that ended, by outcome:
            used, elsewhere, gone, wrong or expired.
        backfills: Runs that started in reserved room, by reason: room, ends
            or stoppable.
        backfill_overruns: Such runs that did not end before the room was
            needed.
        workers_reserved: Workers with room that the look-ahead reserves, by
            cell.
        standing_gap_s: Time between two runs of a standing task in this
            cell, by how the absence began.
        accepted_s: Time from the complete request to its answer.
        started_s: Time from the assignment of a run to its start.
        acknowledged_s: Time from the report of a run's end to its commit.
        unreadable: Rows and messages of other processes that could not be
            decoded, by kind.
        part_failures: Unexpected errors that ended a part of the host, by
            kind.
        table_age_s: Age of the newest confirmed read of a table that the host
            follows, by table.
        takeover_s: Time from the claim of a cell until it is open.
        takeover_phase_s: Time of each phase of a takeover; see
            cells.takeover_times.
        zone_drained: Whether a zone is drained, by zone; without a value for
            one that never was.
        zone_runs_left: Runs in a held cell whose zone is drained, by cell.
        zone_runs_moved: Standing tasks stopped to move out of a drained zone.
        registry: Registry of the metrics.
    """

    __slots__ = (
        "accepted_s",
        "backfill_overruns",
        "backfills",
        "reservations",
        "workers_reserved",
        "acknowledged_s",
        "bodies",
        "body_bytes",
        "calls",
        "cells_held",
        "checkpoints_dropped",
        "client_refusals",
        "connections",
        "ends",
        "heartbeats_trimmed",
        "hold_checks",
        "submissions",
        "jobs_deferred",
        "jobs_ended",
        "jobs_unknown",
        "jobs_idle",
        "jobs_refused",
        "lines_left_out",
        "paces",
        "jobs_opened",
        "registry",
        "standing_gap_s",
        "standing_tasks_away",
        "started_s",
        "table_age_s",
        "takeover_phase_s",
        "takeover_s",
        "part_failures",
        "unreadable",
        "witness_answers",
        "witness_requests",
        "zone_drained",
        "zone_runs_left",
        "zone_runs_moved",
    )

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
        self.submissions = self._counter(
            "handins", "Jobs handed in, by outcome.", "outcome"
        )
        self.jobs_opened = self._counter(
            "jobs_opened", "Jobs and occurrences."
        )
        self.ends = self._counter("run_ends", "Ends of runs.", "outcome")
        self.heartbeats_trimmed = self._counter(
            "heartbeats_trimmed", "Heartbeats that left out figures."
        )
        self.hold_checks = self._counter(
            "hold_checks", "Checks of claims of held cells.", "outcome"
        )
        self.witness_requests = self._counter(
            "witness_requests", "Holds to be confirmed.", "outcome"
        )
        self.witness_answers = self._counter(
            "witness_answers", "Answers of witnesses.", "outcome"
        )
        self.jobs_refused = self._counter(
            "jobs_refused", "Jobs whose rows the store has refused."
        )
        self.checkpoints_dropped = self._counter(
            "checkpoints_dropped",
            "Checkpoints too long, and full rows.",
            "reason",
        )
        self.jobs_ended = self._counter("jobs_ended", "Ends of jobs.", "state")
        self.paces = self._counter("paces", "Orders to fillers.", "cause")
        self.calls = self._counter(
            "calls",
            "Calls to the store and to workers.",
            "to",
            "outcome",
        )
        self.unreadable = self._counter(
            "unreadable", "Values that could not be decoded.", "kind"
        )
        self.part_failures = self._counter(
            "part_failures", "Unexpected errors, by the part ended.", "kind"
        )
        self.lines_left_out = self._counter(
            "log_lines_left_out", "Log lines over the budget."
        )
        self.reservations = self._counter(
            "reservations", "Reservations that ended, by outcome.", "outcome"
        )
        self.backfills = self._counter(
            "backfills", "Runs started in reserved room.", "reason"
        )
        self.backfill_overruns = self._counter(
            "backfill_overruns", "Backfilled runs that ended too late."
        )
        self.workers_reserved = prometheus_client.Gauge(
            "wisteriawood_workers_reserved",
            "Workers with room reserved for tasks that fit nowhere now.",
            ("cell",),
            registry=self.registry,
        )
        self.client_refusals = self._counter(
            "client_refusals",
            "Clients refused, or whose connections were closed.",
            "reason",
        )
        self.bodies = prometheus_client.Gauge(
            "wisteriawood_bodies_held",
            "Request bodies that are held.",
            registry=self.registry,
        )
        self.body_bytes = prometheus_client.Gauge(
            "wisteriawood_body_bytes_held",
            "Bytes of the request bodies that are held.",
            registry=self.registry,
        )
        self.connections = prometheus_client.Gauge(
            "wisteriawood_caller_connections",
            "Connections of callers, by what they wait for.",
            ("state",),
            registry=self.registry,
        )
        self.cells_held = prometheus_client.Gauge(
            "wisteriawood_cells_held",
            "Cells that this host holds.",
            registry=self.registry,
        )
        self.jobs_unknown = prometheus_client.Gauge(
            "wisteriawood_jobs_unknown",
            "Stored jobs of a held cell that its holder does not know.",
            ["cell"],
            registry=self.registry,
        )
        self.jobs_idle = prometheus_client.Gauge(
            "wisteriawood_jobs_idle",
            "Jobs with a ready step of which nothing runs, by reason.",
            ("cell", "reason"),
            registry=self.registry,
        )
        self.jobs_deferred = prometheus_client.Gauge(
            "wisteriawood_jobs_deferred",
            "Filler jobs that start after those that can be in time.",
            ("cell",),
            registry=self.registry,
        )
        self.table_age_s = prometheus_client.Gauge(
            "wisteriawood_table_age_seconds",
            "Age of the newest confirmed read of a table.",
            ("table",),
            registry=self.registry,
        )
        self.zone_drained = prometheus_client.Gauge(
            "wisteriawood_zone_drained",
            "Whether an operator drains a zone.",
            ("zone",),
            registry=self.registry,
        )
        self.zone_runs_left = prometheus_client.Gauge(
            "wisteriawood_zone_runs_left",
            "Runs in a held cell whose zone is drained.",
            ("cell",),
            registry=self.registry,
        )
        self.zone_runs_moved = self._counter(
            "zone_runs_moved",
            "Standing tasks stopped to move out of a drained zone.",
        )
        self.standing_tasks_away = prometheus_client.Gauge(
            "wisteriawood_standing_tasks_away",
            "Standing tasks that have run before and don't run, by phase.",
            ("cell", "phase"),
            registry=self.registry,
        )
        self.standing_gap_s = prometheus_client.Histogram(
            "wisteriawood_standing_gap_seconds",
            "Between two runs of a standing task, by how the gap began.",
            ("cause",),
            buckets=STANDING_GAP_BUCKETS_S,
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
            "takeover_seconds",
            "From the claim of a cell to its work.",
        )
        self.takeover_phase_s = prometheus_client.Histogram(
            "wisteriawood_takeover_phase_seconds",
            "Time of each phase of a takeover.",
            ("phase",),
            buckets=metrics.LATENCY_BUCKETS_S,
            registry=self.registry,
        )

    def count_part_failure(self, kind: str) -> None:
        """Count an unexpected error.

        Args:
            kind: Kind of the part of the host that it ended.
        """
        self.part_failures.labels(kind=kind).inc()

    def count_client_refusal(self, reason: str) -> None:
        """Count a client that was refused.

        Args:
            reason: Why; see links.client_refusals.
        """
        self.client_refusals.labels(reason=reason).inc()

    def watch_clients(
        self,
        *,
        bodies: typing.Callable[[], int],
        body_bytes: typing.Callable[[], int],
        connections: dict[str, typing.Callable[[], int]],
    ) -> None:
        """Read the gauges of callers' requests whenever they are shown.

        Args:
            bodies: Returns the number of bodies.
            body_bytes: Returns the number of their bytes.
            connections: Return the number of connections, by state.
        """
        self.bodies.set_function(bodies)
        self.body_bytes.set_function(body_bytes)
        for state, count in connections.items():
            self.connections.labels(state=state).set_function(count)

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

"""Command that reports latency, throughput and evictions over time."""

from cleo import helpers

from wisteriawood.commands import base
from wisteriawood.telemetry import records
from wisteriawood.telemetry import reports


@base.COMMANDS.register("report")
class ReportCommand(base.BaseCommand):
    """Writes an HTML page of latency, throughput and evictions over time."""

    name = "report"
    description = "Writes an HTML page of latency, throughput and evictions."
    options = [
        base.RECORDS_OPTION,
        base.OUTPUT_OPTION,
        helpers.option(
            "file",
            "f",
            "HTML file to write.",
            flag=False,
            default="report.html",
        ),
        helpers.option(
            "step-s",
            None,
            "Length of each interval of the report, in seconds.",
            flag=False,
            default="60",
        ),
    ]

    def execute_command(self) -> int | None:
        """Read the records and write the page."""
        as_json = self.wants_json()
        self.require("records")
        step_s = max(1.0, self.require_number("step-s", float))
        spans, events = records.read(self.option("records"))
        points = reports.summarize(spans, events, step_s=step_s)
        if as_json:
            self.print_json(points)
            return 0
        file = self.option("file")
        reports.write_page(points, file=file)
        self.line(f"{len(points)} points are written to {file}")
        return 0

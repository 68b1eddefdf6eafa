"""The catalogue of events as a page."""

from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events

_HEAD = """# Events

Daemons log events as JSON lines to the `log_file` of their settings. The
field `message_type` holds the number and the name. Numbers are never used
again. This page is written by `make events`; a test compares it with the
code.

| number | name | meaning | what to do |
| --- | --- | --- | --- |
"""


# The modules that define events fill the catalogue as they are imported.
_MODULES = (events, job_events)


def find(number: int) -> events.Event | None:
    """Return the event of a number; None if there is none.

    Args:
        number: Its number.
    """
    return events.CATALOGUE.get(number)


def render() -> str:
    """Return the page as Markdown text."""
    lines = [
        f"| {event.number} | {event.name} | {event.meaning} "
        f"| {event.remedy or 'Nothing.'} |\n"
        for _number, event in sorted(events.CATALOGUE.items())
    ]
    return _HEAD + "".join(lines)


if __name__ == "__main__":
    print(render(), end="")

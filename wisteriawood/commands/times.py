"""Wall times in commands' output."""

import datetime


def to_text(unix_s: float) -> str:
    """Return a wall time in UTC, to the second.

    Args:
        unix_s: The time in seconds; 0 if there is none.
    """
    if not unix_s:
        return "-"
    moment = datetime.datetime.fromtimestamp(unix_s, datetime.timezone.utc)
    return moment.strftime("%Y-%m-%d %H:%M:%S")

"""Formatting of times in the output of commands."""

import datetime


def to_text(unix_s: float) -> str:
    """Return a time as text, in UTC and to the second.

    Args:
        unix_s: Unix time in seconds; 0 if there is none.
    """
    if not unix_s:
        return "-"
    utc_time = datetime.datetime.fromtimestamp(unix_s, datetime.timezone.utc)
    return utc_time.strftime("%Y-%m-%d %H:%M:%S")

"""What this host knows about its connection to the store."""

import enum
import typing


class Activity(enum.StrEnum):
    """What a feed is doing, for logs."""

    READ = "read of the table"
    AUDIT = "further read of the table"
    POLL = "poll"
    PAUSE = "pause between polls"
    RETRY = "delay before the next try"


class FollowedTable(typing.Protocol):
    """A feed of a table of the store.

    Attributes:
        activity: What the feed is doing.
        activity_since_s: Monotonic time since which it is doing it.
        failures: Number of reads and polls that have failed since the last
            answer.
        table: The table.
    """

    activity: Activity
    activity_since_s: float
    failures: int
    table: str

    def age_s(self) -> float:
        """Return the age of the newest confirmed read of the table."""

    def max_age_s(self) -> float:
        """Return the age that it should not exceed while the store answers."""


class StoreContact:
    """The feeds that follow the store.

    Attributes:
        feeds: The feeds that run.
    """

    __slots__ = ("feeds",)

    def __init__(self) -> None:
        self.feeds: list[FollowedTable] = []

"""Rows by which schedulers hold racks."""

import dataclasses
import enum

from wisteriawood.contracts import configurations


class HostState(enum.StrEnum):
    """State that a daemon publishes in its member row."""

    LIVE = "live"
    DRAINING = "draining"
    GONE = "gone"


class Role(enum.StrEnum):
    """What a daemon does."""

    ENTRY = "entry"
    SCHEDULER = "scheduler"


@dataclasses.dataclass(slots=True, kw_only=True)
class MemberRow:
    """A daemon's row in the table, renewed while it lives.

    Attributes:
        name: Name of the entry host.
        role: What the daemon does.
        zone: Its availability zone.
        region: Its region.
        incarnation: Random id of this start of the process.
        peer_address: Address at which peers dial it, as host:port.
        operator_address: Where it serves operators, as host:port.
        state: Whether it accepts work.
        renewals: Count of renewals, so that each one changes the row.
        renewed_unix_s: Wall time of the renewal, for operators to read.
        config_version: Version of the configuration in force there.
        followers: Versions in force at peers that are cut off from the
            platform, by role/name.
        longest_s: No request of its own runs longer at a target, in
            seconds; 0 if that is not known.
        former_incarnation: The start before, if it listened at the same
            address; it is surely dead.
        former_longest_s: What the start before announced last.
    """

    name: str
    role: Role
    zone: str
    region: str = ""
    incarnation: str
    peer_address: str
    operator_address: str = ""
    state: HostState = HostState.LIVE
    renewals: int = 0
    renewed_unix_s: float = 0.0
    config_version: int = configurations.NO_VERSION
    followers: dict[str, int] = dataclasses.field(default_factory=dict)
    longest_s: float = 0.0
    former_incarnation: str = ""
    former_longest_s: float = 0.0

    def replaces(self, older: "MemberRow") -> bool:
        """Tell whether an older process is dead, as its port is another's.

        Args:
            older: Row of a process that was listening before.
        """
        return (
            self.peer_address == older.peer_address
            and self.incarnation != older.incarnation
        )


@dataclasses.dataclass(slots=True, kw_only=True)
class RackHolding:
    """The row that says which scheduler holds a rack.

    Attributes:
        zone: Availability zone of the rack.
        rack: Name of the rack.
        holder: Name of the scheduler's member row; empty if released.
        incarnation: Incarnation of the holder.
        epoch: Grows by one with each change of holder.
        lease_left_s: Once released: seconds after which the longest lease
            that the holder has granted on it will have lapsed.
    """

    zone: str
    rack: str
    holder: str = ""
    incarnation: str = ""
    epoch: int = 0
    lease_left_s: float = 0.0

"""Rows of daemons and of the racks that schedulers hold."""

import dataclasses
import enum

from wisteriawood.contracts import configurations


class HostState(enum.StrEnum):
    """State that a daemon publishes in its member row."""

    LIVE = "live"
    DRAINING = "draining"
    GONE = "gone"


class Role(enum.StrEnum):
    """Role of a daemon."""

    ENTRY = "entry"
    SCHEDULER = "scheduler"


@dataclasses.dataclass(slots=True, kw_only=True)
class MemberRow:
    """A daemon's row in the table, renewed while the daemon runs.

    Attributes:
        name: Name of the daemon.
        role: Role of the daemon.
        zone: Availability zone of the daemon.
        region: Region of the daemon.
        incarnation: Random id of the process, new with each start.
        peer_address: Address to which peers connect, as host:port.
        operator_address: Address of the operators' API, as host:port.
        state: Whether it accepts work.
        renewals: Number of renewals, so that each one changes the row.
        renewed_unix_s: Wall time of the newest renewal in seconds, for
            operators only.
        config_version: Version of the configuration that it uses.
        followers: Configuration versions of peers that can't reach the
            platform, by role/name.
        longest_s: Upper bound of the time for which a request of this
            daemon runs at a target, in seconds; 0 if unknown.
        former_incarnation: Incarnation of the previous process, if it
            listened at the same address and has therefore ended.
        former_longest_s: longest_s that the previous process published
            last, in seconds.
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
        """Return whether this process has taken the address of an older one.

        The older process has then ended, as only one process can listen at
        an address.

        Args:
            older: Row of the older process.
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
        epoch: Fencing number, incremented with each change of holder.
        lease_left_s: Set on release: seconds from then until the longest
            lease that the holder granted on the rack has expired.
    """

    zone: str
    rack: str
    holder: str = ""
    incarnation: str = ""
    epoch: int = 0
    lease_left_s: float = 0.0

"""Settings that bound what the callers of a host may use."""

import dataclasses

from wisteriawood import errors
from wisteriawood.links import connections

# Assumed where the settings don't give the memory limit of the process.
DEFAULT_MEMORY_MB = 160
# Memory of a connection, with what it has read; see
# docs/design/request-bodies.md for the measurement.
CONNECTION_BYTES = 80 * 1024
MB = 1024 * 1024


@dataclasses.dataclass(slots=True, kw_only=True)
class Serving(connections.ServerLimits):
    """Limits on what the callers of a host may use.

    Attributes:
        max_connections: Connections of callers at a time; 0 derives it from
            the limits of the process.
        max_ready_connections: Connections at a time at the address of the
            balancer's checks.
        body_memory_share: Share of the memory limit for request bodies.
        connection_memory_share: Share of the memory limit for connections.
    """

    max_connections: int = 0
    max_ready_connections: int = 32
    body_memory_share: float = 0.125
    connection_memory_share: float = 0.125

    def check(self, path: str) -> None:
        """Check the values.

        Args:
            path: Name of the settings file.

        Raises:
            SettingsError: A value is out of range.
        """
        for field in dataclasses.fields(self):
            value = getattr(self, field.name)
            most = 0.5 if field.name.endswith("_share") else 1_000_000
            least_is_0 = field.name == "max_connections"
            if 0 < value <= most or (least_is_0 and value == 0):
                continue
            raise errors.SettingsError(
                file=path,
                path=f"$.serving.{field.name}",
                found=str(value),
                remedy=f"give a number above 0 and up to {most:g}",
            )

    def body_bytes(self, memory_mb: float) -> int:
        """Return the size of all request bodies at a time.

        Args:
            memory_mb: Memory limit of the process; 0 if unknown.
        """
        memory_mb = memory_mb or DEFAULT_MEMORY_MB
        return int(memory_mb * MB * self.body_memory_share)

    def caller_connections(self, memory_mb: float, max_fds: int) -> int:
        """Return the number of connections of callers at a time.

        Args:
            memory_mb: Memory limit of the process; 0 if unknown.
            max_fds: Largest number of its descriptors; 0 if unknown.
        """
        if self.max_connections:
            return self.max_connections
        memory_mb = memory_mb or DEFAULT_MEMORY_MB
        by_memory = memory_mb * MB * self.connection_memory_share
        by_fds = connections.share_of_fds(max_fds)
        return max(1, min(int(by_memory / CONNECTION_BYTES), by_fds))

"""Keys of the rows in the platform's table."""

PENDING = "pending/"
PLACED = "placed/"
RACK = "rack/"
DRAIN = "drain/"
CONFIG_HEAD = "config/head"
CONFIG_VERSIONS = "config/version/"


def member(role: str, name: str) -> str:
    """Return the key of a daemon's member row."""
    return f"member/{role}/{name}"


def members(role: str = "") -> str:
    """Return the prefix of the member rows of a role, or of all roles."""
    return f"member/{role}/" if role else "member/"


def rack(zone: str, name: str) -> str:
    """Return the key of the row that names the holder of a rack."""
    return f"{RACK}{zone}/{name}"


def racks(zone: str) -> str:
    """Return the prefix of the rack rows of a zone."""
    return f"{RACK}{zone}/"


def pointer(task: str) -> str:
    """Return the key of the row that points to a task's row."""
    return f"task/{task}"


def pending(zone: str, task: str) -> str:
    """Return the key of the row of a task that waits for a worker."""
    return f"{PENDING}{zone}/{task}"


def pending_in_zone(zone: str) -> str:
    """Return the prefix of the rows of tasks that wait in a zone."""
    return f"{PENDING}{zone}/"


def placed(zone: str, rack_name: str, task: str) -> str:
    """Return the key of the row of a task that has a worker."""
    return f"{PLACED}{zone}/{rack_name}/{task}"


def placed_on_rack(zone: str, rack_name: str) -> str:
    """Return the prefix of the rows of tasks on workers of a rack."""
    return f"{PLACED}{zone}/{rack_name}/"


def ended(task: str) -> str:
    """Return the key of the row of a task that has ended."""
    return f"ended/{task}"


def cancel(zone: str, task: str) -> str:
    """Return the key of an operator's request to cancel a task."""
    return f"cancel/{zone}/{task}"


def cancels(zone: str) -> str:
    """Return the prefix of the requests to cancel tasks in a zone."""
    return f"cancel/{zone}/"


def run_once(team: str, key: str) -> str:
    """Return the key of the record of a run-once request."""
    return f"once/{team}/{key}"


def run_once_records() -> str:
    """Return the prefix of the records of run-once requests."""
    return "once/"


def config_version(version: int) -> str:
    """Return the key of the change that resulted in a version."""
    return f"{CONFIG_VERSIONS}{version:012d}"


def config_snapshot(version: int) -> str:
    """Return the key of the snapshot of a configuration version."""
    return f"config/snapshot/{version:012d}"


def drain(kind: str, name: str) -> str:
    """Return the key of an operator's request to drain a host."""
    return f"{DRAIN}{kind}/{name}"


def drains(kind: str) -> str:
    """Return the prefix of the requests to drain hosts of a kind."""
    return f"{DRAIN}{kind}/"

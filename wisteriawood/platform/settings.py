"""Settings file of a job host, in the platform's format."""

import dataclasses
import os

from wisteriawood import errors
from wisteriawood.links.codecs import rows
from wisteriawood.platform import policies as policy_settings
from wisteriawood.platform import serving as serving_settings

PATH_VARIABLE = "WISTERIAWOOD_SETTINGS"
DEFAULT_PATH = "/etc/wisteriawood/node.json"


@dataclasses.dataclass(slots=True, kw_only=True)
class Addresses:
    """Addresses to listen on.

    Attributes:
        front: Address for callers' requests.
        ready: Address for the balancer's readiness checks.
    """

    front: str
    ready: str


@dataclasses.dataclass(slots=True, kw_only=True)
class StoreAccess:
    """Access to the store.

    Attributes:
        address: Address of the store, as host:port.
        tx_ms: Time that a transaction takes, in milliseconds; not used.
    """

    address: str
    tx_ms: float = 8.0


@dataclasses.dataclass(slots=True, kw_only=True)
class CloudAccess:
    """Access to the service that moves machines; not used.

    Attributes:
        address: Address of the service.
        duty_per_s: Requests per second that it accepts from all hosts
            together.
    """

    address: str = ""
    duty_per_s: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Limits:
    """Resources that the process may use.

    Attributes:
        cpu_share: Share of one core of the machine; 0 if unknown.
        cores: Speed of that core, as a multiple of a reference core.
        memory_mb: Memory above which the process is killed; 0 if unknown.
        max_fds: Largest number of descriptors; 0 if unknown.
    """

    cpu_share: float = 0.0
    cores: float = 1.0
    memory_mb: float = 0
    max_fds: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class Bounds:
    """Time limits of the deployment.

    Attributes:
        drain_ms: Time after a worker reports that it drains from which no
            task may be started on it.
        cancel_ms: The same for the tasks of a cancelled job.
        config_apply_ms: Time after the acknowledgement of a change of the
            configuration from which it is in force.
        hold_max_ms: Longest lease of a worker, in milliseconds.
        evacuate_ms: Time after the acknowledgement of a request to evacuate a
            zone from which no task may be started there; None if nobody makes
            such requests.
        status_s: Time for which the state of an ended job can be queried.
        grace_s: Time between the signal to stop and the kill.
    """

    drain_ms: float = 2000
    cancel_ms: float = 3000
    config_apply_ms: float = 2000
    hold_max_ms: int = 6000
    evacuate_ms: float | None = None
    status_s: float = 120
    grace_s: float = 6


@dataclasses.dataclass(slots=True, kw_only=True)
class Settings:
    """Settings of one host.

    Attributes:
        node_name: Name of the host.
        zone: Its availability zone.
        zones: Region of each zone.
        listen_addrs: Addresses to listen on.
        platform: Access to the store.
        cloud_api: Access to the service that moves machines; None for none.
        advice: Address of the advice service; None for none. Not used.
        contracts: Parts of the platform's rules that are in force; not used.
        bounds: Time limits of the deployment.
        limits: Resources that the process may use.
        serving: Limits on what callers may use.
        policies: Names of the policies that the deployment chooses.
        heartbeat_ms: Time between two writes of a worker to the directory,
            in milliseconds.
        ip: IP address of the host; empty if unknown.
        internal_ports: First and last port that hosts may use among
            themselves; empty for none.
    """

    node_name: str
    zone: str
    zones: dict[str, str]
    listen_addrs: Addresses
    platform: StoreAccess
    cloud_api: CloudAccess | None = None
    advice: str | None = None
    contracts: list[str] = dataclasses.field(default_factory=list)
    bounds: Bounds = dataclasses.field(default_factory=Bounds)
    limits: Limits = dataclasses.field(default_factory=Limits)
    serving: serving_settings.Serving = dataclasses.field(
        default_factory=serving_settings.Serving
    )
    policies: policy_settings.Policies = dataclasses.field(
        default_factory=policy_settings.Policies
    )
    heartbeat_ms: float = 1500
    ip: str = ""
    internal_ports: list[int] = dataclasses.field(default_factory=list)

    def internal_address(self) -> str:
        """Return the address for other hosts; empty if there is none."""
        if not self.ip or not self.internal_ports:
            return ""
        ip = f"[{self.ip}]" if ":" in self.ip else self.ip
        return f"{ip}:{self.internal_ports[0]}"


def load(path: str = "") -> Settings:
    """Return the settings of this host.

    Args:
        path: Name of the file; if empty, the value of the variable
            WISTERIAWOOD_SETTINGS, or else DEFAULT_PATH.

    Raises:
        SettingsError: The file can't be read or decoded.
    """
    path = path or os.environ.get(PATH_VARIABLE, DEFAULT_PATH)
    try:
        with open(path, "rb") as stream:
            config = rows.from_json(stream.read(), Settings)
    except (OSError, errors.MessageError) as exc:
        raise errors.SettingsError(
            file=path,
            path="$",
            found=str(exc),
            remedy="give the platform's settings file for this host",
        ) from exc
    config.serving.check(path)
    config.policies.check(path)
    return config

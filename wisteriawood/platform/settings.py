"""The settings file of the platform, as far as a job host uses it."""

import dataclasses
import os

import msgspec

from wisteriawood import errors

PATH_VARIABLE = "WISTERIAWOOD_SETTINGS"
DEFAULT_PATH = "/etc/wisteriawood/node.json"


@dataclasses.dataclass(slots=True, kw_only=True)
class Addresses:
    """Addresses to listen on.

    Attributes:
        front: For callers.
        ready: For the balancer's question whether the host is ready.
    """

    front: str
    ready: str


@dataclasses.dataclass(slots=True, kw_only=True)
class StoreAccess:
    """Where the store is, and what it takes.

    Attributes:
        address: Its address.
        tx_ms: Time that a transaction takes.
    """

    address: str
    tx_ms: float = 8.0


@dataclasses.dataclass(slots=True, kw_only=True)
class CloudAccess:
    """Where machines are moved and serviced.

    Attributes:
        address: Its address.
        duty_per_s: Orders that it takes a second, from all hosts.
    """

    address: str = ""
    duty_per_s: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Limits:
    """What a process may use.

    Attributes:
        cpu_share: Share of a core of the machine; 0 if unknown.
        cores: Speed of that core, as a multiple of a usual one.
    """

    cpu_share: float = 0.0
    cores: float = 1.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Bounds:
    """Bounds of the deployment.

    Attributes:
        hold_max_ms: Longest lease of a worker.
        status_s: Time for which the state of an ended job can be asked.
        grace_s: Time between the order to stop and the kill.
    """

    hold_max_ms: int = 6000
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
        platform: The store.
        cloud_api: The service that moves machines.
        advice: Address of the advice service; None for none.
        contracts: Parts of the rules that are in force.
        bounds: Bounds of the deployment.
        limits: What the process may use.
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


def load(path: str = "") -> Settings:
    """Return the settings that the environment names.

    Args:
        path: Name of the file; empty for the one of the environment.

    Raises:
        SettingsError: The file can't be read or lacks a field.
    """
    path = path or os.environ.get(PATH_VARIABLE, DEFAULT_PATH)
    try:
        with open(path, "rb") as stream:
            return msgspec.json.decode(stream.read(), type=Settings)
    except (OSError, msgspec.DecodeError) as exc:
        raise errors.SettingsError(
            file=path,
            path="$",
            found=str(exc),
            remedy="give the platform's settings file of this host",
        ) from exc

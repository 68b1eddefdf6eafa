"""Rows that the operator and the workers write, as the product's types."""

import dataclasses

import msgspec

from wisteriawood import errors
from wisteriawood.jobs import queues
from wisteriawood.links import runners

WORKER_TABLE = "servers"
OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"


@dataclasses.dataclass(slots=True, kw_only=True)
class _Capacity:
    cpu: int = 0
    mem_mb: int = 0
    gpus: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class _Worker:
    service: str
    # Address of the worker's own interface.
    address: str
    zone: str
    state: str
    capacity: _Capacity = dataclasses.field(default_factory=_Capacity)
    # The worker's kind, then its rack.
    labels: list[str] = dataclasses.field(default_factory=list)
    remaining_ms: float = 0
    born: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class _Advice:
    decide_ms: float = 0
    each_ms: float = 0
    valid_ms: float = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class _Route:
    name: str
    # Name that callers give in the header Host.
    hostname: str = ""
    prefix: str = "/"
    service: str = ""
    timeout_ms: float = 3000
    target_duration_ms: float = 0
    priority: int = 0
    attempts: int = 1
    stretch: float = 1.0
    advice: _Advice | None = None


@dataclasses.dataclass(slots=True, kw_only=True)
class _Limits:
    max_body_bytes: int = 262144


@dataclasses.dataclass(slots=True, kw_only=True)
class _Configuration:
    version: int
    routes: list[_Route] = dataclasses.field(default_factory=list)
    limits: _Limits = dataclasses.field(default_factory=_Limits)


def decode_worker(
    worker_id: str, data: bytes, services: set[str]
) -> runners.Registration:
    """Return the worker that an entry of the directory names.

    Args:
        worker_id: Its id.
        data: The entry.
        services: Services that the configuration names; empty if unknown.

    Raises:
        MessageError: The entry names no worker to use.
    """
    try:
        found = msgspec.json.decode(data, type=_Worker)
    except msgspec.DecodeError as exc:
        raise errors.MessageError(f"bad entry of a worker: {exc}") from exc
    if found.state not in ("ready", "draining"):
        raise errors.MessageError(f"unknown state {found.state!r}")
    if services and found.service not in services:
        raise errors.MessageError(f"unknown service {found.service!r}")
    return runners.Registration(
        worker_id=worker_id,
        service=found.service,
        address=found.address,
        zone=found.zone,
        labels=found.labels,
        rack=found.labels[1] if len(found.labels) > 1 else "",
        cpu_millicores=found.capacity.cpu,
        memory_mb=found.capacity.mem_mb,
        accelerators=found.capacity.gpus,
        is_draining=found.state == "draining",
        remaining_ms=int(found.remaining_ms),
        born_unix_ms=found.born,
    )


def decode_configuration(data: bytes) -> tuple[queues.QueueTable, int]:
    """Return the queues of a configuration and its bound on bodies.

    Args:
        data: The configuration.

    Raises:
        MessageError: It can't be read.
    """
    try:
        found = msgspec.json.decode(data, type=_Configuration)
    except msgspec.DecodeError as exc:
        raise errors.MessageError(f"bad configuration: {exc}") from exc
    table = queues.QueueTable(
        version=found.version,
        queues=[_decode_route(route) for route in found.routes],
    )
    return table, found.limits.max_body_bytes


def _decode_route(route: _Route) -> queues.Queue:
    advice = route.advice
    return queues.Queue(
        name=route.name,
        host_name=route.hostname,
        prefix=route.prefix,
        service=route.service,
        timeout_ms=int(route.timeout_ms),
        target_ms=int(route.target_duration_ms),
        priority=route.priority,
        attempts=max(1, route.attempts),
        stretch=route.stretch,
        advice=advice
        and queues.Advice(
            decide_ms=advice.decide_ms,
            each_ms=advice.each_ms,
            valid_ms=advice.valid_ms,
        ),
    )

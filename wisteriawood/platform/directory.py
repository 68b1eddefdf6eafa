"""Decoding of the rows that the operator and the workers write."""

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
    # Address of the worker's API, as host:port.
    address: str
    zone: str
    state: str
    capacity: _Capacity = dataclasses.field(default_factory=_Capacity)
    # First the kind of the worker, then its rack.
    labels: list[str] = dataclasses.field(default_factory=list)
    remaining_ms: float = 0
    # Start of this instance of the worker, in Unix milliseconds.
    born: int = 0
    # Clock of the worker when it wrote the entry.
    clock_ms: float = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class _Advice:
    decide_ms: float = 0
    each_ms: float = 0
    valid_ms: float = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class _Route:
    name: str
    # Host name in the Host header of callers' requests.
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
    """Return the worker that an entry of the directory describes.

    Args:
        worker_id: Id of the worker.
        data: The entry, in JSON.
        services: Services of the configuration; empty if it is unknown.

    Raises:
        MessageError: The entry can't be decoded, or its state or service
            is unknown.
    """
    try:
        entry = msgspec.json.decode(data, type=_Worker)
    except msgspec.DecodeError as exc:
        raise errors.MessageError(f"invalid entry of a worker: {exc}") from exc
    if entry.state not in ("ready", "draining"):
        raise errors.MessageError(f"unknown state {entry.state!r}")
    if services and entry.service not in services:
        raise errors.MessageError(f"unknown service {entry.service!r}")
    return runners.Registration(
        worker_id=worker_id,
        service=entry.service,
        address=entry.address,
        zone=entry.zone,
        labels=entry.labels,
        rack=entry.labels[1] if len(entry.labels) > 1 else "",
        cpu_millicores=entry.capacity.cpu,
        memory_mb=entry.capacity.mem_mb,
        accelerators=entry.capacity.gpus,
        is_draining=entry.state == "draining",
        remaining_ms=int(entry.remaining_ms),
        started_unix_ms=entry.born,
        clock_ms=int(entry.clock_ms),
    )


def decode_configuration(data: bytes) -> tuple[queues.QueueTable, int]:
    """Return the queues of a configuration and its body size limit.

    Args:
        data: The configuration, in JSON.

    Returns:
        The queues, and the largest body of a request in bytes.

    Raises:
        MessageError: The configuration can't be decoded.
    """
    try:
        document = msgspec.json.decode(data, type=_Configuration)
    except msgspec.DecodeError as exc:
        raise errors.MessageError(f"invalid configuration: {exc}") from exc
    table = queues.QueueTable(
        version=document.version,
        queues=[_decode_route(route) for route in document.routes],
    )
    return table, document.limits.max_body_bytes


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

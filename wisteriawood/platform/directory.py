"""Decoding of the rows that the operator and the workers write."""

import dataclasses
import hashlib
import typing

from wisteriawood.jobs import queues
from wisteriawood.links.codecs import bounds
from wisteriawood.links.codecs import rows
from wisteriawood.links import runners
from wisteriawood.links import stores

WORKER_TABLE = "servers"
OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
# Start of the keys of requests to send nothing more to the workers of a zone.
EVACUATION_PREFIX = "evacuate/"
# Longest id of a worker that rows and messages of the hosts contain. The row
# of a job may name a thousand workers.
MAX_WORKER_ID_LENGTH = 28
_DIGEST_BYTES = 13


@dataclasses.dataclass(slots=True, kw_only=True)
class _Capacity:
    cpu: bounds.Amount
    mem_mb: bounds.Amount
    gpus: bounds.Amount = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class _Worker:
    service: bounds.Name
    # Address of the worker's API, as host:port.
    address: bounds.Name
    zone: bounds.Name
    state: typing.Literal["ready", "draining"]
    capacity: _Capacity
    # First the kind of the worker, then its rack.
    labels: list[bounds.Name]
    # Checked only: an entry with another type here is not a worker's own.
    version: bounds.Name = ""
    slots: bounds.Amount = 0
    sequence: bounds.Number = 0
    cold_remaining_ms: bounds.DurationMs = 0
    remaining_ms: bounds.DurationMs = 0
    # Start of this instance of the worker, in Unix milliseconds.
    born: bounds.UnixMs = 0
    # Clock of the worker when it wrote the entry.
    clock_ms: bounds.Measure = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class _Advice:
    decide_ms: bounds.DurationMs = 0
    each_ms: bounds.DurationMs = 0
    valid_ms: bounds.DurationMs = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class _Route:
    name: str
    # Host name in the Host header of callers' requests.
    hostname: str = ""
    prefix: str = "/"
    service: str = ""
    timeout_ms: bounds.DurationMs = 3000
    target_duration_ms: bounds.DurationMs = 0
    priority: bounds.Amount = 0
    attempts: bounds.Amount = 1
    stretch: bounds.Measure = 1.0
    advice: _Advice | None = None


@dataclasses.dataclass(slots=True, kw_only=True)
class _Service:
    name: bounds.Name


@dataclasses.dataclass(slots=True, kw_only=True)
class _Limits:
    max_body_bytes: bounds.Amount = 262144


@dataclasses.dataclass(slots=True, kw_only=True)
class _Configuration:
    version: bounds.Number
    routes: list[_Route] = dataclasses.field(default_factory=list)
    services: list[_Service] = dataclasses.field(default_factory=list)
    limits: _Limits = dataclasses.field(default_factory=_Limits)


def short_worker_id(full_id: str) -> str:
    """Return the id by which the hosts know a worker.

    Args:
        full_id: Id of the worker in the directory.

    Returns:
        The same id; a digest of it if it is longer than
        MAX_WORKER_ID_LENGTH.
    """
    if len(full_id) <= MAX_WORKER_ID_LENGTH:
        return full_id
    digest = hashlib.blake2b(full_id.encode(), digest_size=_DIGEST_BYTES)
    return "~" + digest.hexdigest()


def decode_worker(worker_id: str, data: bytes) -> runners.Registration:
    """Return the worker that an entry of the directory describes.

    Args:
        worker_id: Id of the worker in the directory.
        data: The entry, in JSON.

    Raises:
        MessageError: The entry can't be decoded, or one of its values is
            out of bounds.
    """
    entry = rows.from_json(data, _Worker)
    short_id = short_worker_id(bounds.check_id(worker_id))
    return runners.Registration(
        worker_id=short_id,
        full_id="" if short_id == worker_id else worker_id,
        service=entry.service,
        address=bounds.check_address(entry.address),
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


def evacuation_row(zone: str) -> stores.RowKey:
    """Return the address of the operator's request to evacuate a zone.

    Args:
        zone: The zone.
    """
    return stores.RowKey(
        table=OPERATOR_TABLE, part="", key=EVACUATION_PREFIX + zone
    )


def find_evacuated_zone(at: stores.RowKey) -> str | None:
    """Return the zone that a row of the operator asks to evacuate.

    The value of such a row has no meaning.

    Args:
        at: Address of the row.

    Returns:
        The name in the request; None if the row is no such request.
    """
    if at.part or not at.key.startswith(EVACUATION_PREFIX):
        return None
    return at.key.removeprefix(EVACUATION_PREFIX)


def decode_configuration(data: bytes) -> tuple[queues.QueueTable, int]:
    """Return the queues of a configuration and its body size limit.

    Args:
        data: The configuration, in JSON.

    Returns:
        The queues, and the largest body of a request in bytes.

    Raises:
        MessageError: The configuration can't be decoded.
    """
    document = rows.from_json(data, _Configuration)
    table = queues.QueueTable(
        version=document.version,
        queues=[_decode_route(route) for route in document.routes],
        services=[service.name for service in document.services],
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

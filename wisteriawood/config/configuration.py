"""The configuration: teams with their services, weights and quotas.

A document is the configuration as plain JSON values; `Configuration` is
the typed object that the daemons use.
"""

import dataclasses
import json
import typing

import msgspec

from wisteriawood.config import settings
from wisteriawood.contracts import requests
from wisteriawood import errors

MAX_DEADLINE_MS = 60_000
MAX_TEAMS = 1000
# Applies to the services and to the batch classes of a team.
MAX_NAMES_PER_TEAM = 100

Document = dict[str, typing.Any]

_NAME_SCHEMA = {
    "type": "string",
    "pattern": r"^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$",
}
_WEIGHT_SCHEMA = {"type": "number", "minimum": 0, "maximum": 10}


def _object_schema(properties: Document, required: typing.Sequence[str] = ()):
    return {
        "type": "object",
        "additionalProperties": False,
        "required": list(required),
        "properties": properties,
    }


def _mapping_schema(items: Document, *, max_count: int) -> Document:
    return {
        "type": "object",
        "propertyNames": _NAME_SCHEMA,
        "maxProperties": max_count,
        "additionalProperties": items,
    }


SERVICE_SCHEMA = _object_schema(
    {
        "deadline_ms": {
            "type": "integer",
            "minimum": 1,
            "maximum": MAX_DEADLINE_MS,
        },
        "request_class": {"enum": [c.value for c in requests.RequestClass]},
        "urgent": {"type": "boolean"},
    },
    required=["deadline_ms"],
)
BATCH_CLASS_SCHEMA = _object_schema(
    {
        "resumable": {"type": "boolean"},
        "throttled": {"type": "boolean"},
        "priority": {"type": "integer", "minimum": 0, "maximum": 100},
    }
)
WEIGHTS_SCHEMA = _object_schema(
    {
        "tail_latency": _WEIGHT_SCHEMA,
        "batch_throughput": _WEIGHT_SCHEMA,
        "evictions": _WEIGHT_SCHEMA,
    }
)
QUOTA_SCHEMA = _object_schema(
    {
        "share": {"type": "number", "exclusiveMinimum": 0, "maximum": 1000},
        "cores": {"type": "number", "minimum": 0, "maximum": 10_000_000},
        "memory_bytes": {"type": "integer", "minimum": 0, "maximum": 2**60},
        "accelerators": {"type": "integer", "minimum": 0, "maximum": 10**6},
        "requests_in_flight": {
            "type": "integer",
            "minimum": 0,
            "maximum": 10**7,
        },
    }
)
TEAM_SCHEMA = _object_schema(
    {
        "services": _mapping_schema(
            SERVICE_SCHEMA, max_count=MAX_NAMES_PER_TEAM
        ),
        "batch_classes": _mapping_schema(
            BATCH_CLASS_SCHEMA, max_count=MAX_NAMES_PER_TEAM
        ),
        "weights": WEIGHTS_SCHEMA,
        "quota": QUOTA_SCHEMA,
    }
)
SCHEMA = _object_schema(
    {
        "version": {"type": "integer", "minimum": 0},
        "teams": _mapping_schema(TEAM_SCHEMA, max_count=MAX_TEAMS),
    },
    required=["teams"],
)


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Service:
    """Configuration of one service of a team.

    Attributes:
        deadline_ms: Time for an answer, in milliseconds, if the caller
            sets none.
        request_class: Class of requests if the caller sets none.
        urgent: Whether its requests go before those of other services.
    """

    deadline_ms: int
    request_class: requests.RequestClass = requests.RequestClass.REPEATABLE
    urgent: bool = False

    @property
    def deadline_s(self) -> float:
        """Time for an answer, in seconds, if the caller sets none."""
        return self.deadline_ms / 1000.0


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class BatchClass:
    """Configuration of the batch jobs of one task class of a team.

    Attributes:
        resumable: Whether a job may be evicted and resumed elsewhere.
        throttled: Whether a job may be slowed down to protect a service.
        priority: Priority within the team; higher goes first.
    """

    resumable: bool = True
    throttled: bool = True
    priority: int = 0


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Weights:
    """Importance of each goal to a team, from 0 to 10.

    Attributes:
        tail_latency: Importance of low tail latency of its services.
        batch_throughput: Importance of the throughput of its batch jobs.
        evictions: Importance of few evictions of its tasks.
    """

    tail_latency: float = 1.0
    batch_throughput: float = 1.0
    evictions: float = 1.0


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Quota:
    """Limits of the resources of a team; None for no limit.

    Attributes:
        share: Share of contended resources, relative to other teams.
        cores: Most cores of all its tasks together.
        memory_bytes: Most memory of all its tasks together, in bytes.
        accelerators: Most accelerators of all its tasks together.
        requests_in_flight: Most requests at its targets at once, on each
            entry host.
    """

    share: float = 1.0
    cores: float | None = None
    memory_bytes: int | None = None
    accelerators: int | None = None
    requests_in_flight: int | None = None


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Team:
    """The configuration of one team.

    Attributes:
        services: Its services by name.
        batch_classes: Configuration of its batch jobs by task class.
        weights: Importance of each goal to it.
        quota: Limits of its resources.
    """

    services: dict[str, Service] = dataclasses.field(default_factory=dict)
    batch_classes: dict[str, BatchClass] = dataclasses.field(
        default_factory=dict
    )
    weights: Weights = dataclasses.field(default_factory=Weights)
    quota: Quota = dataclasses.field(default_factory=Quota)


@dataclasses.dataclass(slots=True, kw_only=True)
class Configuration:
    """One version of the configuration.

    Attributes:
        version: Number of the version; 0 before the first change.
        teams: The teams by name.
    """

    version: int = 0
    teams: dict[str, Team] = dataclasses.field(default_factory=dict)

    def team(self, name: str) -> Team | None:
        """Return a team, or None if the configuration does not have it."""
        return self.teams.get(name)

    def has_team(self, name: str) -> bool:
        """Return whether a team is served.

        Before the first change, every team is served with defaults.
        """
        return not self.version or name in self.teams

    def longest_deadline_s(self) -> float:
        """Return the longest deadline of all services, in seconds."""
        return max(
            (
                service.deadline_s
                for team in self.teams.values()
                for service in team.services.values()
            ),
            default=requests.MAX_REQUEST_S,
        )

    def service(self, team: str, name: str) -> Service | None:
        """Return a service of a team, or None if it is not configured."""
        found = self.teams.get(team)
        return found.services.get(name) if found else None


def check(document: typing.Any, *, file: str) -> None:
    """Check a document against the schema.

    Args:
        document: The document.
        file: Source of the document, for the error message.

    Raises:
        SettingsError: The document does not match; the message names the
            path of the first error and the remedy.
    """
    settings.check(file=file, value=document, schema=SCHEMA)


def read_file(*, file: str) -> Document:
    """Read a document from a file and check it.

    Args:
        file: Name of the file.

    Raises:
        SettingsError: The file can't be read, is not JSON or does not match
            the schema.
    """
    document = settings.read_json(file=file)
    check(document, file=file)
    return document


def _parse_team(name: str, value: Document) -> Team:
    try:
        return msgspec.convert(value, Team)
    except msgspec.ValidationError as exc:
        raise errors.SettingsError(
            file="configuration",
            path=f"$.teams.{name}",
            found=str(exc),
            remedy="run the newest version of wisteriawood on this host",
        ) from exc


def parse(document: Document, *, version: int) -> Configuration:
    """Convert a checked document to the typed object.

    Args:
        document: The document.
        version: Its version number.

    Raises:
        SettingsError: This version of the program can't read the document.
    """
    teams = {
        name: _parse_team(name, value)
        for name, value in document.get("teams", {}).items()
    }
    return Configuration(version=version, teams=teams)


def reparse(
    before: Configuration,
    document: Document,
    patch: Document,
    *,
    version: int,
) -> Configuration:
    """Return the typed object after a patch; parse only changed teams.

    Args:
        before: Object of the previous version.
        document: Document after the patch.
        patch: The merge patch that was applied.
        version: Version number of the document.

    Raises:
        SettingsError: This version of the program can't read the document.
    """
    teams = dict(before.teams)
    for name in patch.get("teams", {}):
        value = document["teams"].get(name)
        if value is None:
            teams.pop(name, None)
        else:
            teams[name] = _parse_team(name, value)
    return Configuration(version=version, teams=teams)


def to_text(document: Document) -> str:
    """Return a document as indented JSON text."""
    return json.dumps(document, indent=2, sort_keys=True)

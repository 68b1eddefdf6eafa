"""The configuration: teams with their services, weights and quotas.

A document is the configuration as plain JSON; `Configuration` is the
typed object that the daemons use.
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
MAX_NAMES = 100

Document = dict[str, typing.Any]

_NAME = {"type": "string", "pattern": r"^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$"}
_WEIGHT = {"type": "number", "minimum": 0, "maximum": 10}


def _record(properties: Document, required: typing.Sequence[str] = ()):
    return {
        "type": "object",
        "additionalProperties": False,
        "required": list(required),
        "properties": properties,
    }


def _named(items: Document, *, most: int) -> Document:
    return {
        "type": "object",
        "propertyNames": _NAME,
        "maxProperties": most,
        "additionalProperties": items,
    }


SERVICE_SCHEMA = _record(
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
BATCH_CLASS_SCHEMA = _record(
    {
        "resumable": {"type": "boolean"},
        "throttled": {"type": "boolean"},
        "priority": {"type": "integer", "minimum": 0, "maximum": 100},
    }
)
WEIGHTS_SCHEMA = _record(
    {
        "tail_latency": _WEIGHT,
        "batch_throughput": _WEIGHT,
        "evictions": _WEIGHT,
    }
)
QUOTA_SCHEMA = _record(
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
TEAM_SCHEMA = _record(
    {
        "services": _named(SERVICE_SCHEMA, most=MAX_NAMES),
        "batch_classes": _named(BATCH_CLASS_SCHEMA, most=MAX_NAMES),
        "weights": WEIGHTS_SCHEMA,
        "quota": QUOTA_SCHEMA,
    }
)
SCHEMA = _record(
    {
        "version": {"type": "integer", "minimum": 0},
        "teams": _named(TEAM_SCHEMA, most=MAX_TEAMS),
    },
    required=["teams"],
)


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Service:
    """What a team asks of one service.

    Attributes:
        deadline_ms: Time for an answer where the caller gives none.
        request_class: Class of requests where the caller gives none.
        urgent: Whether its requests go before those of other services.
    """

    deadline_ms: int
    request_class: requests.RequestClass = requests.RequestClass.REPEATABLE
    urgent: bool = False

    @property
    def deadline_s(self) -> float:
        """Time for an answer in seconds."""
        return self.deadline_ms / 1000.0


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class BatchClass:
    """What a team allows with batch jobs of one task class.

    Attributes:
        resumable: Whether a job may be evicted and resumed elsewhere.
        throttled: Whether a job may be slowed down for a service.
        priority: Higher goes first within the team.
    """

    resumable: bool = True
    throttled: bool = True
    priority: int = 0


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Weights:
    """How much each outcome matters to a team, from 0 to 10.

    Attributes:
        tail_latency: Tail latency of its services.
        batch_throughput: Throughput of its batch jobs.
        evictions: Evictions of its tasks.
    """

    tail_latency: float = 1.0
    batch_throughput: float = 1.0
    evictions: float = 1.0


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Quota:
    """What a team may use at most; None for no limit.

    Attributes:
        share: Share of contended resources, relative to other teams.
        cores: Cores of its tasks.
        memory_bytes: Memory of its tasks.
        accelerators: Accelerators of its tasks.
        requests_in_flight: Requests at targets at once, on each entry host.
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
        batch_classes: Its classes of batch jobs by task class.
        weights: How much each outcome matters to it.
        quota: What it may use at most.
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
        version: Its number; 0 before the first change.
        teams: The teams by name.
    """

    version: int = 0
    teams: dict[str, Team] = dataclasses.field(default_factory=dict)

    def team(self, name: str) -> Team | None:
        """Return a team, or None if the configuration has none such."""
        return self.teams.get(name)

    def knows(self, name: str) -> bool:
        """Tell whether a team is served.

        Before the first change every team is served, with defaults.
        """
        return not self.version or name in self.teams

    def longest_deadline_s(self) -> float:
        """Return the longest deadline of a service, in seconds."""
        return max(
            (
                service.deadline_s
                for team in self.teams.values()
                for service in team.services.values()
            ),
            default=requests.MAX_REQUEST_S,
        )

    def service(self, team: str, name: str) -> Service | None:
        """Return a service of a team, or None if there is none such."""
        found = self.teams.get(team)
        return found.services.get(name) if found else None


def check(document: typing.Any, *, file: str) -> None:
    """Check a document against the schema.

    Args:
        document: The document.
        file: Where it came from, for the message.

    Raises:
        SettingsError: The first error, with its path and the remedy.
    """
    settings.check(file=file, value=document, schema=SCHEMA)


def read_file(*, file: str) -> Document:
    """Return the checked document of a file.

    Args:
        file: Name of the file.

    Raises:
        SettingsError: The file is missing, no JSON or not as it should be.
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
    """Return the typed object of a checked document.

    Args:
        document: The document.
        version: Its version number.

    Raises:
        SettingsError: This version of the program can't read it.
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
    """Return the typed object after a patch; parses only changed teams.

    Args:
        before: Object of the version before.
        document: Document after the patch.
        patch: The merge patch that led to it.
        version: Version number of the document.

    Raises:
        SettingsError: This version of the program can't read it.
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

"""Settings of the daemons, read from a JSON file and checked."""

import dataclasses
import json
import typing

import jsonschema
import msgspec

from wisteriawood import errors

_ADDRESS_SCHEMA = {"type": "string", "pattern": r"^[^\s:]+:[0-9]{1,5}$"}
_NAME_SCHEMA = {"type": "string", "pattern": r"^[a-z0-9][a-z0-9.-]{0,62}$"}
MAX_VALUE_CHARS = 200

SCHEMA = {
    "type": "object",
    "additionalProperties": False,
    "required": [
        "name",
        "zone",
        "platform_url",
        "peer_address",
        "operator_address",
    ],
    "properties": {
        "name": _NAME_SCHEMA,
        "zone": _NAME_SCHEMA,
        "region": _NAME_SCHEMA,
        "platform_url": {"type": "string", "pattern": "^https?://"},
        "caller_address": _ADDRESS_SCHEMA,
        "peer_address": _ADDRESS_SCHEMA,
        "operator_address": _ADDRESS_SCHEMA,
        "log_file": {"type": "string"},
        "trace_file": {"type": "string"},
        "routing_policy": {"type": "string"},
        "placement_policy": {"type": "string"},
        "peers": {"type": "array", "items": _ADDRESS_SCHEMA, "maxItems": 64},
        "seed": {"type": "integer", "minimum": 0},
    },
}


@dataclasses.dataclass(slots=True, kw_only=True)
class Settings:
    """Settings of one daemon.

    Attributes:
        name: Name of the host.
        zone: Its availability zone.
        region: Its region.
        platform_url: Base address of the platform.
        caller_address: Address to serve callers at, as host:port.
        peer_address: Address to serve peers at, as host:port.
        operator_address: Address to serve operators at, as host:port.
        log_file: File for events; empty for none.
        trace_file: File for spans; empty for none.
        routing_policy: Name of the routing policy; empty for the default.
        placement_policy: Name of the placement policy; empty for the
            default.
        peers: Addresses of peers, as host:port, that are dialled in
            addition to the members of the table, so that the daemon can
            start while the platform is unreachable.
        seed: Seed of random choices; None for a random seed.
    """

    name: str
    zone: str
    region: str = ""
    platform_url: str
    caller_address: str = ""
    peer_address: str
    operator_address: str
    log_file: str = ""
    trace_file: str = ""
    routing_policy: str = ""
    placement_policy: str = ""
    peers: list[str] = dataclasses.field(default_factory=list)
    seed: int | None = None


def _remedy(error: jsonschema.ValidationError) -> str:
    if error.validator == "additionalProperties":
        known = ", ".join(sorted(error.schema["properties"]))
        return f"remove it; the keys are {known}"
    if error.validator == "required":
        return f"add it; required are {', '.join(error.validator_value)}"
    if error.validator == "type":
        return f"write a value of type {error.validator_value}"
    if error.validator == "enum":
        return f"write one of {error.validator_value}"
    if error.validator == "pattern":
        return f"write text that matches {error.validator_value}"
    if error.validator in ("minimum", "maximum"):
        words = {"minimum": "at least", "maximum": "at most"}
        return (
            f"write a number of {words[error.validator]} "
            f"{error.validator_value}"
        )
    return f"correct it: {error.validator} is {error.validator_value}"


def _locate(error: jsonschema.ValidationError) -> tuple[str, str]:
    """Return the JSON path of an error and a text of the value there."""
    if error.validator == "additionalProperties":
        known = error.schema["properties"]
        key = min(key for key in error.instance if key not in known)
        return f"{error.json_path}.{key}", "an unknown key"
    if error.validator == "required":
        missing = [
            key for key in error.validator_value if key not in error.instance
        ]
        return f"{error.json_path}.{missing[0]}", "nothing"
    text = json.dumps(error.instance)
    if len(text) > MAX_VALUE_CHARS:
        text = text[:MAX_VALUE_CHARS] + "..."
    return error.json_path, text


def read_json(*, file: str) -> typing.Any:
    """Read and parse a JSON file.

    Args:
        file: Name of the file.

    Raises:
        SettingsError: The file can't be read or is not JSON.
    """
    try:
        with open(file, encoding="utf-8") as stream:
            return json.load(stream)
    except OSError as exc:
        raise errors.SettingsError(
            file=file,
            path="$",
            found=exc.strerror or "an error",
            remedy="give the name of a file that can be read",
        ) from exc
    except (json.JSONDecodeError, UnicodeDecodeError) as exc:
        raise errors.SettingsError(
            file=file, path="$", found=str(exc), remedy="write valid JSON"
        ) from exc


def write_text(*, file: str, text: str) -> None:
    """Write a text file.

    Args:
        file: Name of the file.
        text: Content of the file.

    Raises:
        SettingsError: The file can't be written.
    """
    try:
        with open(file, "w", encoding="utf-8") as stream:
            stream.write(text)
    except OSError as exc:
        raise errors.SettingsError(
            file=file,
            path="$",
            found=exc.strerror or "an error",
            remedy="give the name of a file that can be written",
        ) from exc


def check(*, file: str, value: typing.Any, schema: typing.Any) -> None:
    """Check a JSON value against a schema.

    Args:
        file: Source of the value, for the error message.
        value: The value.
        schema: JSON schema.

    Raises:
        SettingsError: The value does not match; the message names the path
            of the first error and the remedy.
    """
    validator = jsonschema.Draft202012Validator(schema)
    found = sorted(validator.iter_errors(value), key=lambda e: e.json_path)
    if not found:
        return
    path, text = _locate(found[0])
    raise errors.SettingsError(
        file=file, path=path, found=text, remedy=_remedy(found[0])
    )


def load(*, file: str) -> Settings:
    """Read settings from a file and check them.

    Args:
        file: Name of the file.

    Raises:
        SettingsError: The file can't be read, is not JSON or does not match
            the schema.
    """
    value = read_json(file=file)
    check(file=file, value=value, schema=SCHEMA)
    return msgspec.convert(value, Settings)

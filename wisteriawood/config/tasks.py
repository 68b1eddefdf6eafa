"""Task files: JSON descriptions of the tasks that operators submit."""

import typing

import msgspec

from wisteriawood.config import settings
from wisteriawood.contracts import tasks

_NAME_SCHEMA = {
    "type": "string",
    "pattern": r"^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$",
}
_STRINGS_SCHEMA = {
    "type": "object",
    "additionalProperties": {"type": "string"},
}

TASK_SCHEMA = {
    "type": "object",
    "additionalProperties": False,
    "required": ["id", "team", "kind", "needs"],
    "properties": {
        "id": _NAME_SCHEMA,
        "team": _NAME_SCHEMA,
        "kind": {"enum": [kind.value for kind in tasks.TaskKind]},
        "needs": {
            "type": "object",
            "additionalProperties": False,
            "required": ["cores", "memory_bytes"],
            "properties": {
                "cores": {"type": "number", "exclusiveMinimum": 0},
                "memory_bytes": {"type": "integer", "minimum": 1},
                "accelerators": {"type": "integer", "minimum": 0},
            },
        },
        "run_s": {"type": "number", "minimum": 0},
        "urgent": {"type": "boolean"},
        "priority": {"type": "integer", "minimum": 0, "maximum": 100},
        "task_class": _NAME_SCHEMA,
        "service": _NAME_SCHEMA,
        "slots": {"type": "integer", "minimum": 0, "maximum": 1024},
        "labels": _STRINGS_SCHEMA,
        "arguments": _STRINGS_SCHEMA,
    },
    "if": {"properties": {"kind": {"const": "service"}}},
    "then": {"required": ["service", "slots"]},
}
SCHEMA = {"type": "array", "minItems": 1, "items": TASK_SCHEMA}


def parse(*, file: str, value: typing.Any) -> list[tasks.TaskSpec]:
    """Check a JSON value and convert it to tasks.

    Args:
        file: Source of the value, for the error message.
        value: One task or a list of tasks.

    Raises:
        SettingsError: The value does not match the schema.
    """
    if isinstance(value, dict):
        value = [value]
    settings.check(file=file, value=value, schema=SCHEMA)
    return msgspec.convert(value, list[tasks.TaskSpec])

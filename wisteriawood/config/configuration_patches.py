"""Merge patches (RFC 7396) between versions of the configuration."""

import dataclasses
import json
import typing

from wisteriawood.config import configuration

_MISSING = object()


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Difference:
    """One value that differs between two documents.

    Attributes:
        path: JSON path of the value.
        before: JSON text of the old value; empty if there was none.
        after: JSON text of the new value; empty if there is none.
    """

    path: str
    before: str
    after: str

    def to_text(self) -> str:
        """Return the difference as one line."""
        if not self.before:
            return f"+ {self.path}: {self.after}"
        if not self.after:
            return f"- {self.path}: {self.before}"
        return f"~ {self.path}: {self.before} -> {self.after}"


def apply(document: typing.Any, patch: typing.Any) -> typing.Any:
    """Return a copy of a document with a merge patch applied.

    Args:
        document: The document; not modified.
        patch: The merge patch.
    """
    if not isinstance(patch, dict):
        return patch
    result = dict(document) if isinstance(document, dict) else {}
    for key, value in patch.items():
        if value is None:
            result.pop(key, None)
        else:
            result[key] = apply(result.get(key), value)
    return result


def make(
    before: configuration.Document, after: configuration.Document
) -> configuration.Document:
    """Return the merge patch that turns one document into another.

    Args:
        before: Old document; contains no null.
        after: New document; contains no null.
    """
    patch: configuration.Document = {}
    for key in before.keys() - after.keys():
        patch[key] = None
    for key, value in after.items():
        old = before.get(key, _MISSING)
        if isinstance(value, dict) and isinstance(old, dict):
            inner = make(old, value)
            if inner:
                patch[key] = inner
        elif old is _MISSING or old != value:
            patch[key] = value
    return patch


def _leaves(value: typing.Any, path: str) -> dict[str, str]:
    if not isinstance(value, dict) or not value:
        return {path: json.dumps(value)}
    leaves = {}
    for key, inner in value.items():
        leaves.update(_leaves(inner, f"{path}.{key}"))
    return leaves


def differences(
    before: configuration.Document, after: configuration.Document
) -> list[Difference]:
    """Return the differences between two documents, sorted by path.

    Args:
        before: Old document.
        after: New document.
    """
    old = _leaves(before, "$")
    new = _leaves(after, "$")
    return [
        Difference(
            path=path, before=old.get(path, ""), after=new.get(path, "")
        )
        for path in sorted(old.keys() | new.keys())
        if old.get(path) != new.get(path)
    ]

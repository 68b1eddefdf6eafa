"""Rows of the configuration in the table."""

import dataclasses
import typing

# Version of a daemon that has no configuration yet.
NO_VERSION = -1


@dataclasses.dataclass(slots=True, kw_only=True)
class ConfigHead:
    """The row on which each change of the configuration is conditional.

    Attributes:
        version: Newest version; 0 before the first change.
    """

    version: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class ConfigChange:
    """The row of one change.

    Attributes:
        version: Version that it leads to, from the one before.
        patch: Merge patch (RFC 7396) of the document.
        author: Who applied it.
        note: Why, in the operator's words.
        applied_unix_s: Wall time of the change in seconds.
    """

    version: int
    patch: dict[str, typing.Any]
    author: str = ""
    note: str = ""
    applied_unix_s: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True)
class ConfigSnapshot:
    """A whole version, so that a reader need not read every change.

    Attributes:
        version: Version number.
        document: The whole configuration of this version.
    """

    version: int
    document: dict[str, typing.Any]

"""Rows in which the configuration is stored."""

import dataclasses
import typing

# Version of a daemon that has no configuration yet.
NO_VERSION = -1


@dataclasses.dataclass(slots=True, kw_only=True)
class ConfigHead:
    """The row that every change of the configuration is conditional on.

    Attributes:
        version: Newest version; 0 before the first change.
    """

    version: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class ConfigChange:
    """The row of one change.

    Attributes:
        version: Version that results from the change to the previous one.
        patch: Merge patch (RFC 7396) of the document.
        author: Operator who applied it.
        note: Reason given by the operator.
        applied_unix_s: Wall time of the change in seconds.
    """

    version: int
    patch: dict[str, typing.Any]
    author: str = ""
    note: str = ""
    applied_unix_s: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True)
class ConfigSnapshot:
    """A complete version, so that readers need not apply every change.

    Attributes:
        version: Version number.
        document: Complete configuration of this version.
    """

    version: int
    document: dict[str, typing.Any]

"""Reads and writes the configuration and its history in the table."""

import time

from wisteriawood.config import configuration
from wisteriawood.config import configuration_patches as patches
from wisteriawood.contracts import configurations
from wisteriawood.contracts import keys
from wisteriawood import errors
from wisteriawood.links.codecs import rows
from wisteriawood.links import platforms

# Number of versions from one snapshot to the next.
SNAPSHOT_PERIOD = 100
RETAINED_CHANGES = 10_000
MAX_READ_ATTEMPTS = 5


async def read_changes(
    platform: platforms.Platform,
    *,
    after: int,
    limit: int = platforms.SCAN_LIMIT,
) -> list[configurations.ConfigChange]:
    """Return the changes after a version, oldest first, in one read.

    Args:
        platform: Link to the platform.
        after: Version after which the changes come.
        limit: Maximum number of changes to return.

    Raises:
        PlatformUnavailableError: The table could not be read.
    """
    found = await platform.scan(
        keys.CONFIG_VERSIONS, after=keys.config_version(after), limit=limit
    )
    return [
        rows.from_value(row.value, configurations.ConfigChange)
        for row in found
    ]


async def read_head(
    platform: platforms.Platform,
) -> tuple[configurations.ConfigHead, int]:
    """Return the head, which names the newest version, and its row version.

    Without a row, the newest version and the row version are 0.

    Args:
        platform: Link to the platform.

    Raises:
        PlatformUnavailableError: The table could not be read.
    """
    row = await platform.read(keys.CONFIG_HEAD)
    if row is None:
        return configurations.ConfigHead(), 0
    return rows.from_value(row.value, configurations.ConfigHead), row.version


async def read_version(
    platform: platforms.Platform, version: int
) -> configurations.ConfigSnapshot:
    """Return a complete version: a snapshot with later changes applied.

    Args:
        platform: Link to the platform.
        version: Version number.

    Raises:
        NotFoundError: The version was pruned or does not exist.
        PlatformUnavailableError: The table could not be read.
    """
    base = version - version % SNAPSHOT_PERIOD
    snapshot = configurations.ConfigSnapshot(version=0, document={"teams": {}})
    if base:
        row = await platform.read(keys.config_snapshot(base))
        if row is None:
            raise errors.NotFoundError(
                f"version {version} is no longer stored"
            )
        snapshot = rows.from_value(row.value, configurations.ConfigSnapshot)
    if version > base:
        changes = await read_changes(
            platform, after=base, limit=version - base
        )
        for change in changes:
            if change.version == snapshot.version + 1:
                snapshot.document = patches.apply(
                    snapshot.document, change.patch
                )
                snapshot.version = change.version
    if snapshot.version != version:
        raise errors.NotFoundError(f"there is no version {version}")
    return snapshot


async def read_newest(
    platform: platforms.Platform,
) -> configurations.ConfigSnapshot:
    """Return the newest version, in three reads.

    Args:
        platform: Link to the platform.

    Raises:
        PlatformUnavailableError: The table could not be read.
    """
    for _attempt in range(MAX_READ_ATTEMPTS):
        head, _row_version = await read_head(platform)
        try:
            return await read_version(platform, head.version)
        except errors.NotFoundError:
            continue
    raise errors.PlatformUnavailableError(
        "the rows of the configuration are inconsistent; try again"
    )


def _pruning_writes(version: int) -> list[platforms.Write]:
    # Deletes one snapshot period of rows, RETAINED_CHANGES versions back.
    last = version - RETAINED_CHANGES
    if last < SNAPSHOT_PERIOD:
        return []
    old = range(last - SNAPSHOT_PERIOD + 1, last + 1)
    writes = [platforms.Write(key=keys.config_version(n)) for n in old]
    old_snapshot = last - SNAPSHOT_PERIOD
    if old_snapshot:
        writes.append(platforms.Write(key=keys.config_snapshot(old_snapshot)))
    return writes


def _version_writes(
    change: configurations.ConfigChange, document: configuration.Document
) -> list[platforms.Write]:
    head = configurations.ConfigHead(version=change.version)
    writes = [
        platforms.Write(key=keys.CONFIG_HEAD, value=rows.to_value(head)),
        platforms.Write(
            key=keys.config_version(change.version),
            value=rows.to_value(change),
        ),
    ]
    if change.version % SNAPSHOT_PERIOD == 0:
        snapshot = configurations.ConfigSnapshot(
            version=change.version, document=document
        )
        writes.append(
            platforms.Write(
                key=keys.config_snapshot(change.version),
                value=rows.to_value(snapshot),
            )
        )
        writes.extend(_pruning_writes(change.version))
    return writes


async def apply(
    platform: platforms.Platform,
    document: configuration.Document,
    *,
    base: int,
    author: str = "",
    note: str = "",
) -> int:
    """Commit a document as the version that follows its base version.

    Args:
        platform: Link to the platform.
        document: The complete new configuration; it is validated again.
        base: Version that the operator edited.
        author: Name of the operator.
        note: Reason for the change.

    Returns:
        The new version; the base version if nothing differs.

    Raises:
        ConfigurationConflictError: Another change was committed first.
        SettingsError: The document is invalid.
        PlatformUnavailableError: Nothing was committed.
    """
    configuration.check(document, file="configuration")
    document = {"teams": document["teams"]}
    head, row_version = await read_head(platform)
    if head.version != base:
        raise await _conflict(platform, base)
    before = await read_version(platform, base)
    patch = patches.make(before.document, document)
    if not patch:
        return base
    change = configurations.ConfigChange(
        version=base + 1,
        patch=patch,
        author=author,
        note=note,
        applied_unix_s=time.time(),
    )
    if not await _commit(platform, change, document, row_version=row_version):
        raise await _conflict(platform, base)
    return change.version


async def _commit(
    platform: platforms.Platform,
    change: configurations.ConfigChange,
    document: configuration.Document,
    *,
    row_version: int,
) -> bool:
    transaction = platforms.Transaction(
        conditions=[
            platforms.Condition(key=keys.CONFIG_HEAD, version=row_version)
        ],
        writes=_version_writes(change, document),
    )
    result = await platforms.commit_with_retry(platform, transaction)
    return result.committed


async def _conflict(
    platform: platforms.Platform, base: int
) -> errors.ConfigurationConflictError:
    newest = await read_newest(platform)
    text = f"version {newest.version} is current, yours is based on {base}"
    if newest.version < base:
        return errors.ConfigurationConflictError(
            f"{text}; nothing was applied. Run config show, edit that version "
            "and apply it again"
        )
    try:
        before = await read_version(platform, base)
    except errors.NotFoundError:
        found = []
    else:
        found = patches.differences(before.document, newest.document)
    lines = [difference.to_text() for difference in found]
    return errors.ConfigurationConflictError(
        "\n".join(
            [
                f"{text}; nothing was applied. Changed since then:",
                *(lines or ["(the older version is no longer stored)"]),
                "Run config show, edit that version and apply it again",
            ]
        )
    )

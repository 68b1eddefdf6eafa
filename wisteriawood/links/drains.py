"""Operators' orders to drain hosts, as transactions on the table."""

import time

from wisteriawood.contracts import drains
from wisteriawood.contracts import holdings
from wisteriawood.contracts import keys
from wisteriawood import errors
from wisteriawood.links.codecs import rows
from wisteriawood.links import platforms


async def _exists(
    platform: platforms.Platform, kind: drains.DrainKind, name: str
) -> bool:
    if kind == drains.DrainKind.WORKER:
        return name in {host.name for host in await platform.hosts()}
    key = keys.member(holdings.Role.ENTRY, name)
    return await platform.read(key) is not None


async def order(
    platform: platforms.Platform,
    kind: drains.DrainKind,
    name: str,
    *,
    author: str = "",
) -> None:
    """Order a host to drain.

    Args:
        platform: Link to the platform.
        kind: Kind of the host.
        name: Name of the host.
        author: Who orders it.

    Raises:
        NotFoundError: There is no such host.
        PlatformUnavailableError: Nothing was written.
    """
    if not await _exists(platform, kind, name):
        raise errors.NotFoundError(
            f"there is no {kind} host {name!r}; status lists them"
        )
    value = drains.DrainOrder(
        kind=kind, name=name, author=author, ordered_unix_s=time.time()
    )
    await _write(platform, kind, name, value)


async def undo(
    platform: platforms.Platform, kind: drains.DrainKind, name: str
) -> None:
    """Take back an order to drain, if there is one.

    Args:
        platform: Link to the platform.
        kind: Kind of the host.
        name: Name of the host.

    Raises:
        PlatformUnavailableError: Nothing was written.
    """
    await _write(platform, kind, name, None)


async def _write(
    platform: platforms.Platform,
    kind: drains.DrainKind,
    name: str,
    value: drains.DrainOrder | None,
) -> None:
    write = platforms.Write(
        key=keys.drain(kind, name),
        value=None if value is None else rows.to_value(value),
    )
    await platforms.commit_settled(
        platform, platforms.Transaction(writes=[write])
    )

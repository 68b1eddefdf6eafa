"""Requests of operators to drain hosts, stored in the platform's table."""

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


async def request_drain(
    platform: platforms.Platform,
    kind: drains.DrainKind,
    name: str,
    *,
    author: str = "",
) -> None:
    """Request that a host be drained.

    Args:
        platform: Link to the platform.
        kind: Kind of the host.
        name: Name of the host.
        author: Name of the operator.

    Raises:
        NotFoundError: There is no such host.
        PlatformUnavailableError: Nothing was written.
    """
    if not await _exists(platform, kind, name):
        raise errors.NotFoundError(
            f"there is no {kind} host {name!r}; run status to list the hosts"
        )
    value = drains.DrainOrder(
        kind=kind, name=name, author=author, ordered_unix_s=time.time()
    )
    await _write(platform, kind, name, value)


async def withdraw_drain(
    platform: platforms.Platform, kind: drains.DrainKind, name: str
) -> None:
    """Withdraw the request to drain a host, if there is one.

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
    await platforms.commit_with_retry(
        platform, platforms.Transaction(writes=[write])
    )

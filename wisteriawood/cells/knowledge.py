"""Sharing what the holders of a service's cells learn about images."""

import anyio
import msgspec

from wisteriawood.cells import cells
from wisteriawood.cells import tables
from wisteriawood import errors
from wisteriawood.links import stores
from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events

_LOG = events.Logger(name=__name__)
# Time between two exchanges. Weights change slowly, and their rows are large
# beside the heartbeats, which every host reads.
PERIOD_S = 3.0


class Exchange:
    """Tells the other holders what one cell learned, and hears them.

    Args:
        cell: The cell.
    """

    __slots__ = ("_cell", "_told")

    def __init__(self, *, cell: cells.Cell):
        self._cell = cell
        self._told = b""

    async def run(self) -> None:
        """Exchange weights until cancelled."""
        while True:
            await anyio.sleep(PERIOD_S)
            try:
                await self.exchange()
            except errors.PlatformError as exc:
                _LOG.log(
                    job_events.KNOWLEDGE_NOT_SHARED,
                    cell=self._cell.name,
                    cause=str(exc),
                )

    async def exchange(self) -> None:
        """Write what the cell knows and read what the others do.

        Raises:
            PlatformError: The store does not answer.
        """
        store = self._cell.store
        service = tables.service_of_cell(self._cell.name)
        data = msgspec.json.encode(self._cell.book.tell())
        if data != self._told:
            at = tables.knowledge_row(self._cell.name)
            await store.commit(stores.Change(writes={at: data}))
            self._told = data
        page = await store.read(tables.KNOWLEDGE, service)
        for row in page.rows:
            if row.at.key != self._cell.name:
                self._hear(row)

    def _hear(self, row: stores.StoredRow) -> None:
        try:
            told = msgspec.json.decode(
                row.value or b"", type=dict[str, list[float]]
            )
            self._cell.book.hear(row.at.key, told)
        except (msgspec.DecodeError, ValueError) as exc:
            _LOG.log(
                job_events.KNOWLEDGE_UNREADABLE,
                cell=row.at.key,
                cause=str(exc),
            )

"""Exchange of interference weights between the cells of a service."""

import anyio
import msgspec

from wisteriawood.cells import cells
from wisteriawood.cells import tables
from wisteriawood import errors
from wisteriawood.links.codecs import bounds
from wisteriawood.links.codecs import rows
from wisteriawood.links import stores
from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events

_LOG = events.Logger(name=__name__)
# Time between two exchanges. Weights change slowly. They are not part of the
# heartbeats, which every host reads, since they are much larger.
EXCHANGE_INTERVAL_S = 3.0


class WeightExchange:
    """Shares the weights of one cell and merges those of the others.

    Args:
        cell: The cell.
    """

    __slots__ = ("_cell", "_last_written")

    def __init__(self, *, cell: cells.Cell):
        self._cell = cell
        self._last_written = b""

    async def run(self) -> None:
        """Exchange weights until cancelled."""
        while True:
            await anyio.sleep(EXCHANGE_INTERVAL_S)
            try:
                await self.exchange()
            except errors.PlatformError as exc:
                _LOG.log(
                    job_events.WEIGHTS_NOT_SHARED,
                    cell=self._cell.name,
                    cause=str(exc),
                )

    async def exchange(self) -> None:
        """Write the weights of this cell and read those of the others.

        Raises:
            PlatformError: The store does not answer.
        """
        store = self._cell.store
        service = tables.service_of_cell(self._cell.name)
        data = msgspec.json.encode(self._cell.model.export_pairs())
        if data != self._last_written:
            at = tables.weights_row(self._cell.name)
            await store.commit(stores.Change(writes={at: data}))
            self._last_written = data
        page = await store.read(tables.WEIGHTS, service)
        for row in page.rows:
            if row.at.key != self._cell.name:
                self._merge_row(row)

    def _merge_row(self, row: stores.StoredRow) -> None:
        try:
            weights = rows.from_json(
                row.value or b"",
                dict[str, tuple[bounds.Estimate, bounds.Measure]],
            )
        except errors.MessageError as exc:
            self._cell.counters.unreadable.labels(kind="weights").inc()
            _LOG.log(
                job_events.WEIGHTS_UNREADABLE,
                cell=row.at.key,
                cause=str(exc),
            )
            return
        self._cell.model.import_pairs(row.at.key, weights)

"""Follows the workers' entries in the store for a job host."""

from wisteriawood import errors
from wisteriawood.links import feeds
from wisteriawood.links import runners
from wisteriawood.links import stores
from wisteriawood.machines import job_hosts
from wisteriawood.platform import directory
from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events

_LOG = events.Logger(name=__name__)
# Pause between polls of the worker directory. Each worker writes its entry
# about once a second, and a draining worker must be detected within 2 s.
POLL_PAUSE_S = 0.4
# The same on a host without cells; claiming a cell triggers a poll at once.
IDLE_POLL_PAUSE_S = 4.0
# Longest duration of one of these polls, so that a hung one is given up soon.
POLL_S = 0.5


class WorkerFollower:
    """Keeps a host's directory of workers up to date.

    Args:
        host: The host.

    Attributes:
        feed: Feed of the workers' entries.
    """

    __slots__ = ("_fleet", "_host", "_rows", "feed")

    def __init__(self, *, host: job_hosts.JobHost):
        self._host = host
        self._rows: dict[str, stores.StoredRow] = {}
        self._fleet: dict[str, runners.Registration] = {}
        self.feed = feeds.Feed(
            store=host.store,
            table=directory.WORKER_TABLE,
            on_rows=self._process_rows,
            pause_s=self._pause_s,
            on_answer=self._confirm,
            wait_s=POLL_S,
            times=host.version_times,
        )

    def _pause_s(self) -> float:
        return POLL_PAUSE_S if self._host.is_holding() else IDLE_POLL_PAUSE_S

    def _process_rows(self, rows: list[stores.StoredRow]) -> None:
        for row in rows:
            if row.value is None:
                self._record_removal(row)
            else:
                self._rows[row.at.key] = row
        self.update()

    def _record_removal(self, removal: stores.StoredRow) -> None:
        former = self._rows.pop(removal.at.key, None)
        if former is None:
            return
        try:
            worker = self._decode(former)
        except errors.MessageError:
            # It was logged when the entry arrived.
            return
        self._host.directory.record_removal(
            worker,
            self._host.version_times.longest_between_s(
                former.version, removal.version
            ),
        )

    def _decode(self, row: stores.StoredRow) -> runners.Registration:
        """Return the worker that an entry describes.

        Raises:
            MessageError: The entry names no worker of this deployment.
        """
        table = self._host.queues
        services = table.services() if table else set()
        return directory.decode_worker(row.at.key, row.value or b"", services)

    def _confirm(self) -> None:
        self._host.directory.confirm(
            self.feed.confirmed_at_s, [at.key for at in self.feed.unverified]
        )

    def update(self) -> None:
        """Pass the workers on to the host if they have changed.

        Which entries name a worker depends on the configuration too.
        """
        fleet = {}
        for worker_id, row in self._rows.items():
            try:
                fleet[worker_id] = self._decode(row)
            except errors.MessageError as exc:
                _LOG.log(
                    job_events.WORKER_ROW_UNREADABLE,
                    worker=worker_id,
                    cause=str(exc),
                )
        if fleet != self._fleet:
            self._fleet = fleet
            self._host.update_fleet(fleet)

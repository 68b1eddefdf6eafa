"""Builders of hosts and feeds whose store fails in several ways."""

import anyio
import httpx

from wisteriawood.cells import tables
from wisteriawood import errors
from wisteriawood.jobs import queues as job_queues
from wisteriawood.links import feeds
from wisteriawood.links import runners
from wisteriawood.links import stores
from wisteriawood.machines import job_hosts
from wisteriawood.platform import configuration_followers
from wisteriawood.platform import directory
from wisteriawood.platform import standins
from wisteriawood.platform import store_client
from wisteriawood.platform import worker_followers
from wisteriawood.standins import job_worlds
from wisteriawood.standins import runners as run_standins
from wisteriawood.standins import stores as store_standins
from wisteriawood.tests import builders

ZONE = "a"
HOST = "host-a-1"
WORKER = "worker-a-1"
WORKER_PERIOD_S = 1.5
CALL_DELAY_S = 0.004
# Time until the audits after the first read have ended.
SETTLED_S = 20.0


class TimedTransport(httpx.AsyncBaseTransport):
    """Calls an ASGI application, with the timeouts of a real connection.

    Attributes:
        calls: Number of calls so far.
    """

    def __init__(self, app):
        self._inner = httpx.ASGITransport(app)
        self.calls = 0

    async def handle_async_request(self, request):
        self.calls += 1
        timeout_s = request.extensions["timeout"]["read"]
        try:
            with anyio.fail_after(timeout_s):
                await anyio.sleep(CALL_DELAY_S)
                return await self._inner.handle_async_request(request)
        except TimeoutError as exc:
            raise httpx.ReadTimeout("no answer") from exc
        except errors.LinkClosedError as exc:
            raise httpx.ReadError(str(exc)) from exc


def run_following_host(check):
    """Run a check with a host that follows all tables, in virtual time.

    Args:
        check: Async function of the FollowingHost.
    """

    async def _main():
        following = FollowingHost()
        async with anyio.create_task_group() as group:
            group.start_soon(following.run)
            await anyio.sleep(SETTLED_S)
            await check(following)
            group.cancel_scope.cancel()

    builders.run_virtual(_main)


class FollowedStore:
    """A store and the client of one host.

    Attributes:
        app: The store's API, whose attributes make it fail.
        client: The client.
        memory: The rows.
        transport: Counts the calls of the client.
    """

    def __init__(self):
        self.memory = store_standins.MemoryStore()
        self.app = standins.StoreApp(store=self.memory)
        self.transport = TimedTransport(self.app)
        self.client = store_client.TableStore(
            address="store:80", transport=self.transport
        )

    def write(self, table):
        """Change a row of a table and return its version."""
        at = stores.RowKey(table=table, key="row")
        return self.memory.apply(stores.Change(writes={at: b"{}"}))

    def remove(self, table, *, part):
        """Remove a row that does not exist; return its key and version."""
        at = stores.RowKey(table=table, part=part, key="probe")
        return at, self.memory.apply(stores.Change(writes={at: None}))


class FollowedTable:
    """A feed of one table, and when it has shown which version.

    Attributes:
        feed: The feed.
        shown_at_s: Times at which versions were shown, by version.
        store: The store.
        table: Name of the table.
    """

    def __init__(self, *, table="op", **fields):
        self.store = FollowedStore()
        self.table = table
        self.shown_at_s = {}
        self.feed = feeds.Feed(
            store=self.store.client,
            table=table,
            on_rows=self._record,
            **fields,
        )
        self.store.write(table)

    def _record(self, rows):
        for row in rows:
            self.shown_at_s.setdefault(row.version, anyio.current_time())

    async def measure_lag_s(self):
        """Change the table now; return after how long the feed shows it."""
        version = self.store.write(self.table)
        changed_at_s = anyio.current_time()
        while version not in self.shown_at_s:
            await anyio.sleep(0.005)
        return self.shown_at_s[version] - changed_at_s


class FollowingHost:
    """A host that follows all tables of a store, alone in its zone.

    Attributes:
        host: The host.
        store: The store.
    """

    def __init__(self):
        self.store = FollowedStore()
        self._worker = run_standins.MemoryWorker(
            registration=runners.Registration(
                worker_id=WORKER,
                service=job_worlds.SERVICE,
                address="10.0.0.1:80",
                zone=ZONE,
                cpu_millicores=16000,
                memory_mb=64000,
                rack="rack-a",
            ),
            work_s=lambda _task: 1.0,
        )
        self.host = job_hosts.JobHost(
            name=HOST,
            zone=ZONE,
            zones=[ZONE],
            store=self.store.client,
            dial=self._dial,
            limits=job_worlds.LIMITS,
        )
        self._configuration = configuration_followers.ConfigurationFollower(
            host=self.host, on_change=lambda _bytes: None
        )
        self._workers = worker_followers.WorkerFollower(host=self.host)

    def _dial(self, _registration):
        return run_standins.MemoryRunLink(worker=self._worker, host=HOST)

    async def run(self):
        """Run the host, its feeds and its worker until cancelled."""
        self.configure(1, queues=1)
        async with anyio.create_task_group() as group:
            for function in (
                self._worker.run,
                self._write_entry_forever,
                self.host.run,
                self._configuration.run,
                self._workers.run,
            ):
                group.start_soon(function)

    def configure(self, version, *, queues):
        """Write a version of the configuration with some queues."""
        found = [
            job_queues.Queue(
                name=f"q{number}",
                host_name="h",
                prefix=f"/{number}/",
                service=job_worlds.SERVICE,
            )
            for number in range(queues)
        ]
        standins.write_configuration(self.store.memory, version, *found)

    async def _write_entry_forever(self):
        while True:
            if not self.store.app.is_silent:
                standins.write_worker(
                    self.store.memory, self._worker.registration, WORKER
                )
            await anyio.sleep(WORKER_PERIOD_S)

    def feeds(self):
        """Return the feeds of the host, by table."""
        return {feed.table: feed for feed in self.store.client.contact.feeds}

    def all_tables(self):
        """Return the tables that a holder of a cell follows."""
        return {
            directory.OPERATOR_TABLE,
            directory.WORKER_TABLE,
            tables.CANCELS,
            tables.CLAIMS,
            tables.HOSTS,
            tables.specs_table(ZONE),
        }

    async def measure_lags_s(self, limit_s=15.0):
        """Change all tables now; return when each shows it, by table."""
        now_s = anyio.current_time()
        probes = {
            table: self.store.remove(
                table, part=ZONE if table == tables.specs_table(ZONE) else ""
            )
            for table in sorted(self.all_tables())
        }
        lags_s = {}
        while len(lags_s) < len(probes):
            await anyio.sleep(0.01)
            passed_s = anyio.current_time() - now_s
            for table, feed in self.feeds().items():
                at, version = probes[table]
                if table not in lags_s and feed._versions.get(at) == version:
                    lags_s[table] = passed_s
            if passed_s > limit_s:
                break
        return lags_s

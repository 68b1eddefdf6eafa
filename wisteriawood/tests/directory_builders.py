"""Builders of directories of workers that job hosts read from the store."""

import dataclasses

import anyio

from wisteriawood.links import stores
from wisteriawood.platform import directory
from wisteriawood.platform import standins as platform_standins
from wisteriawood.platform import worker_followers
from wisteriawood.tests import builders


def write_entry(world, worker_id, value):
    """Write the bytes of a directory entry, or remove it if they are None."""
    at = stores.RowKey(table=directory.WORKER_TABLE, key=worker_id)
    world.store.apply(stores.Change(writes={at: value}))


def run_followed_world(function, *, settle_s, **fields):
    """Run an async function on a new world whose hosts follow a directory.

    It is called with the world and its directory after `settle_s` seconds.
    """

    async def _main(world):
        async with anyio.create_task_group() as group:
            directory_of_world = StoreDirectory(world=world)
            group.start_soon(directory_of_world.run)
            await anyio.sleep(settle_s)
            await function(world, directory_of_world)
            group.cancel_scope.cancel()

    builders.run_job_world(_main, **fields)


class StoreDirectory:
    """The workers of a world as entries in its store, which its hosts follow.

    Each worker writes its entry once per heartbeat. The store removes the
    entries of silent ones.
    """

    heartbeat_s = 1.5
    expiry_s = 4.5

    def __init__(self, *, world):
        self._world = world
        self._silent = set()
        self.followers = {}
        self._group = None

    async def run(self):
        world = self._world
        world.outdated_hosts.update(world.hosts)
        async with anyio.create_task_group() as group:
            self._group = group
            for host in world.hosts.values():
                host.update_fleet({})
                self._follow(host)
            while True:
                for name in world.workers.keys() - self._silent:
                    self._write(name)
                await anyio.sleep(self.heartbeat_s)

    def _follow(self, host):
        follower = worker_followers.WorkerFollower(host=host)
        self.followers[host.name] = follower
        self._group.start_soon(follower.run)

    def restart_host(self, name, zone):
        """Kill a host and start it again at once."""
        self._world.kill_host(name)
        self.start_host(name, zone)

    def start_host(self, name, zone, **fields):
        """Start a host, a new one or one that was killed."""
        self._world.start_host(name, zone, **fields)
        self._follow(self._world.hosts[name])

    def _write(self, name):
        worker = self._world.workers[name]
        entry = dataclasses.replace(
            worker.registration,
            started_unix_ms=worker.started_unix_ms,
            clock_ms=worker.clock_ms(),
        )
        platform_standins.write_worker(self._world.store, entry, name)

    def stop_writing(self, name):
        """Let a worker write its entry no more."""
        self._silent.add(name)

    def drain(self, name):
        """Let a worker write that it drains."""
        worker = self._world.workers[name]
        worker.registration = dataclasses.replace(
            worker.registration, is_draining=True
        )
        self._write(name)

    def remove_entry(self, name):
        """Remove the entry of a worker, which writes no more."""
        self._silent.add(name)
        platform_standins.write_worker(self._world.store, None, name)

    def leave(self, name):
        """End a worker and return the time, in seconds."""
        self._world.workers[name].leave()
        self.remove_entry(name)
        return anyio.current_time()

    async def fall_silent(self, name):
        """Let a worker write no more, and return once its entry is gone."""
        self._silent.add(name)
        await anyio.sleep(self.expiry_s)
        self.remove_entry(name)

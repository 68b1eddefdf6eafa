"""Tests of values that another writer or an unexpected version left.

Reports of operators: one odd entry among those of the workers ended the
processes that read the list, again and again, or they stopped following it.
"""

import dataclasses
import json
import unittest
from unittest import mock

import anyio
import httpx
import hypothesis
from hypothesis import strategies

from wisteriawood.cells import claims
from wisteriawood.cells import placers
from wisteriawood.cells import tables
from wisteriawood import errors
from wisteriawood.jobs import jobs
from wisteriawood.jobs import queues
from wisteriawood.jobs import specs
from wisteriawood.links.codecs import cbor
from wisteriawood.links.codecs import jobs as job_codec
from wisteriawood.links import runners
from wisteriawood.links import stores
from wisteriawood.platform import bodies
from wisteriawood.platform import directory
from wisteriawood.platform import odd_entries
from wisteriawood.platform import worker_client
from wisteriawood.standins import job_worlds
from wisteriawood.standins import runners as run_standins
from wisteriawood import supervision
from wisteriawood.tests import builders
from wisteriawood.tests import directory_builders
from wisteriawood.tests import odd_builders

JOB = "0123456789abcdef"
CELL = "shop@a"
QUEUE = queues.Queue(name="q")
SPEC = specs.JobSpec(id=JOB, queue=QUEUE, steps=[specs.StepSpec(task_count=1)])
STEP = specs.StepSpec(task_count=2, cpu_millicores=1000, memory_mb=10)
# Time in which a job of a world ends although odd values are read.
JOB_BOUND_S = 10.0
MAX_ROW_BYTES = 65536


def _decode_all(data):
    """Decode bytes with each decoder of values from other processes."""
    at = stores.RowKey(table="t", key="k")
    row = stores.StoredRow(at=at, value=data, version=1)
    for decode in (
        lambda: directory.decode_worker("w", data),
        lambda: directory.decode_configuration(data),
        lambda: bodies.decode_job(JOB, QUEUE, data),
        lambda: worker_client._decode_report(data),
        lambda: job_codec.spec_from_bytes(data),
        lambda: job_codec.job_from_bytes(SPEC, "a", data),
        lambda: job_codec.summary_from_bytes(data),
        lambda: claims.read_claim(row),
        lambda: claims.read_heartbeat(row),
        lambda: cbor.decode(data),
    ):
        try:
            decode()
        except (errors.MessageError, errors.UsageError):
            continue


class DecoderTests(unittest.TestCase):
    def test_odd_entries_name_no_worker(self):
        """Guards against entries whose figures or address fail later."""
        for what, data in odd_entries.odd_entries().items():
            with self.subTest(what), self.assertRaises(errors.MessageError):
                directory.decode_worker("w", data)

    def test_odd_entries_fit_into_a_row(self):
        """Guards against tests of what the store would not accept."""
        for what, data in odd_entries.odd_entries().items():
            with self.subTest(what):
                self.assertLess(len(data), MAX_ROW_BYTES)

    def test_sound_entry_names_a_worker(self):
        """Guards against checks that refuse what workers write."""
        data = json.dumps(odd_entries.ENTRY | {"later": [1]}).encode()
        found = directory.decode_worker("w", data)
        self.assertEqual(found.address, "10.0.0.9:80")
        data = json.dumps(odd_entries.ENTRY | {"address": "[::1]:8"}).encode()
        self.assertEqual(directory.decode_worker("w", data).address, "[::1]:8")

    def test_odd_ids_name_no_worker(self):
        """Guards against ids that can't be sent in a header."""
        data = json.dumps(odd_entries.ENTRY).encode()
        for worker_id in odd_entries.odd_worker_ids():
            with self.subTest(worker_id):
                with self.assertRaises(errors.MessageError):
                    directory.decode_worker(worker_id, data)

    def test_odd_values_end_in_one_kind_of_error(self):
        """Guards against errors that no reader of a row catches."""
        for data in (
            *odd_entries.odd_entries().values(),
            *odd_builders.odd_reports().values(),
            *odd_builders.odd_rows(),
        ):
            _decode_all(data)

    def test_odd_reports_are_no_answer(self):
        """Guards against a session that ends with an odd report."""
        registration = directory.decode_worker(
            "w", json.dumps(odd_entries.ENTRY).encode()
        )

        async def _check(content):
            client = worker_client.WorkerClient(
                registration=registration,
                transport=httpx.MockTransport(
                    lambda _request: httpx.Response(200, content=content)
                ),
            )
            with self.assertRaises(errors.LinkError):
                await client.renew(
                    token=1, acknowledged=0, lease_until_ms=0, wait_ms=0
                )

        for what, content in odd_builders.odd_reports().items():
            with self.subTest(what):
                builders.run_virtual(_check, content)

    def test_negative_needs_are_no_job(self):
        """A negative need would add to the capacity of a worker."""
        for fields in ({"cpu": -1}, {"mem_mb": -1}, {"gpus": -5}):
            body = json.dumps({"steps": [{"count": 1} | fields]}).encode()
            with self.assertRaises(errors.UsageError):
                bodies.decode_job(JOB, QUEUE, body)

    def test_job_whose_row_would_be_too_large_is_refused(self):
        """The store rejects its row again and again; the cell would stall."""
        steps = [{"count": jobs.MAX_OPEN_TASKS}, {"count": 1}]
        with self.assertRaises(errors.UsageError):
            bodies.decode_job(
                JOB, QUEUE, json.dumps({"steps": steps}).encode()
            )
        spec = bodies.decode_job(
            JOB, QUEUE, json.dumps({"steps": steps[:1]}).encode()
        )
        spec.occurrence_count = 9
        job = jobs.Job(spec=spec, cell=CELL, bucket="a")
        job.open_due_occurrences(1e12)
        for task in job.all_tasks():
            task.assign(worker_id="i-7f3a91c2", run=12)
            task.checkpoint = "00000bb87a21d94b"
        self.assertLess(len(job_codec.job_to_bytes(job)), 65536)

    @hypothesis.settings(max_examples=400, deadline=None, derandomize=True)
    @hypothesis.given(data=strategies.binary(max_size=64))
    def test_any_bytes(self, data):
        """Guards against errors that no reader of a row catches."""
        _decode_all(data)

    @hypothesis.settings(max_examples=400, deadline=None, derandomize=True)
    @hypothesis.given(
        value=strategies.recursive(
            strategies.none()
            | strategies.booleans()
            | strategies.integers()
            | strategies.floats()
            | strategies.text(max_size=8),
            lambda inner: strategies.lists(inner, max_size=7)
            | strategies.dictionaries(
                strategies.sampled_from(
                    [
                        *odd_entries.ENTRY,
                        "active",
                        "finished",
                        "steps",
                        "cells",
                    ]
                ),
                inner,
                max_size=5,
            ),
            max_leaves=20,
        )
    )
    def test_any_values(self, value):
        """Guards against errors that no reader of a row catches."""
        _decode_all(json.dumps(value).encode())
        _decode_all(
            json.dumps(
                odd_entries.ENTRY | {"capacity": value, "labels": value}
            ).encode()
        )

    def test_rows_of_jobs_within_bounds(self):
        """Guards against a row whose tasks take all memory of a host."""
        for changes in (
            {"task_count": 10**9},
            {"task_count": 0},
            {"cpu_millicores": -1},
            {"after": [0]},
            {"memory_mb": 10**30},
        ):
            step = dataclasses.replace(STEP, **changes)
            spec = dataclasses.replace(SPEC, steps=[step])
            data = job_codec.spec_to_bytes(spec, CELL)
            with self.subTest(changes):
                with self.assertRaises(errors.MessageError):
                    job_codec.spec_from_bytes(data)
        for row in (
            {str(number): [[0]] for number in range(100)},
            {"0": []},
            {"0": [[0, 0]]},
            {"x": [[0]]},
        ):
            data = json.dumps([1, CELL, "running", 0, 1, 0, row]).encode()
            with self.subTest(row), self.assertRaises(errors.MessageError):
                job_codec.job_from_bytes(SPEC, "a", data)


class OddRowTests(unittest.TestCase):
    """Another writer changes rows of a running world."""

    def _run(self, check):
        directory_builders.run_followed_world(check, settle_s=3.0)

    def test_hosts_live_and_follow_beside_odd_entries(self):
        """Guards against hosts that end, or follow the list no more."""

        async def _check(world, _directory):
            entries = list(odd_entries.odd_entries().values())
            for number, value in enumerate(entries):
                directory_builders.write_entry(world, f"odd-{number}", value)
            for worker_id in odd_entries.odd_worker_ids():
                sound = json.dumps(odd_entries.ENTRY).encode()
                directory_builders.write_entry(world, worker_id, sound)
            await anyio.sleep(1)
            await world.submit(JOB, [STEP])
            await world.wait_for(
                JOB, jobs.JobState.COMPLETED, timeout_s=JOB_BOUND_S
            )
            # The list is still followed: a new worker becomes known.
            world.add_worker("w-a-9", "a")
            await anyio.sleep(5)
            for host in world.hosts.values():
                self.assertIn("w-a-9", host.directory.workers)
                self.assertFalse(
                    [w for w in host.directory.workers if "odd" in w]
                )
                counted = builders.counter_value(
                    host.counters.unreadable, kind="worker entry"
                )
                # Each version counts once, however often the list changes.
                self.assertEqual(counted, len(entries) + 6)
                self.assertEqual(
                    builders.counter_total(host.counters.part_failures), 0
                )

        self._run(_check)

    def test_entry_of_a_service_that_is_configured_later(self):
        """Guards against an entry that is judged once and for all."""

        async def _check(world, _directory):
            entry = odd_entries.ENTRY | {"service": "later"}
            value = json.dumps(entry).encode()
            directory_builders.write_entry(world, "w-later", value)
            await anyio.sleep(5)
            follower = _directory.followers["host-a-0"]
            host = world.hosts["host-a-0"]
            self.assertNotIn("w-later", host.directory.workers)
            later = queues.Queue(name="l", host_name="l", service="later")
            host.adopt_queues(
                queues.QueueTable(version=2, queues=[world.queue, later])
            )
            follower.update()
            self.assertIn("w-later", host.directory.workers)

        self._run(_check)

    def test_entries_that_become_odd_and_go_again(self):
        """Guards against an odd version that stays after its row is gone."""

        async def _check(world, _directory):
            for value in odd_entries.odd_entries().values():
                directory_builders.write_entry(world, "odd", value)
                await anyio.sleep(0.2)
            directory_builders.write_entry(world, "odd", None)
            await world.submit(JOB, [STEP])
            await world.wait_for(
                JOB, jobs.JobState.COMPLETED, timeout_s=JOB_BOUND_S
            )

        self._run(_check)

    def test_runs_of_a_worker_whose_entry_becomes_odd(self):
        """They are neither given up nor started a second time."""

        async def _check(world, directory_of):
            world.work_s[JOB] = 30.0
            await world.submit(JOB, [STEP])
            await anyio.sleep(2)
            before = world.starts()
            self.assertEqual(len(before), 2)
            name, *_others = (n for n, w in world.workers.items() if w.runs)
            directory_of.stop_writing(name)
            for value in list(odd_entries.odd_entries().values())[:9]:
                directory_builders.write_entry(world, name, value)
                await anyio.sleep(1)
            directory_builders.write_entry(world, name, None)
            await anyio.sleep(9)
            self.assertEqual(world.starts(), before)
            self.assertEqual(world.ends(), {})
            await world.wait_for(
                JOB, jobs.JobState.COMPLETED, timeout_s=JOB_BOUND_S + 20
            )

        self._run(_check)

    def test_odd_rows_in_the_tables_of_the_hosts(self):
        """Another version of the hosts, or a damaged row."""

        async def _check(world, _directory):
            for number, value in enumerate(odd_builders.odd_rows()):
                for at in (
                    stores.RowKey(
                        table=tables.CLAIMS, part="a", key=f"odd-{number}"
                    ),
                    tables.host_row(f"odd-{number}"),
                    tables.weights_row(f"shop@odd-{number}"),
                    tables.job_row("a", f"{number:016x}"),
                    tables.spec_row(CELL, "a", f"{number:016x}"),
                ):
                    world.store.apply(stores.Change(writes={at: value}))
                await anyio.sleep(0.3)
            world.kill_host(world.holder_of(CELL))
            await anyio.sleep(8)
            self.assertTrue(world.holder_of(CELL))
            await world.submit(JOB, [STEP])
            await world.wait_for(
                JOB, jobs.JobState.COMPLETED, timeout_s=JOB_BOUND_S
            )
            for host in world.hosts.values():
                self.assertEqual(
                    builders.counter_total(host.counters.part_failures), 0
                )

        self._run(_check)


class UnexpectedErrorTests(unittest.TestCase):
    """A bug in the work for one row, worker or cell ends only that."""

    def test_row_that_a_reader_does_not_expect(self):
        """The rows that came with it count."""

        async def _check(world):
            host = world.hosts["host-a-0"]
            members = host.members
            read = claims.read_heartbeat
            failed = []

            def _read(row):
                if row.at.key == "host-b-0":
                    failed.append(row)
                    raise RuntimeError("bug")
                return read(row)

            with mock.patch.object(claims, "read_heartbeat", _read):
                await anyio.sleep(8)
            self.assertTrue(failed)
            self.assertIn("host-b-1", members.by_name)
            self.assertNotIn("host-b-0", members.by_name)
            self.assertGreater(members.silence_s("host-b-0"), 2)
            self.assertLess(members.silence_s("host-b-1"), 2)

        builders.run_job_world(_check)

    def test_job_whose_row_could_not_be_processed_at_first(self):
        """Guards against an accepted job that is never passed on again."""

        async def _check(world):
            await anyio.sleep(4)
            decode = job_codec.spec_from_bytes
            failures = [RuntimeError("bug"), RuntimeError("bug")]

            def _decode(data):
                if failures:
                    raise failures.pop()
                return decode(data)

            with mock.patch.object(job_codec, "spec_from_bytes", _decode):
                await world.submit(JOB, [STEP])
                await world.wait_for(
                    JOB, jobs.JobState.COMPLETED, timeout_s=JOB_BOUND_S
                )
            self.assertFalse(failures)

        builders.run_job_world(_check)

    def test_worker_whose_session_fails(self):
        """The other workers go on; its runs move once its lease has lapsed."""

        async def _check(world):
            await anyio.sleep(4)
            host = world.hosts[world.holder_of(CELL)]
            fleet = host._holders[CELL].cell.fleet
            broken = fleet["w-a-0"].link
            renew = run_standins.MemoryRunLink.renew
            calls = []

            async def _renew(link, **fields):
                if link is not broken:
                    return await renew(link, **fields)
                calls.append(anyio.current_time())
                raise RuntimeError("bug")

            with mock.patch.object(
                run_standins.MemoryRunLink, "renew", _renew
            ):
                await world.submit(JOB, [STEP])
                await world.wait_for(
                    JOB,
                    jobs.JobState.COMPLETED,
                    timeout_s=JOB_BOUND_S + job_worlds.LEASE_S,
                )
                self.assertIn(CELL, host.open_cells())
                del calls[:]
                await anyio.sleep(20)
            # It is tried again, with increasing delays.
            self.assertTrue(2 <= len(calls) <= 12, len(calls))

        builders.run_job_world(_check, zones=["a"])

    def test_cell_whose_placement_fails(self):
        """Its claim is released, and another host reads its jobs."""

        async def _check(world):
            await anyio.sleep(4)
            first = world.holder_of(CELL)
            broken = world.hosts[first]._holders[CELL].cell._placer
            place = placers.Placer.place

            def _place(placer, *args):
                if placer is broken:
                    raise RuntimeError("bug")
                return place(placer, *args)

            with mock.patch.object(placers.Placer, "place", _place):
                await world.submit(JOB, [STEP])
                await world.wait_for(
                    JOB, jobs.JobState.COMPLETED, timeout_s=JOB_BOUND_S
                )
            self.assertEqual(
                builders.counter_total(
                    world.hosts[first].counters.part_failures
                ),
                1,
            )
            starts = world.starts()
            self.assertEqual(
                {name: len(runs) for name, runs in starts.items()},
                {f"{JOB}.0.0.0": 1, f"{JOB}.0.0.1": 1},
            )

        builders.run_job_world(_check, zones=["a"])

    def test_start_that_fails_unexpectedly(self):
        """Its run is stopped, and the task runs elsewhere or again."""

        async def _check(world):
            await anyio.sleep(4)
            start = run_standins.MemoryRunLink.start
            failed = set()

            async def _start(link, command):
                if link not in failed:
                    failed.add(link)
                    raise RuntimeError("bug")
                return await start(link, command)

            with mock.patch.object(
                run_standins.MemoryRunLink, "start", _start
            ):
                await world.submit(JOB, [STEP])
                await world.wait_for(
                    JOB, jobs.JobState.COMPLETED, timeout_s=JOB_BOUND_S
                )
            self.assertTrue(failed)

        builders.run_job_world(_check, zones=["a"])


class SplitTests(unittest.TestCase):
    def test_unexpected_error_beside_an_expected_one(self):
        """Guards against a bug that a lost cell hides."""
        lost, bug = tables.CellLostError("newer holder"), KeyError("bug")
        group = ExceptionGroup("o", [ExceptionGroup("i", [bug, lost])])
        found, rest = supervision.split(group, tables.CellLostError)
        self.assertIs(found, lost)
        self.assertIs(supervision.split(rest, KeyError)[0], bug)
        self.assertEqual(
            supervision.split(lost, tables.CellLostError), (lost, None)
        )
        self.assertEqual(
            supervision.split(bug, tables.CellLostError), (None, bug)
        )


class LinkErrorTests(unittest.TestCase):
    def test_unusable_address_is_no_answer(self):
        """Guards against errors of a call that are no LinkError."""
        registration = runners.Registration(
            worker_id="w", service="s", address="127.0.0.1:1", zone="a"
        )

        async def _check(error):
            def _answer(_request):
                raise error

            client = worker_client.WorkerClient(
                registration=registration,
                transport=httpx.MockTransport(_answer),
            )
            with self.assertRaises(errors.LinkError):
                await client.stop("t", 1, 1)

        for error in (
            httpx.InvalidURL("bad"),
            httpx.ConnectError("no"),
            httpx.LocalProtocolError("no"),
        ):
            builders.run_virtual(_check, error)


if __name__ == "__main__":
    unittest.main()

"""Tests of new holders that ask the hosts of former ones directly."""

import contextlib
import functools
import json
import unittest
from unittest import mock

import anyio

from wisteriawood.cells import claims
from wisteriawood.cells import former_holders
from wisteriawood.cells import hold_terms
from wisteriawood.cells import lease_rows
from wisteriawood.cells import tables
from wisteriawood import errors
from wisteriawood.links.codecs import rows
from wisteriawood.links import messages
from wisteriawood.links import sockets
from wisteriawood.machines import hold_answers
from wisteriawood.machines import hold_questions
from wisteriawood.machines import job_hosts
from wisteriawood.platform import settings
from wisteriawood.standins import job_worlds
from wisteriawood import supervision
from wisteriawood.telemetry import job_events
from wisteriawood.tests import builders
from wisteriawood.tests import handover_tests
from wisteriawood.tests import host_link_builders

CELL = handover_tests.CELL
# Longest time until another host holds the cell of a lost one.
TAKEOVER_S = 5.0
# Least time for which a task waits for the lease of a lost worker: its length
# less the age of the last sign of its holder.
LEAST_WAIT_S = job_worlds.LEASE_S - 1.0
LONGEST_WAIT_S = former_holders.RENEW_WITHOUT_STORE_S + job_worlds.LEASE_S


def _unbounded_leases():
    """Return a context in which holders do not bound their leases."""
    return mock.patch.object(
        hold_terms.HoldTerm, "left_s", lambda _term, length_s: length_s
    )


class CutHolderTests(handover_tests.HandOverCase):
    """The holder is cut off from the store, and its hosts are linked."""

    def run_world(self, check, **fields):
        super().run_world(check, **({"has_host_links": True} | fields))

    def _claim_holder(self, world):
        row = world.store.rows[tables.claim_row(CELL)]
        return claims.read_claim(row).row.holder

    async def _wait_for_takeover(self, world, former):
        with anyio.fail_after(TAKEOVER_S):
            while self._claim_holder(world) in ("", former):
                await anyio.sleep(0.01)
        return anyio.current_time()

    def test_worker_is_lost_and_its_holder_cut_off_from_the_store(self):
        """Regression: LOST, the new holder waited 18.3 s from its claim.

        Seen on site-troubles-twice of vkz-sched.
        """

        async def _check(world, directory, name):
            holder = world.holder_of(CELL)
            lost_at_s = self.lose_worker(world, directory, name)
            world.store.cut_hosts.add(holder)
            bound_s = handover_tests.AWAY_BOUND_S
            with builders.record_events(job_events.HOLD_ENDED) as told:
                await self.wait_for_restart(world, name, lost_at_s + bound_s)
            self.assertEqual(len(told), 1)

        self.run_world(_check)

    def test_former_holder_is_the_only_one_that_reaches_its_workers(self):
        """Guards against a holder that goes on although it was told (TWICE).

        Nobody fences it: its successor reaches none of its workers.
        """

        async def _check(world, directory, name):
            holder = world.holder_of(CELL)
            worker = world.workers[name]
            world.store.cut_hosts.add(holder)
            for other in world.workers.values():
                other.cut_from.update(world.hosts.keys() - {holder})
            directory.stop_writing(name)
            world.add_worker("other", "a")
            world.workers["other"].cut_from.add(holder)
            taken_at_s = await self._wait_for_takeover(world, holder)
            while worker.runs:
                self.assertEqual(handover_tests.restarts(world, name), [])
                await anyio.sleep(0.02)
            self.assertNotIn(CELL, world.hosts[holder].open_cells())
            until_s = taken_at_s + handover_tests.AWAY_BOUND_S
            await self.wait_for_restart(world, name, until_s)

        self.run_world(_check)

    def test_such_a_holder_is_seen_if_it_only_answers(self):
        """Proof of the test above: if it renews on, the task runs twice."""

        async def _check(world, directory, name):
            holder = world.holder_of(CELL)
            world.store.cut_hosts.add(holder)
            for other in world.workers.values():
                other.cut_from.update(world.hosts.keys() - {holder})
            world.add_worker("other", "a")
            world.workers["other"].cut_from.add(holder)
            directory.stop_writing(name)
            taken_at_s = await self._wait_for_takeover(world, holder)
            until_s = taken_at_s + handover_tests.AWAY_BOUND_S
            await self.wait_for_restart(world, name, until_s)

        def _only_answer(host, question):
            held = host._holders[question.cell].cell.claim
            host.hold_answers.record(held, lease_rows.LeasesLeft())
            return True

        with (
            mock.patch.object(
                job_hosts.JobHost, "_end_superseded_hold", _only_answer
            ),
            _unbounded_leases(),
        ):
            self.run_world(_check, is_single=False)

    def test_holder_is_cut_off_from_the_other_hosts_as_well(self):
        """Guards against silence that counts as a proof."""

        async def _check(world, directory, name):
            holder = world.holder_of(CELL)
            for other in world.workers.values():
                other.cut_from.update(world.hosts.keys() - {holder})
            world.add_worker("other", "a")
            world.workers["other"].cut_from.add(holder)
            directory.stop_writing(name)
            world.store.cut_hosts.add(holder)
            world.cut_host_links(holder)
            cut_at_s = anyio.current_time()
            await self._wait_for_takeover(world, holder)
            # The holder goes on, and its worker answers it.
            while world.workers[name].runs:
                self.assertEqual(handover_tests.restarts(world, name), [])
                await anyio.sleep(0.02)
            until_s = cut_at_s + handover_tests.AWAY_BOUND_S
            await self.wait_for_restart(world, name, until_s)

        self.run_world(_check)

    def test_such_a_holder_is_seen_if_its_leases_are_not_bounded(self):
        """Proof of the test above: if it renews on, the task runs twice."""

        async def _check(world, directory, name):
            holder = world.holder_of(CELL)
            for other in world.workers.values():
                other.cut_from.update(world.hosts.keys() - {holder})
            world.add_worker("other", "a")
            world.workers["other"].cut_from.add(holder)
            directory.stop_writing(name)
            world.store.cut_hosts.add(holder)
            world.cut_host_links(holder)
            until_s = anyio.current_time() + 2 * handover_tests.AWAY_BOUND_S
            await self.wait_for_restart(world, name, until_s)
            await anyio.sleep(0.5)

        with _unbounded_leases():
            self.run_world(_check, is_single=False)

    def test_host_of_the_holder_refuses_connections(self):
        """Guards against a refused connection that counts as a proof."""

        async def _check(world, directory, name):
            holder = world.holder_of(CELL)
            lost_at_s = self.lose_worker(world, directory, name)
            world.kill_host(holder)
            with builders.record_events(job_events.HOLD_UNANSWERED) as lines:
                with builders.record_events(job_events.HOLD_ENDED) as ended:
                    await self._wait_for_takeover(world, holder)
                    self.assertEqual(handover_tests.restarts(world, name), [])
                    await anyio.sleep(LONGEST_WAIT_S - 1)
            self.assertEqual(ended, [])
            self.assertEqual(len(lines), 1)
            (restarted_at_s,) = handover_tests.restarts(world, name)
            self.assertGreater(restarted_at_s, lost_at_s + LEAST_WAIT_S)

        self.run_world(_check)

    def test_link_comes_back_during_the_wait(self):
        """Guards against a holder that is asked only once."""

        async def _check(world, directory, name):
            holder = world.holder_of(CELL)
            lost_at_s = self.lose_worker(world, directory, name)
            world.store.cut_hosts.add(holder)
            world.cut_host_links(holder)
            await self._wait_for_takeover(world, holder)
            await anyio.sleep(0.6)
            self.assertEqual(handover_tests.restarts(world, name), [])
            with builders.record_events(job_events.HOLD_ENDED) as told:
                world.cut_links.clear()
                await self.wait_for_restart(
                    world, name, lost_at_s + handover_tests.AWAY_BOUND_S
                )
            self.assertEqual(len(told), 1)

        self.run_world(_check)

    def test_later_process_of_the_host_answers(self):
        """Guards against a wait for a process that has certainly ended.

        The new one can't write heartbeats either.
        """

        async def _check(world, directory, name):
            holder = world.holder_of(CELL)
            lost_at_s = self.lose_worker(world, directory, name)
            world.kill_host(holder)
            world.store.cut_hosts.add(holder)
            await anyio.sleep(1)
            directory.start_host(holder, "a")
            bound_s = handover_tests.AWAY_BOUND_S
            await self.wait_for_restart(world, name, lost_at_s + bound_s)

        self.run_world(_check)

    def test_new_holder_gets_sigterm_after_the_answer(self):
        """Guards against an answer that the next release does not carry."""

        async def _check(world, directory, name):
            holder = world.holder_of(CELL)
            lost_at_s = self.lose_worker(world, directory, name)
            world.store.cut_hosts.add(holder)
            await self._wait_for_takeover(world, holder)
            await anyio.sleep(0.5)
            await self.terminate(world, self._claim_holder(world))
            bound_s = handover_tests.AWAY_BOUND_S
            await self.wait_for_restart(world, name, lost_at_s + bound_s)

        self.run_world(_check)

    def test_nothing_is_asked_while_holders_stay(self):
        """Guards against links that cost something while nothing happens."""

        async def _check(world, _directory, _name):
            with mock.patch.object(job_worlds.JobWorld, "_dial_host") as dial:
                await anyio.sleep(20)
            dial.assert_not_called()

        self.run_world(_check)


class HoldAnswerTests(unittest.TestCase):
    """What a host answers about its holds."""

    def _ask(self, *, ended_version=0, holds_newer=False, **fields):
        """Return the answer, and the questions that may have ended a hold."""
        ended = []

        def _end_hold(question):
            ended.append(question)
            return not holds_newer

        async def _main():
            self.answers = answers = hold_answers.HoldAnswers(
                known_members=host_link_builders.make_members(
                    name="former", process_age_s=4.0
                ),
                end_hold=_end_hold,
            )
            if ended_version:
                answers.record(
                    host_link_builders.make_claim(
                        holder="former", version=ended_version
                    ),
                    lease_rows.LeasesLeft(by_worker_s={"w": 3.0, "v": 0.5}),
                )
            await anyio.sleep(1.25)
            return answers.answer(host_link_builders.make_question(**fields))

        return builders.run_virtual(_main), ended

    def test_ended_hold(self):
        """Guards against figures that don't count the time since the end."""
        answer, _ended = self._ask(ended_version=20)
        self.assertTrue(answer.has_ended)
        self.assertEqual(answer.ended_s, 1.2)
        self.assertEqual(answer.by_worker_s, {"w": 1.8, "v": 0.0})

    def test_claim_that_nobody_held_under(self):
        """Regression: LOST, a claim without an answer cost a wait of 18 s.

        The answer is a promise: a claim that is still in flight is not held
        under later, or its leases would count as never granted.
        """
        for version in (0, 19):
            answer, _ended = self._ask(ended_version=version)
            self.assertTrue(answer.has_ended)
            self.assertFalse(answer.has_granted)
            for other, is_superseded in ((20, True), (30, False)):
                claim = host_link_builders.make_claim(
                    holder="former", version=other
                )
                self.assertEqual(
                    self.answers.is_superseded(claim), is_superseded
                )

    def test_earlier_hold_of_the_same_process(self):
        """Guards against figures of another hold than the one asked about."""
        answer, _ended = self._ask(ended_version=25)
        self.assertFalse(answer.has_ended)

    def test_question_for_another_host(self):
        """Guards against an address that another host has now."""
        answer, ended = self._ask(ended_version=20, former_host="other")
        self.assertFalse(answer.has_ended)
        self.assertEqual(ended, [])

    def test_question_about_a_former_process(self):
        """Guards against a wait for a process that has certainly ended."""
        answer, _ended = self._ask(former_incarnation="old")
        self.assertTrue(answer.has_ended)
        self.assertEqual(answer.ended_s, 5.2)

    def test_it_holds_the_cell_under_a_newer_claim(self):
        """Guards against leases of that claim that count as lapsed."""
        for fields in ({}, {"former_incarnation": "old"}):
            answer, _ended = self._ask(
                ended_version=20, holds_newer=True, **fields
            )
            self.assertFalse(answer.has_ended)


class SupersededHoldTests(unittest.TestCase):
    """Questions to a host that holds its cell."""

    def _has_ended(self, *, epochs, versions):
        """Return the answer, given by how much the asker's claim is newer."""
        found = []

        async def _main(world):
            await anyio.sleep(3)
            (host,) = world.hosts.values()
            claim = host.members.claims[CELL]
            question = host_link_builders.make_question(
                epoch=claim.epoch + epochs,
                version=claim.version + versions,
                former_host=host.name,
                former_incarnation=host.members.incarnation,
                former_version=claim.version,
            )
            found.append(host.hold_answers.answer(question).has_ended)

        builders.run_job_world(_main, zones=["a"], hosts_per_zone=1)
        return found[0]

    def test_newer_claim(self):
        """Guards against a host that does not give its cell up."""
        self.assertTrue(self._has_ended(epochs=1, versions=1))

    def test_older_claims(self):
        """Guards against a late question that ends a newer hold."""
        self.assertFalse(self._has_ended(epochs=0, versions=1))
        self.assertFalse(self._has_ended(epochs=1, versions=0))
        self.assertFalse(self._has_ended(epochs=-1, versions=-1))


class ClaimInFlightTests(unittest.TestCase):
    """A question about a claim arrives before the answer to its commit."""

    def test_claim_that_is_answered_late_is_not_held(self):
        """Guards against leases under a claim that counts as never held."""
        claim_cell = claims.claim_cell
        asked = []

        async def _main(world):
            (host,) = world.hosts.values()

            async def _claim_late(*args, **fields):
                claim = await claim_cell(*args, **fields)
                if not asked:
                    question = host_link_builders.make_question(
                        cell=claim.cell,
                        epoch=claim.epoch + 1,
                        version=claim.version + 1,
                        former_host=host.name,
                        former_incarnation=host.members.incarnation,
                        former_version=claim.version,
                    )
                    asked.append(host.hold_answers.answer(question))
                return claim

            with (
                mock.patch.object(claims, "claim_cell", _claim_late),
                builders.record_events(job_events.CELL_OPENED) as opened,
            ):
                await anyio.sleep(3)
            self.assertTrue(asked[0].has_ended)
            self.assertEqual([line["epoch"] for line in opened], [2])

        builders.run_job_world(_main, zones=["a"], hosts_per_zone=1)


class HoldQuestionTests(unittest.TestCase):
    """What a new holder concludes from an answer."""

    def _ask(self, answer, seconds=2.0):
        """Ask for a time; return the waits for worker w and for others."""

        async def _main():
            began_at_s = anyio.current_time()
            hold = host_link_builders.make_hold(latest_s=began_at_s + seconds)
            questions = hold_questions.HoldQuestions(
                known_members=host_link_builders.make_members(name="new"),
                dial_host=host_link_builders.make_dial(answer),
                supervisor=supervision.Supervisor(),
            )
            claim = host_link_builders.make_claim(
                holder="new", version=30, epoch=2
            )
            await questions.ask(claim, hold, lambda: True)
            waits_s = [hold.lapsed_at_s_of(name) for name in ("w", "other")]
            return [wait_s - began_at_s for wait_s in waits_s]

        return builders.run_virtual(_main)

    def test_figures_count_from_the_answer(self):
        """Guards against times of two clocks that are compared."""
        answer = host_link_builders.make_answer(
            ended_s=2.0, by_worker_s={"w": 1.5}
        )
        waits_s = self._ask(answer)
        self.assertAlmostEqual(waits_s[0], 1.5, places=2)
        self.assertAlmostEqual(waits_s[1], 6.0 - 2.0, places=2)

    def test_hold_without_leases(self):
        """Guards against a wait for a holder that never granted a lease."""
        answer = host_link_builders.make_answer(has_granted=False)
        self.assertLess(max(self._ask(answer)), 0)

    def test_figures_never_lengthen_the_wait(self):
        """Guards against an odd figure that makes tasks wait for ever."""
        answer = host_link_builders.make_answer(
            by_worker_s={"w": 1e15, "other": 1e15}
        )
        self.assertAlmostEqual(max(self._ask(answer)), 8.0, places=2)

    def test_odd_answers_prove_nothing(self):
        """Guards against an answer to another question that counts."""
        make_answer = host_link_builders.make_answer
        for odd in (
            make_answer(host="other"),
            make_answer(cell="other"),
            make_answer(former_version=19),
            make_answer(has_ended=False),
            messages.Heartbeat(config_version=1),
            errors.MessageError("odd"),
            errors.LinkClosedError("reset"),
            ValueError("unexpected"),
        ):
            with self.subTest(odd=odd):
                self.assertAlmostEqual(min(self._ask(odd)), 8.0, places=2)


class SocketTests(unittest.TestCase):
    """Links between hosts over TCP."""

    def _run(self, check):
        """Run a check with the address of a host that holds nothing."""
        address = f"127.0.0.1:{host_link_builders.find_port()}"
        failures = []

        async def _main():
            answers = hold_answers.HoldAnswers(
                known_members=host_link_builders.make_members(name="former"),
                end_hold=lambda _question: True,
            )
            listening = anyio.Event()
            async with anyio.create_task_group() as group:
                group.start_soon(
                    functools.partial(
                        sockets.serve,
                        address=address,
                        handler=answers.serve,
                        on_listening=listening.set,
                        on_error=failures.append,
                    )
                )
                await listening.wait()
                with anyio.fail_after(5):
                    await check(address)
                group.cancel_scope.cancel()

        anyio.run(_main)
        self.assertEqual(failures, [])

    async def _ask(self, address):
        question = host_link_builders.make_question(former_incarnation="old")
        async with sockets.connect(address=address) as channel:
            await channel.send(question)
            return await channel.receive()

    def test_question_and_answer(self):
        async def _check(address):
            answers = [await self._ask(address) for _number in range(3)]
            self.assertTrue(all(answer.has_ended for answer in answers))

        self._run(_check)

    def test_links_beyond_the_limit_are_closed(self):
        """Idle links must not take the descriptors of the process."""

        async def _check(address):
            host, port = address.rsplit(":", 1)
            streams = [
                await anyio.connect_tcp(host, int(port))
                for _number in range(3)
            ]
            with self.assertRaises(
                (anyio.EndOfStream, anyio.BrokenResourceError)
            ):
                await streams[2].receive()
            for stream in streams:
                await stream.aclose()

        with mock.patch.object(sockets, "MAX_LINKS", 2):
            self._run(_check)

    def test_odd_bytes_close_the_link(self):
        """Guards against odd messages that end more than their link."""
        upgrade = (
            b"GET / HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\n"
            b"Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
            b"Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n"
        )
        masked = b"\x00" * 4
        too_long = b"\x82\xff" + (2**40).to_bytes(8, "big") + masked
        for odd in (
            [b"\x00\xff" * 100],
            [b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"],
            [b"A" * 100_000],
            [upgrade, b"\x82\x85" + masked + b"\xff" * 5],
            [upgrade, b"\x81\x81" + masked + b"x"],
            [upgrade, b"\x8f\x80" + masked],
            [upgrade, too_long + b"x" * 100_000],
        ):

            async def _check(address, odd=odd):
                host, port = address.split(":")
                async with await anyio.connect_tcp(host, int(port)) as stream:
                    with contextlib.suppress(
                        anyio.BrokenResourceError, anyio.EndOfStream
                    ):
                        for data in odd:
                            await stream.send(data)
                            await stream.receive()
                        while True:
                            await stream.receive()
                self.assertTrue((await self._ask(address)).has_ended)

            with self.subTest(odd=odd[-1][:50]):
                self._run(_check)

    def test_messages_of_another_type_close_the_link(self):
        """Guards against a host that answers what it was not asked."""

        async def _check(address):
            for odd in (
                messages.Heartbeat(config_version=1),
                host_link_builders.make_answer(),
            ):
                async with sockets.connect(address=address) as channel:
                    await channel.send(odd)
                    with self.assertRaises(errors.LinkClosedError):
                        await channel.receive()

        self._run(_check)

    def test_refused_connection(self):
        async def _check(_address):
            port = host_link_builders.find_port()
            with self.assertRaises(errors.LinkClosedError):
                await self._ask(f"127.0.0.1:{port}")

        self._run(_check)


class InternalAddressTests(unittest.TestCase):
    """The address for other hosts in the settings."""

    def _address(self, **fields):
        data = {
            "node_name": "h",
            "zone": "a",
            "zones": {"a": "region"},
            "listen_addrs": {"front": "f", "ready": "r"},
            "platform": {"address": "s"},
        }
        text = json.dumps(data | fields).encode()
        return rows.from_json(text, settings.Settings).internal_address()

    def test_address(self):
        ports = [7720, 7735]
        for address, fields in (
            ("", {}),
            ("", {"ip": "10.1.0.13"}),
            ("", {"internal_ports": ports}),
            ("10.1.0.13:7720", {"ip": "10.1.0.13", "internal_ports": ports}),
            ("[fd00::1]:7720", {"ip": "fd00::1", "internal_ports": ports}),
        ):
            self.assertEqual(self._address(**fields), address)

"""Tests of the operators' commands, run on an in-memory platform."""

import functools
import json
import os
import tempfile
import unittest
from unittest import mock

import anyio
from cleo.testers import command_tester

from wisteriawood import __main__
from wisteriawood.commands import tables
from wisteriawood.commands import watch
from wisteriawood.contracts import holdings
from wisteriawood.contracts import keys
from wisteriawood.contracts import tasks
from wisteriawood import errors
from wisteriawood.links.codecs import rows
from wisteriawood.links import drains
from wisteriawood.links import jobs
from wisteriawood.links import platforms
from wisteriawood.standins import platforms as platform_standins
from wisteriawood.telemetry import records
from wisteriawood.telemetry import spans
from wisteriawood.tests import builders

URL = "http://platform:1"


class CommandsTests(unittest.TestCase):

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.addCleanup(os.chdir, os.getcwd())
        os.chdir(folder.name)
        self.platform = platform_standins.MemoryPlatform()
        patch = mock.patch.object(platforms, "HttpPlatform", self.make_link)
        patch.start()
        self.addCleanup(patch.stop)

    def make_link(self, *, url):
        self.assertEqual(URL, url)
        link = mock.Mock(wraps=self.platform)
        link.aclose = mock.AsyncMock()
        return link

    def run_command(self, line, *, status=0, platform=True):
        """Run a command line, check its exit status and return its output."""
        app = __main__.make_application()
        words = line.split()
        name = " ".join(words[:2]) if app.has(" ".join(words[:2])) else ""
        name = name or words[0]
        rest = line.removeprefix(name)
        if platform:
            rest += f" --platform {URL}"
        tester = command_tester.CommandTester(app.find(name))
        found = tester.execute(rest.strip())
        printed = tester.io.fetch_output()
        failed = tester.io.fetch_error()
        self.assertEqual(status, found, printed + failed)
        for printed_line in printed.splitlines():
            if not printed_line.startswith((" ", "{", "[", "}", "]")):
                self.assertLessEqual(len(printed_line), 80)
        return printed + failed

    def run_json(self, line):
        return json.loads(self.run_command(f"{line} --output json"))

    def write(self, file, value):
        with open(file, "w", encoding="utf-8") as stream:
            json.dump(value, stream)

    def call(self, function, *args, **kwargs):
        return anyio.run(functools.partial(function, *args, **kwargs))

    def test_configuration_can_be_applied_shown_and_listed(self):
        self.write("c.json", {"version": 0} | builders.make_configuration())
        self.assertIn("+ $.teams", self.run_command("config diff c.json"))
        applied = self.run_command("config apply c.json --note first")
        self.assertIn("version 1", applied)
        shown = json.loads(self.run_command("config show"))
        self.assertEqual(1, shown["version"])
        self.assertEqual(
            shown, json.loads(self.run_command("config show --at 1"))
        )
        conflict = self.run_command("config apply c.json", status=3)
        self.assertIn("nothing was applied", conflict)
        self.assertIn("$.teams.kroupa", conflict)
        self.assertIn("first", self.run_command("config history"))
        self.assertEqual(1, self.run_json("config history")[0]["version"])

    def test_apply_without_a_version_names_the_option(self):
        self.write("c.json", builders.make_configuration())
        output = self.run_command("config apply c.json", status=2)
        self.assertIn("--base VERSION", output)

    def test_config_status_shows_outdated_and_partitioned_daemons(self):
        self.write("c.json", builders.make_configuration())
        self.run_command("config apply c.json --base 0")
        self.put_members()
        output = self.run_command("config status")
        self.assertRegex(output, r"entry/linz-a-1 .* 1 .*cut off")
        self.assertRegex(output, r"entry/linz-a-2 .* 1 ")
        self.assertRegex(output, r"scheduler/linz-a-1 .*none.*behind")
        self.assertEqual(1, self.run_json("config status")["newest"])

    def put_members(self):
        role = holdings.Role.ENTRY
        members = [
            builders.make_member(role=role, name="linz-a-1"),
            builders.make_member(
                role=role,
                name="linz-a-2",
                config_version=1,
                followers={"entry/linz-a-1": 1},
            ),
            builders.make_member(),
        ]
        writes = [
            platforms.Write(
                key=keys.member(member.role, member.name),
                value=rows.to_value(member),
            )
            for member in members
        ]
        self.call(self.platform.commit, platforms.Transaction(writes=writes))

    def submit(self, *names, **fields):
        specs = [builders.make_spec(id=name, **fields) for name in names]
        self.call(jobs.submit, self.platform, specs, zone="linz-a")

    def test_status_shows_zones_daemons_and_tasks(self):
        self.put_members()
        self.submit("job-1")
        output = self.run_command("status")
        for word in ("linz-a", "entry/linz-a-2", "1 tasks wait"):
            self.assertIn(word, output)
        self.assertEqual(1, self.run_json("status")["zones"][0]["waiting"])
        self.assertIn("pending", self.run_command("status job-1"))

    def test_cancel_requires_all_labels_to_match(self):
        self.submit("a", "b", labels={"kind": "night", "run": "1"})
        self.submit("c", labels={"kind": "day", "run": "1"})
        output = self.run_json("cancel --label kind=night --label run=1")
        self.assertEqual(["a", "b"], output)
        self.assertIn(keys.cancel("linz-a", "a"), self.platform.table)
        self.assertNotIn(keys.cancel("linz-a", "c"), self.platform.table)
        self.run_command("cancel --label kind=none", status=2)
        self.run_command("cancel --label kind", status=2)

    def test_explain_shows_why_a_task_waits(self):
        self.submit("job-1")
        self.assertIn("waits:", self.run_command("explain job-1"))
        self.run_command("explain nothing", status=4)
        self.run_command("explain job-1", status=2, platform=False)

    def test_explain_shows_each_hop_of_a_request(self):
        tracer = spans.Tracer(service="entry/a", path="a.spans")
        with tracer.span("entry", id="r-1") as parent:
            with tracer.span("target", traceparent=parent, target="t-1"):
                pass
        tracer.close()
        output = self.run_command("explain r-1 --records .", platform=False)
        self.assertRegex(output, r"target +entry/a .*t-1")

    def test_report_is_one_page_and_requires_records(self):
        tracer = spans.Tracer(service="entry/a", path="a.spans")
        with tracer.span("entry", id="r-1"):
            pass
        tracer.close()
        self.run_command("report --records .", platform=False)
        with open("report.html", encoding="utf-8") as stream:
            self.assertIn("data:image/png", stream.read())
        self.run_command("report", status=2, platform=False)
        with mock.patch.dict("sys.modules", {"matplotlib": None}):
            output = self.run_command(
                "report --records .", status=2, platform=False
            )
        self.assertIn("wisteriawood[report]", output)

    def test_lines_that_are_not_records_are_skipped(self):
        with open("x.events", "w", encoding="utf-8") as stream:
            stream.write('{"message_type": "W1503:x", "timest\n[]\n1\nfoo\n')
        self.assertEqual(([], []), records.read(["x.events"]))
        with self.assertRaises(errors.UsageError):
            records.read(["nothing"])

    def test_watch_exits_when_tasks_have_ended(self):
        self.submit("job-1")
        task = self.call(jobs.find, self.platform, "job-1")
        task.state = tasks.TaskState.FINISHED
        write = platforms.Write(
            key=keys.pending("linz-a", "job-1"), value=rows.to_value(task)
        )
        self.call(self.platform.commit, platforms.Transaction(writes=[write]))
        self.assertIn("1/1 1 finished", self.run_command("watch job-1"))
        self.run_command("watch", status=2)

    def test_drain_requires_an_existing_host(self):
        self.put_members()
        self.run_command("drain entry linz-a-1")
        self.assertIn("draining: entry", self.run_command("status"))
        self.run_command("drain entry linz-a-1 --undo")
        self.assertNotIn("draining: entry", self.run_command("status"))
        self.run_command("drain worker nobody", status=4)
        self.run_command("drain rack rack-1", status=2)

    def test_each_command_has_help(self):
        for command in __main__.make_application().all().values():
            self.assertTrue(command.description, command.name)
            for option in command.definition.options:
                self.assertTrue(option.description, option.name)


class TablesTests(unittest.TestCase):

    def test_wide_columns_are_truncated(self):
        lines = tables.lay_out(["a", "b"], [["x" * 100, "y" * 90]])
        self.assertTrue(all(len(line) <= 80 for line in lines))
        self.assertIn("~", lines[1])
        self.assertIn("0/0", watch.to_progress([]))


class DrainTests(unittest.TestCase):

    def test_drained_hosts_get_no_new_work_until_undone(self):
        async def _check(world):
            world.add_worker(builders.make_worker_host())
            entries = builders.add_entries(world, ["linz-a-1", "linz-a-10"])
            world.add_scheduler(builders.make_member())
            await anyio.sleep(10)
            await drains.request_drain(world.platform, "entry", "linz-a-10")
            await drains.request_drain(world.platform, "worker", "worker-1")
            await anyio.sleep(5)
            unready_reasons = {
                n: e.unready_reason() for n, e in entries.items()
            }
            self.assertIn("operator", unready_reasons["linz-a-10"])
            self.assertNotIn("operator", unready_reasons["linz-a-1"])
            spec = builders.make_spec()
            await jobs.submit(world.platform, [spec], zone="linz-a")
            await anyio.sleep(20)
            task = await jobs.find(world.platform, spec.id)
            self.assertEqual(tasks.TaskState.PENDING, task.state)
            await drains.withdraw_drain(world.platform, "worker", "worker-1")
            await anyio.sleep(30)
            task = await jobs.find(world.platform, spec.id)
            self.assertEqual(tasks.TaskState.FINISHED, task.state)

        builders.run_world(_check)

"""Tests of the questionnaire and of its command."""

import importlib.resources
import json
import os
import tempfile
import unittest

from cleo.testers import command_tester

from wisteriawood import __main__
from wisteriawood.config import configuration
from wisteriawood.config import questionnaire
from wisteriawood import errors

TEAMS = ("kroupa", "vitrinenklima")
TYPED_ANSWERS = [
    "kroupa",
    "shop=0",
    "shop=400,orders=2000",
    "orders",
    "shop",
    "patterns",
    "patterns",
    "",
    "",
    "tail_latency,batch_throughput,evictions",
    "0",
    "1",
]


def example(team):
    """Return the path of the example answers of a team."""
    package = importlib.resources.files("wisteriawood.config")
    return str(package / "examples" / f"{team}.json")


class AnswersTests(unittest.TestCase):

    def test_examples_result_in_a_configuration_with_explanations(self):
        for team in TEAMS:
            answers = questionnaire.read_file(file=example(team))
            generated = questionnaire.build(answers)
            document = questionnaire.merge({"teams": {}}, generated)
            parsed = configuration.parse(document, version=1)
            self.assertIsNotNone(parsed.team(team))
            self.assertGreater(len(generated.explanations), 8)

    def test_weights_follow_the_order_of_the_answer(self):
        weights = {
            team: questionnaire.build(
                questionnaire.read_file(file=example(team))
            ).document["weights"]
            for team in TEAMS
        }
        self.assertEqual(10, weights["kroupa"]["tail_latency"])
        self.assertEqual(10, weights["vitrinenklima"]["batch_throughput"])
        self.assertEqual(6, weights["vitrinenklima"]["evictions"])

    def test_each_invalid_answer_is_refused(self):
        good = questionnaire.read_file(file=example("kroupa"))
        bad = {
            "team": "two words",
            "too_late_ms": {"shop": 60_001},
            "never_twice": ["orders", "orders"],
            "goes_first": "shop",
            "batch_jobs": [""],
            "may_be_resumed": [1],
            "must_not_slow": None,
            "first_jobs": ["a" * 101],
            "matters_most": ["evictions"],
            "cores": -1,
            "share": 0,
        }
        self.assertEqual(bad.keys(), good.keys())
        for name, value in bad.items():
            with self.subTest(name=name):
                with self.assertRaises(errors.SettingsError) as caught:
                    questionnaire.check(good | {name: value}, file="x")
                self.assertIn(f"$.{name}", str(caught.exception))

    def test_unknown_names_are_refused(self):
        good = questionnaire.read_file(file=example("kroupa"))
        for name in ("never_twice", "goes_first", "first_jobs"):
            with self.assertRaises(errors.SettingsError):
                questionnaire.build(good | {name: ["nothing"]})


class CommandTests(unittest.TestCase):

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.addCleanup(os.chdir, os.getcwd())
        os.chdir(folder.name)
        command = __main__.make_application().find("questionnaire")
        self.tester = command_tester.CommandTester(command)

    def read(self, file):
        with open(file, encoding="utf-8") as stream:
            return json.load(stream)

    def test_answers_are_asked_checked_stored_and_changed(self):
        status = self.tester.execute(inputs="\n".join(TYPED_ANSWERS))
        self.assertEqual(0, status)
        self.assertIn("at least 1", self.tester.io.fetch_error())
        document = self.read("configuration.json")
        orders = document["teams"]["kroupa"]["services"]["orders"]
        self.assertEqual("run-once", orders["request_class"])
        self.tester.execute(
            "--change too_late_ms", inputs="shop=300,orders=2000\n"
        )
        self.assertEqual(300, self.read("answers.json")["too_late_ms"]["shop"])
        services = self.read("configuration.json")["teams"]["kroupa"]
        self.assertEqual(300, services["services"]["shop"]["deadline_ms"])

    def test_teams_are_merged_into_one_file(self):
        for team in TEAMS:
            self.assertEqual(
                0, self.tester.execute(f"--answers {example(team)}")
            )
        document = self.read("configuration.json")
        self.assertEqual(sorted(TEAMS), sorted(document["teams"]))
        self.assertEqual(0, document["version"])

    def test_nothing_is_asked_without_a_terminal(self):
        status = self.tester.execute(interactive=False)
        self.assertEqual(errors.UsageError.exit_code, status)
        self.assertIn("--answers", self.tester.io.fetch_error())

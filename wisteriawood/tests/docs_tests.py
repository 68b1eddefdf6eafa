"""Tests of the commands and files shown in the documentation."""

import json
import os
import pathlib
import re
import shlex
import tempfile
import unittest

from cleo.io.inputs import string_input
from cleo.testers import command_tester

from wisteriawood import __main__
from wisteriawood.config import questionnaire
from wisteriawood.config import settings
from wisteriawood.config import tasks

ROOT = pathlib.Path(__file__).parents[2]
PAGES = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]
COMMAND = re.compile(r"^    wisteriawood (.+)$", re.MULTILINE)
JSON_BLOCK = re.compile(r"^```json\n(.*?)^```", re.MULTILINE | re.DOTALL)


def command_lines():
    """Return (page, command line) of each command shown."""
    return [
        (str(page.relative_to(ROOT)), line)
        for page in PAGES
        for line in COMMAND.findall(page.read_text(encoding="utf-8"))
    ]


def find_command(app, line):
    """Return the command of a line and its remaining words."""
    words = shlex.split(line.removesuffix(" &"))
    for count in (2, 1):
        name = " ".join(words[:count])
        if app.has(name):
            return app.find(name), words[count:]
    raise AssertionError(f"no command: wisteriawood {line}")


class DocsTests(unittest.TestCase):

    def test_shown_commands_and_options_exist(self):
        lines = command_lines()
        self.assertGreater(len(lines), 20)
        for page, line in lines:
            with self.subTest(page=page, line=line):
                command, words = find_command(
                    __main__.make_application(), line
                )
                command.merge_application_definition(False)
                given = string_input.StringInput(shlex.join(words))
                given.bind(command.definition)
                given.validate()

    def test_every_command_is_shown(self):
        app = __main__.make_application()
        shown = {
            find_command(app, line)[0].name for _page, line in command_lines()
        }
        names = {command.name for command in app.all().values()}
        to_show = names - {
            "completions",
            "demo",
            "help",
            "list",
            "standin target",
        }
        self.assertEqual(set(), to_show - shown)

    def test_shown_questionnaire_commands_succeed(self):
        ran = 0
        with tempfile.TemporaryDirectory() as folder:
            self.addCleanup(os.chdir, os.getcwd())
            os.chdir(folder)
            for _page, line in command_lines():
                if "--answers" not in line:
                    continue
                command, words = find_command(
                    __main__.make_application(), line
                )
                file = ROOT / words[words.index("--answers") + 1]
                tester = command_tester.CommandTester(command)
                self.assertEqual(0, tester.execute(f"--answers {file}"))
                ran += 1
        self.assertGreater(ran, 1)

    def test_shown_files_are_valid(self):
        checked = 0
        for page in PAGES:
            for text in JSON_BLOCK.findall(page.read_text(encoding="utf-8")):
                self.check_file(json.loads(text))
                checked += 1
        self.assertGreater(checked, 3)

    def check_file(self, value):
        if isinstance(value, list):
            tasks.parse(file="docs", value=value)
        elif "platform_url" in value:
            settings.check(file="docs", value=value, schema=settings.SCHEMA)
        elif "too_late_ms" in value:
            questionnaire.check(value, file="docs")

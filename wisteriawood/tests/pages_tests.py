"""Checks that the documentation pages match the code."""

import pathlib
import re
import unittest

from wisteriawood.bench import capacity
from wisteriawood.telemetry import catalogue

ROOT = pathlib.Path(__file__).parents[2]
DOCS = ROOT / "docs"
PACKAGE = ROOT / "wisteriawood"


class PagesTests(unittest.TestCase):

    def test_event_catalogue_matches_the_code(self):
        page = (DOCS / "events.md").read_text(encoding="utf-8")
        self.assertEqual(
            catalogue.render(), page, "regenerate the page: make events"
        )

    def test_capacity_page_matches_the_code(self):
        page = (DOCS / "CAPACITY.md").read_text(encoding="utf-8")
        self.assertEqual(
            capacity.render(), page, "regenerate the page: make capacity"
        )

    def test_links_between_pages_have_a_target(self):
        pages = [ROOT / "README.md", *DOCS.rglob("*.md")]
        for page in pages:
            text = page.read_text(encoding="utf-8")
            for link in re.findall(r"\]\(([^)#]+)[^)]*\)", text):
                if "://" not in link:
                    with self.subTest(page=page.name, link=link):
                        self.assertTrue((page.parent / link).exists())

    def test_every_event_is_logged_somewhere(self):
        code = "".join(
            path.read_text(encoding="utf-8")
            for path in PACKAGE.rglob("*.py")
            if path.name != "events.py"
        )
        names = re.findall(
            r"^([A-Z_]+) = define\(",
            (PACKAGE / "telemetry" / "events.py").read_text(encoding="utf-8"),
            re.MULTILINE,
        )
        for name in names:
            with self.subTest(event=name):
                self.assertGreater(code.count(f"events.{name}"), 0)

"""Command that asks plain questions and writes the configuration."""

import functools
import pathlib
import typing

import anyio
from cleo import helpers

from wisteriawood.commands import base
from wisteriawood.config import configuration
from wisteriawood.config import questionnaire
from wisteriawood.config.questions import base as question_base
from wisteriawood.config import settings
from wisteriawood import errors
from wisteriawood.links import configurations
from wisteriawood.links import platforms


@base.COMMANDS.register("questionnaire")
class QuestionnaireCommand(base.BaseCommand):
    """Asks plain questions and generates the configuration."""

    name = "questionnaire"
    description = "Asks plain questions and generates the configuration."
    options = [
        helpers.option(
            "answers",
            None,
            "File with all answers; nothing is asked.",
            flag=False,
        ),
        helpers.option(
            "file",
            "f",
            "File that keeps the answers.",
            flag=False,
            default="answers.json",
        ),
        helpers.option(
            "change", "c", "Ask only this question again.", flag=False
        ),
        helpers.option(
            "config",
            None,
            "File to which the configuration is written.",
            flag=False,
            default="configuration.json",
        ),
        helpers.option(
            "platform",
            "p",
            "Platform whose configuration in force is built upon, as "
            "http://HOST:PORT.",
            flag=False,
        ),
    ]

    def execute_command(self) -> int | None:
        """Ask, or read the answers, and write the configuration."""
        answers = self._answers()
        outcome = questionnaire.build(answers)
        before = self._read_before()
        document = questionnaire.merge(before, outcome)
        configuration.check(document, file="configuration")
        file = self.option("config")
        settings.write_text(
            file=file, text=configuration.to_text(document) + "\n"
        )
        self.line(f"What your answers lead to for {outcome.team}:")
        for explanation in outcome.explanations:
            self.line(f"- {explanation}")
        self.line(f"Written to {file}. To put it in force:")
        url = self.option("platform") or "URL"
        self.line(f"    wisteriawood config apply {file} --platform {url}")
        return 0

    def _answers(self) -> question_base.Answers:
        file = self.option("answers")
        if file:
            return questionnaire.read_file(file=file)
        if not self.io.is_interactive():
            raise errors.UsageError(
                "this is no terminal to ask on; give --answers FILE"
            )
        kept = self.option("file")
        answers = self._ask_all(kept)
        questionnaire.check(answers, file=kept)
        questionnaire.build(answers)
        questionnaire.write_file(answers, file=kept)
        self.line(f"Your answers are kept in {kept}.")
        return answers

    def _ask_all(self, kept: str) -> question_base.Answers:
        before = {}
        if pathlib.Path(kept).exists():
            before = questionnaire.read_file(file=kept)
        asked = questionnaire.questions()
        only = self.option("change")
        if only:
            question_base.QUESTIONS.get(only)
            if not before:
                raise errors.UsageError(
                    f"{kept} has no answers yet; leave --change out"
                )
            asked = [question for question in asked if question.name == only]
        answers = dict(before)
        for question in asked:
            answers[question.name] = self._ask(question, before)
        return answers

    def _ask(
        self, question: question_base.Question, before: question_base.Answers
    ) -> typing.Any:
        self.line(f"\n{question.text}")
        self.line(question.hint)
        has_default = question.name in before
        if has_default:
            self.line(f"(Enter keeps: {before[question.name]!r})")
        while True:
            text = self.ask(">", "")
            if has_default and not text:
                return before[question.name]
            try:
                return questionnaire.parse_answer(question, text or "")
            except errors.SettingsError as exc:
                self.line_error(f"error: {exc}", "error")

    def _read_before(self) -> configuration.Document:
        url = self.option("platform")
        if url:
            return anyio.run(functools.partial(_read_in_force, url))
        file = self.option("config")
        if pathlib.Path(file).exists():
            return configuration.read_file(file=file)
        return {"version": 0, "teams": {}}


async def _read_in_force(url: str) -> configuration.Document:
    platform = platforms.HttpPlatform(url=url)
    try:
        snapshot = await configurations.read_newest(platform)
    finally:
        await platform.aclose()
    return {"version": snapshot.version} | snapshot.document

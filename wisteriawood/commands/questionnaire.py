"""Command that generates a configuration from answers to questions."""

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
    """Asks questions and generates a configuration from the answers."""

    name = "questionnaire"
    description = "Asks questions and generates a configuration."
    options = [
        helpers.option(
            "answers",
            None,
            "File with all answers; no questions are asked.",
            flag=False,
        ),
        helpers.option(
            "file",
            "f",
            "File in which the answers are stored.",
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
            "Address of the platform whose configuration is extended, as "
            "http://HOST:PORT.",
            flag=False,
        ),
    ]

    def execute_command(self) -> int | None:
        """Ask the questions or read the answers; write the configuration."""
        answers = self._answers()
        generated = questionnaire.build(answers)
        current = self._read_current()
        document = questionnaire.merge(current, generated)
        configuration.check(document, file="configuration")
        file = self.option("config")
        settings.write_text(
            file=file, text=configuration.to_text(document) + "\n"
        )
        self.line(f"What your answers lead to for {generated.team}:")
        for explanation in generated.explanations:
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
                "can't ask questions without a terminal; give --answers FILE"
            )
        answers_file = self.option("file")
        answers = self._ask_all(answers_file)
        questionnaire.check(answers, file=answers_file)
        questionnaire.build(answers)
        questionnaire.write_file(answers, file=answers_file)
        self.line(f"Your answers are kept in {answers_file}.")
        return answers

    def _ask_all(self, answers_file: str) -> question_base.Answers:
        previous_answers = {}
        if pathlib.Path(answers_file).exists():
            previous_answers = questionnaire.read_file(file=answers_file)
        questions = questionnaire.questions()
        only = self.option("change")
        if only:
            question_base.QUESTIONS.get(only)
            if not previous_answers:
                raise errors.UsageError(
                    f"{answers_file} has no answers yet; omit --change"
                )
            questions = [
                question for question in questions if question.name == only
            ]
        answers = dict(previous_answers)
        for question in questions:
            answers[question.name] = self._ask(question, previous_answers)
        return answers

    def _ask(
        self,
        question: question_base.Question,
        previous_answers: question_base.Answers,
    ) -> typing.Any:
        self.line(f"\n{question.text}")
        self.line(question.hint)
        has_default = question.name in previous_answers
        if has_default:
            self.line(f"(Enter keeps: {previous_answers[question.name]!r})")
        while True:
            text = self.ask(">", "")
            if has_default and not text:
                return previous_answers[question.name]
            try:
                return questionnaire.parse_answer(question, text or "")
            except errors.SettingsError as exc:
                self.line_error(f"error: {exc}", "error")

    def _read_current(self) -> configuration.Document:
        url = self.option("platform")
        if url:
            return anyio.run(functools.partial(_read_newest, url))
        file = self.option("config")
        if pathlib.Path(file).exists():
            return configuration.read_file(file=file)
        return {"version": 0, "teams": {}}


async def _read_newest(url: str) -> configuration.Document:
    platform = platforms.HttpPlatform(url=url)
    try:
        snapshot = await configurations.read_newest(platform)
    finally:
        await platform.aclose()
    return {"version": snapshot.version} | snapshot.document

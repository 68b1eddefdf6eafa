"""The questionnaire: turns answers into the configuration of a team."""

import dataclasses
import json
import typing

from wisteriawood.config import configuration
from wisteriawood.config import configuration_patches as patches
from wisteriawood.config import questions as question_modules
from wisteriawood.config.questions import base
from wisteriawood.config import settings
from wisteriawood.policies import registry

_SCHEMA_BASE = {"type": "object", "additionalProperties": False}


@dataclasses.dataclass(slots=True, kw_only=True)
class GeneratedConfiguration:
    """Configuration of a team, generated from its answers.

    Attributes:
        team: Name of the team.
        document: The team's part of the configuration.
        explanations: Sentences that explain the effect of each answer.
    """

    team: str
    document: configuration.Document
    explanations: list[str]


def questions() -> list[base.Question]:
    """Return all questions in the order in which they are asked."""
    registry.load_modules(question_modules)
    found = [base.QUESTIONS.get(name) for name in base.QUESTIONS.names()]
    return sorted(found, key=lambda question: question.order)


def schema() -> configuration.Document:
    """Return the JSON schema of an answers file."""
    asked = questions()
    return _SCHEMA_BASE | {
        "required": [question.name for question in asked],
        "properties": {question.name: question.schema for question in asked},
    }


def check(answers: typing.Any, *, file: str) -> None:
    """Check answers against the questions.

    Args:
        answers: The answers by name of the question.
        file: Source of the answers, for the error message.

    Raises:
        SettingsError: An answer does not match; the message names the path
            of the first error and the remedy.
    """
    settings.check(file=file, value=answers, schema=schema())


def read_file(*, file: str) -> base.Answers:
    """Read answers from a file and check them.

    Args:
        file: Name of the file.

    Raises:
        SettingsError: The file can't be read, is not JSON or does not match
            the questions.
    """
    answers = settings.read_json(file=file)
    check(answers, file=file)
    return answers


def write_file(answers: base.Answers, *, file: str) -> None:
    """Write answers to a file.

    Args:
        answers: The answers.
        file: Name of the file.

    Raises:
        SettingsError: The file can't be written.
    """
    text = json.dumps(answers, indent=2) + "\n"
    settings.write_text(file=file, text=text)


def parse_answer(question: base.Question, text: str) -> typing.Any:
    """Parse and check the text of an answer.

    Args:
        question: The question.
        text: Text that the operator typed.

    Raises:
        SettingsError: The answer is not valid; the message says why.
    """
    value = question.read(text)
    settings.check(file=question.name, value=value, schema=question.schema)
    return value


def build(answers: base.Answers) -> GeneratedConfiguration:
    """Generate the configuration of a team from checked answers.

    Args:
        answers: The answers by name of the question.

    Raises:
        SettingsError: Two answers contradict each other.
    """
    document: configuration.Document = {}
    explanations = []
    for question in questions():
        effect = question.effect(answers)
        document = patches.apply(document, effect.patch)
        explanations.extend(effect.explanations)
    team = answers["team"]
    configuration.check({"teams": {team: document}}, file="answers")
    return GeneratedConfiguration(
        team=team, document=document, explanations=explanations
    )


def merge(
    document: configuration.Document, generated: GeneratedConfiguration
) -> configuration.Document:
    """Return a configuration with the team's part replaced.

    Args:
        document: The configuration to change; not modified.
        generated: The team's new part.
    """
    teams = dict(document.get("teams", {}))
    teams[generated.team] = generated.document
    return document | {"teams": teams}

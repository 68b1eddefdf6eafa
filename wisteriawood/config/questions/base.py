"""Base types of questions, and the registry of questions."""

import dataclasses
import json
import typing

from wisteriawood import errors
from wisteriawood.policies import registry

Answers = dict[str, typing.Any]

NAME_SCHEMA = {
    "type": "string",
    "pattern": r"^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$",
}
NAMES_SCHEMA = {
    "type": "array",
    "items": NAME_SCHEMA,
    "uniqueItems": True,
    "maxItems": 100,
}
MAX_PRIORITY = 100
COUNT_SCHEMA = {"type": "integer", "minimum": 0, "maximum": 1_000_000}


@dataclasses.dataclass(slots=True, kw_only=True)
class Effect:
    """Effect of one answer on the configuration.

    Attributes:
        patch: Merge patch of the team's part of the configuration.
        explanations: Sentences that explain the patch to the operator.
    """

    patch: dict[str, typing.Any] = dataclasses.field(default_factory=dict)
    explanations: list[str] = dataclasses.field(default_factory=list)


def read_text(text: str) -> typing.Any:
    """Parse the answer to a question that expects a text."""
    return text.strip()


def read_names(text: str) -> typing.Any:
    """Parse comma-separated names; there may be none."""
    return [name.strip() for name in text.split(",") if name.strip()]


def read_number(text: str) -> typing.Any:
    """Parse a number; return other text unchanged for the schema check."""
    try:
        return json.loads(text)
    except json.JSONDecodeError:
        return text


def read_numbers(text: str) -> typing.Any:
    """Parse comma-separated NAME=NUMBER pairs."""
    pairs = [pair.partition("=") for pair in read_names(text)]
    return {name.strip(): read_number(value) for name, _equals, value in pairs}


def check_known(answers: Answers, name: str, *, among: str) -> None:
    """Check that all names in an answer are also in another answer.

    Args:
        answers: All answers.
        name: Name of the question whose answer is checked.
        among: Name of the question whose answer has all the names.

    Raises:
        SettingsError: The answer has a name that the other does not have.
    """
    unknown = sorted(set(answers[name]) - set(answers[among]))
    if unknown:
        raise errors.SettingsError(
            file="answers",
            path=f"$.{name}",
            found=unknown[0],
            remedy=f"add it to {among} too, or remove it here",
        )


@dataclasses.dataclass(slots=True, kw_only=True)
class Question:
    """A question of the questionnaire.

    Attributes:
        name: Key of its answer in the answers file.
        order: Sort key; lower is asked first.
        text: The question.
        hint: How to answer, with an example.
        schema: JSON schema of the answer.
        read: Parses the text that the operator typed.
        effect: Returns the effect of the answers.
    """

    name: str
    order: int
    text: str
    hint: str
    schema: dict[str, typing.Any]
    read: typing.Callable[[str], typing.Any]
    effect: typing.Callable[[Answers], Effect]


QUESTIONS: registry.Registry[Question] = registry.Registry(kind="question")


def question(
    name: str,
    *,
    order: int,
    text: str,
    hint: str,
    schema: dict[str, typing.Any],
    read: typing.Callable[[str], typing.Any] = read_text,
) -> typing.Callable:
    """Return a decorator that registers a function as a question's effect.

    Args:
        name: Key of its answer in the answers file.
        order: Sort key; lower is asked first.
        text: The question.
        hint: How to answer, with an example.
        schema: JSON schema of the answer.
        read: Parses the text that the operator typed.
    """

    def _register(effect: typing.Callable[[Answers], Effect]):
        QUESTIONS.register(name)(
            Question(
                name=name,
                order=order,
                text=text,
                hint=hint,
                schema=schema,
                read=read,
                effect=effect,
            )
        )
        return effect

    return _register

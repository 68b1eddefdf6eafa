"""What a question is, and the registry of questions."""

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
TOP_PRIORITY = 100
COUNT_SCHEMA = {"type": "integer", "minimum": 0, "maximum": 1_000_000}


@dataclasses.dataclass(slots=True, kw_only=True)
class Effect:
    """What one answer leads to.

    Attributes:
        patch: Merge patch of the team's part of the configuration.
        explanations: The same in words, for the operator.
    """

    patch: dict[str, typing.Any] = dataclasses.field(default_factory=dict)
    explanations: list[str] = dataclasses.field(default_factory=list)


def read_text(text: str) -> typing.Any:
    """Return the answer to a question that takes a text."""
    return text.strip()


def read_names(text: str) -> typing.Any:
    """Return the answer to a question that takes names; may be empty."""
    return [name.strip() for name in text.split(",") if name.strip()]


def read_number(text: str) -> typing.Any:
    """Return the answer to a question that takes a number."""
    try:
        return json.loads(text)
    except json.JSONDecodeError:
        return text


def read_numbers(text: str) -> typing.Any:
    """Return the answer to a question that takes NAME=NUMBER pairs."""
    pairs = [pair.partition("=") for pair in read_names(text)]
    return {name.strip(): read_number(value) for name, _is, value in pairs}


def check_known(answers: Answers, name: str, *, among: str) -> None:
    """Check that an answer names only what another answer names.

    Args:
        answers: All answers.
        name: Name of the question whose answer is checked.
        among: Name of the question that names everything.

    Raises:
        SettingsError: The answer names something else.
    """
    unknown = sorted(set(answers[name]) - set(answers[among]))
    if unknown:
        raise errors.SettingsError(
            file="answers",
            path=f"$.{name}",
            found=unknown[0],
            remedy=f"name it under {among} too, or leave it out here",
        )


@dataclasses.dataclass(slots=True, kw_only=True)
class Question:
    """A question in plain words.

    Attributes:
        name: Key of its answer in the answers file.
        order: Place among the questions.
        text: The question.
        hint: How to answer, with an example.
        schema: JSON schema that bounds the answer.
        read: Turns what the operator types into the answer.
        effect: Says what the answers lead to.
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
    """Return a decorator that adds a question; its function is the effect.

    Args:
        name: Key of its answer in the answers file.
        order: Place among the questions.
        text: The question.
        hint: How to answer, with an example.
        schema: JSON schema that bounds the answer.
        read: Turns what the operator types into the answer.
    """

    def _add(effect: typing.Callable[[Answers], Effect]):
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

    return _add

"""Questions on callers: what they wait for, and how late is too late."""

from wisteriawood.config import configuration
from wisteriawood.config.questions import base
from wisteriawood.contracts import requests

_DEADLINES_SCHEMA = {
    "type": "object",
    "propertyNames": base.NAME_SCHEMA,
    "minProperties": 0,
    "maxProperties": configuration.MAX_NAMES,
    "additionalProperties": {
        "type": "integer",
        "minimum": 1,
        "maximum": configuration.MAX_DEADLINE_MS,
    },
}


@base.question(
    "team",
    order=10,
    text="What is your team called?",
    hint="One word without spaces, such as kroupa. Callers use it in URLs.",
    schema=base.NAME_SCHEMA,
)
def team(answers: base.Answers) -> base.Effect:
    """Name the team."""
    name = answers["team"]
    return base.Effect(
        explanations=[f"Callers reach your services at /{name}/SERVICE/..."]
    )


@base.question(
    "too_late_ms",
    order=20,
    text="What do callers wait for, and how late is too late?",
    hint="SERVICE=MILLISECONDS with commas between, such as shop=400. "
    "Nothing if nobody waits for an answer.",
    schema=_DEADLINES_SCHEMA,
    read=base.read_numbers,
)
def deadlines(answers: base.Answers) -> base.Effect:
    """Give each service its deadline."""
    effect = base.Effect(patch={"services": {}})
    for name, deadline_ms in answers["too_late_ms"].items():
        effect.patch["services"][name] = {"deadline_ms": deadline_ms}
        effect.explanations.append(
            f"A request to {name} is answered within {deadline_ms} ms or "
            "refused: a caller who says nothing else gets this deadline."
        )
    return effect


@base.question(
    "never_twice",
    order=30,
    text="Which of these must never be done twice, such as billing?",
    hint="Names of services with commas between; nothing if none.",
    schema=base.NAMES_SCHEMA,
    read=base.read_names,
)
def never_twice(answers: base.Answers) -> base.Effect:
    """Make requests run at most once."""
    base.check_known(answers, "never_twice", among="too_late_ms")
    effect = base.Effect(patch={"services": {}})
    for name in answers["never_twice"]:
        effect.patch["services"][name] = {
            "request_class": requests.RequestClass.RUN_ONCE.value
        }
        effect.explanations.append(
            f"A request to {name} runs at most once: each needs an "
            "Idempotency-Key header, and a repeat gets the first answer."
        )
    return effect


@base.question(
    "goes_first",
    order=40,
    text="Which of these go first when there is too much to do?",
    hint="Names of services with commas between; nothing if none.",
    schema=base.NAMES_SCHEMA,
    read=base.read_names,
)
def goes_first(answers: base.Answers) -> base.Effect:
    """Make services urgent."""
    base.check_known(answers, "goes_first", among="too_late_ms")
    effect = base.Effect(patch={"services": {}})
    for name in answers["goes_first"]:
        effect.patch["services"][name] = {"urgent": True}
        effect.explanations.append(
            f"Requests to {name} are urgent: they go before your others."
        )
    return effect

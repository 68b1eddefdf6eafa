"""Questions about callers: services, deadlines and request classes."""

from wisteriawood.config import configuration
from wisteriawood.config.questions import base
from wisteriawood.contracts import requests

_DEADLINES_SCHEMA = {
    "type": "object",
    "propertyNames": base.NAME_SCHEMA,
    "minProperties": 0,
    "maxProperties": configuration.MAX_NAMES_PER_TEAM,
    "additionalProperties": {
        "type": "integer",
        "minimum": 1,
        "maximum": configuration.MAX_DEADLINE_MS,
    },
}


@base.question(
    "team",
    order=10,
    text="What is the name of your team?",
    hint="One word without spaces, such as kroupa. It is part of your URLs.",
    schema=base.NAME_SCHEMA,
)
def team(answers: base.Answers) -> base.Effect:
    """Explain the URLs of the team; the name itself needs no patch."""
    name = answers["team"]
    return base.Effect(
        explanations=[f"Callers reach your services at /{name}/SERVICE/..."]
    )


@base.question(
    "too_late_ms",
    order=20,
    text="Which services do callers use, and how long may an answer take?",
    hint="SERVICE=MILLISECONDS, separated by commas, such as "
    "shop=400,orders=2000. Leave empty if nobody waits for an answer.",
    schema=_DEADLINES_SCHEMA,
    read=base.read_numbers,
)
def deadlines(answers: base.Answers) -> base.Effect:
    """Set the deadline of each service."""
    effect = base.Effect(patch={"services": {}})
    for name, deadline_ms in answers["too_late_ms"].items():
        effect.patch["services"][name] = {"deadline_ms": deadline_ms}
        effect.explanations.append(
            f"A request to {name} is answered within {deadline_ms} ms or "
            "refused. A caller can set another deadline for a request."
        )
    return effect


@base.question(
    "never_twice",
    order=30,
    text="Which of these services must never run a request twice, such as "
    "billing?",
    hint="Names of services, separated by commas. Leave empty if none.",
    schema=base.NAMES_SCHEMA,
    read=base.read_names,
)
def never_twice(answers: base.Answers) -> base.Effect:
    """Set the request class of services to run-once."""
    base.check_known(answers, "never_twice", among="too_late_ms")
    effect = base.Effect(patch={"services": {}})
    for name in answers["never_twice"]:
        effect.patch["services"][name] = {
            "request_class": requests.RequestClass.RUN_ONCE.value
        }
        effect.explanations.append(
            f"A request to {name} runs at most once. Each request needs an "
            "Idempotency-Key header; a repeat gets the first answer."
        )
    return effect


@base.question(
    "goes_first",
    order=40,
    text="Which of these services go first when there are too many "
    "requests?",
    hint="Names of services, separated by commas. Leave empty if none.",
    schema=base.NAMES_SCHEMA,
    read=base.read_names,
)
def goes_first(answers: base.Answers) -> base.Effect:
    """Mark services as urgent."""
    base.check_known(answers, "goes_first", among="too_late_ms")
    effect = base.Effect(patch={"services": {}})
    for name in answers["goes_first"]:
        effect.patch["services"][name] = {"urgent": True}
        effect.explanations.append(
            f"Requests to {name} are urgent: they go before your other "
            "requests."
        )
    return effect

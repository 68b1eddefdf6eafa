"""Questions on outcomes: what matters most, and how much may be used."""

from wisteriawood.config.questions import base

_WORDS = {
    "tail_latency": "no caller waits long",
    "batch_throughput": "batch jobs finish soon",
    "evictions": "running work is left alone",
}
_TOP_WEIGHT = 10
_WEIGHT_STEP = 4


@base.question(
    "matters_most",
    order=90,
    text="What matters more? Put all three in order, the most first.",
    hint="tail_latency (no caller waits long), batch_throughput (jobs "
    "finish soon), evictions (running work is left alone).",
    schema={
        "type": "array",
        "items": {"enum": list(_WORDS)},
        "uniqueItems": True,
        "minItems": 3,
        "maxItems": 3,
    },
    read=base.read_names,
)
def matters_most(answers: base.Answers) -> base.Effect:
    """Weigh the three outcomes."""
    effect = base.Effect(patch={"weights": {}})
    for place, name in enumerate(answers["matters_most"]):
        weight = _TOP_WEIGHT - _WEIGHT_STEP * place
        effect.patch["weights"][name] = weight
        effect.explanations.append(
            f"That {_WORDS[name]} weighs {weight} of {_TOP_WEIGHT}."
        )
    return effect


@base.question(
    "cores",
    order=100,
    text="How many cores may your tasks use in all?",
    hint="A number of cores, such as 2240 for 35 machines with 64 each; "
    "0 for no limit.",
    schema=base.COUNT_SCHEMA,
    read=base.read_number,
)
def cores(answers: base.Answers) -> base.Effect:
    """Limit the team's cores."""
    limit = answers["cores"]
    if not limit:
        return base.Effect(explanations=["Your tasks have no core limit."])
    return base.Effect(
        patch={"quota": {"cores": limit}},
        explanations=[f"Your tasks together use at most {limit} cores."],
    )


@base.question(
    "share",
    order=110,
    text="When teams compete, how much should you get beside the others?",
    hint="1 for the same as each other team, 2 for twice as much.",
    schema={"type": "number", "minimum": 0.1, "maximum": 100},
    read=base.read_number,
)
def share(answers: base.Answers) -> base.Effect:
    """Give the team its share."""
    factor = answers["share"]
    return base.Effect(
        patch={"quota": {"share": factor}},
        explanations=[
            f"When machines are short you get {factor} times the share of "
            "a team with 1."
        ],
    )

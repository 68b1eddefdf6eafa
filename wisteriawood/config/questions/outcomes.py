"""Questions about the weights of goals and about quotas."""

from wisteriawood.config.questions import base

_GOALS = {
    "tail_latency": "callers get fast answers",
    "batch_throughput": "batch jobs finish early",
    "evictions": "running tasks are not interrupted",
}
_MAX_WEIGHT = 10
_WEIGHT_STEP = 4


@base.question(
    "matters_most",
    order=90,
    text="What matters most? List all three, the most important first.",
    hint="tail_latency (callers get fast answers), batch_throughput (batch "
    "jobs finish early), evictions (running tasks are not interrupted). "
    "Separate them by commas.",
    schema={
        "type": "array",
        "items": {"enum": list(_GOALS)},
        "uniqueItems": True,
        "minItems": 3,
        "maxItems": 3,
    },
    read=base.read_names,
)
def matters_most(answers: base.Answers) -> base.Effect:
    """Set the weights of the three goals."""
    effect = base.Effect(patch={"weights": {}})
    for position, name in enumerate(answers["matters_most"]):
        weight = _MAX_WEIGHT - _WEIGHT_STEP * position
        effect.patch["weights"][name] = weight
        effect.explanations.append(
            f"The goal that {_GOALS[name]} has weight {weight} of "
            f"{_MAX_WEIGHT}."
        )
    return effect


@base.question(
    "cores",
    order=100,
    text="How many cores may all your tasks together use?",
    hint="A number of cores, such as 2240 for 35 machines with 64 each, or "
    "0 for no limit.",
    schema=base.COUNT_SCHEMA,
    read=base.read_number,
)
def cores(answers: base.Answers) -> base.Effect:
    """Set the core quota of the team."""
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
    text="How large is your share when teams compete for machines?",
    hint="1 for the same as every other team, 2 for twice as much.",
    schema={"type": "number", "minimum": 0.1, "maximum": 100},
    read=base.read_number,
)
def share(answers: base.Answers) -> base.Effect:
    """Set the share of the team."""
    factor = answers["share"]
    return base.Effect(
        patch={"quota": {"share": factor}},
        explanations=[
            f"When there are too few machines, you get {factor} times as "
            "much as a team with share 1."
        ],
    )

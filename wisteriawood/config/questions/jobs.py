"""Questions on batch jobs: what may be stopped, resumed and slowed."""

from wisteriawood.config.questions import base


@base.question(
    "batch_jobs",
    order=50,
    text="Which kinds of batch jobs do you run?",
    hint="Names with commas between, such as patterns, reports; nothing "
    "if none. A task names its kind as its task_class.",
    schema=base.NAMES_SCHEMA,
    read=base.read_names,
)
def batch_jobs(answers: base.Answers) -> base.Effect:
    """Give each kind of batch job its class."""
    return base.Effect(
        patch={
            "batch_classes": {
                name: {"resumable": False} for name in answers["batch_jobs"]
            }
        }
    )


@base.question(
    "may_be_resumed",
    order=60,
    text="Which of these may be stopped and resumed on another machine?",
    hint="Names of batch jobs with commas between; nothing if none.",
    schema=base.NAMES_SCHEMA,
    read=base.read_names,
)
def may_be_resumed(answers: base.Answers) -> base.Effect:
    """Let batch jobs be evicted."""
    base.check_known(answers, "may_be_resumed", among="batch_jobs")
    effect = base.Effect(patch={"batch_classes": {}})
    for name in answers["batch_jobs"]:
        resumable = name in answers["may_be_resumed"]
        effect.patch["batch_classes"][name] = {"resumable": resumable}
        words = (
            "may be stopped at a checkpoint and resumes there exactly once"
            if resumable
            else "is not stopped to make room for others"
        )
        effect.explanations.append(f"A {name} job {words}.")
    return effect


@base.question(
    "must_not_slow",
    order=70,
    text="Which of these must not be slowed down for a service?",
    hint="Names of batch jobs with commas between; nothing if none.",
    schema=base.NAMES_SCHEMA,
    read=base.read_names,
)
def must_not_slow(answers: base.Answers) -> base.Effect:
    """Keep batch jobs from being throttled."""
    base.check_known(answers, "must_not_slow", among="batch_jobs")
    effect = base.Effect(patch={"batch_classes": {}})
    for name in answers["must_not_slow"]:
        effect.patch["batch_classes"][name] = {"throttled": False}
        effect.explanations.append(
            f"A {name} job keeps its speed when a service beside it is slow."
        )
    return effect


@base.question(
    "first_jobs",
    order=80,
    text="Which of these go first when machines are short?",
    hint="Names of batch jobs, the most important first, with commas "
    "between; nothing if all are alike.",
    schema=base.NAMES_SCHEMA,
    read=base.read_names,
)
def first_jobs(answers: base.Answers) -> base.Effect:
    """Give batch jobs their priorities."""
    base.check_known(answers, "first_jobs", among="batch_jobs")
    effect = base.Effect(patch={"batch_classes": {}})
    for place, name in enumerate(answers["first_jobs"]):
        priority = max(1, base.TOP_PRIORITY - place)
        effect.patch["batch_classes"][name] = {"priority": priority}
        effect.explanations.append(
            f"A {name} job waits with priority {priority} of your team's."
        )
    return effect

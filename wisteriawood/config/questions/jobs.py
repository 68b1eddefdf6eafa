"""Questions about batch jobs: eviction, throttling and priority."""

from wisteriawood.config.questions import base


@base.question(
    "batch_jobs",
    order=50,
    text="Which kinds of batch jobs do you run?",
    hint="Names, separated by commas, such as patterns,reports. Leave empty "
    "if none. A task gives the name as its task_class.",
    schema=base.NAMES_SCHEMA,
    read=base.read_names,
)
def batch_jobs(answers: base.Answers) -> base.Effect:
    """Add a batch class for each kind of batch job."""
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
    text="Which of these jobs may be stopped and resumed on another machine?",
    hint="Names of batch jobs, separated by commas. Leave empty if none.",
    schema=base.NAMES_SCHEMA,
    read=base.read_names,
)
def may_be_resumed(answers: base.Answers) -> base.Effect:
    """Set which batch jobs may be evicted."""
    base.check_known(answers, "may_be_resumed", among="batch_jobs")
    effect = base.Effect(patch={"batch_classes": {}})
    for name in answers["batch_jobs"]:
        resumable = name in answers["may_be_resumed"]
        effect.patch["batch_classes"][name] = {"resumable": resumable}
        behaviour = (
            "may be stopped at a checkpoint and resumes from there exactly "
            "once"
            if resumable
            else "is not stopped to free capacity for other tasks"
        )
        effect.explanations.append(f"A {name} job {behaviour}.")
    return effect


@base.question(
    "must_not_slow",
    order=70,
    text="Which of these jobs must not be slowed down to protect a service?",
    hint="Names of batch jobs, separated by commas. Leave empty if none.",
    schema=base.NAMES_SCHEMA,
    read=base.read_names,
)
def must_not_slow(answers: base.Answers) -> base.Effect:
    """Set which batch jobs must not be throttled."""
    base.check_known(answers, "must_not_slow", among="batch_jobs")
    effect = base.Effect(patch={"batch_classes": {}})
    for name in answers["must_not_slow"]:
        effect.patch["batch_classes"][name] = {"throttled": False}
        effect.explanations.append(
            f"A {name} job is not slowed down when a service on its machine "
            "is slow."
        )
    return effect


@base.question(
    "first_jobs",
    order=80,
    text="Which of these jobs go first when there are too few machines?",
    hint="Names of batch jobs, separated by commas, the most important "
    "first. Leave empty if all are equally important.",
    schema=base.NAMES_SCHEMA,
    read=base.read_names,
)
def first_jobs(answers: base.Answers) -> base.Effect:
    """Set the priorities of batch jobs."""
    base.check_known(answers, "first_jobs", among="batch_jobs")
    effect = base.Effect(patch={"batch_classes": {}})
    for position, name in enumerate(answers["first_jobs"]):
        priority = max(1, base.MAX_PRIORITY - position)
        effect.patch["batch_classes"][name] = {"priority": priority}
        effect.explanations.append(
            f"A {name} job has priority {priority} among the jobs of your "
            "team."
        )
    return effect

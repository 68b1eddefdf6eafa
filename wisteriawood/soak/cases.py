"""Seeds for which a soak reported a breach, some of them wrongly."""

# Cause of the failure by seed. The order of events differs between runs,
# since hosts are real processes; a seed only reproduces the same faults at
# the same times.
CASES = {
    5: "the check missed an end that was lost with its worker after a commit",
    7: "the check counted an end as acknowledged after its lease expired",
    11: "the check counted an attempt still in progress as refused",
    15: "the check expected a job to run whose cancel got no answer",
    27: "another connection took the port of a stopped host",
    49: "an end of a restarted worker was acknowledged by an old end number",
    448: "probably the same: the worker had crashed a second before",
}

# The same for soaks with workers that are lost for good.
LOSS_CASES: dict[int, str] = {}

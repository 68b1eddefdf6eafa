"""Seeds that once broke a promise, or seemed to."""

# Cause by seed. The order of events differs between runs, since real
# processes take part; a seed brings back the same faults at the same times.
CASES = {
    5: "the check missed an end that was lost with its worker after a commit",
    7: "the check counted an end as acknowledged whose lease had lapsed",
    11: "the check took an attempt that was under way for a refused one",
    15: "the check wanted a job to run whose cancel had no answer",
    27: "the port of a stopped host was taken by another connection",
    49: "an end of a worker's new life was acknowledged by its old number",
}

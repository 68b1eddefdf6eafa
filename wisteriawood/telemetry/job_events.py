"""Numbered events of jobs and cells, and of the feeds that they follow."""

from wisteriawood.telemetry import events

QUEUES_ADOPTED = events.define(
    2001, "queues-adopted", "A version of the queues is in force."
)
JOB_HANDED_IN = events.define(
    2002, "job-handed-in", "A caller handed a job in."
)
JOB_CANCEL_ASKED = events.define(
    2003, "job-cancel-asked", "A caller asked for a job to be cancelled."
)
JOB_ENDED = events.define(
    2004, "job-ended", "A job is completed, failed or canceled."
)
JOB_ROW_CHANGED = events.define(
    2005,
    "job-row-changed",
    "Another process wrote a job row; the cell is let go.",
)
JOB_ROW_UNREADABLE = events.define(
    2006,
    "job-row-unreadable",
    "A row of a job can't be read; it is passed over.",
    "Run the same version on all hosts.",
)
JOB_NOT_REMOVED = events.define(
    2007,
    "job-not-removed",
    "Old rows of a job could not be removed; the next holder tries.",
)
REQUEST_REFUSED = events.define(
    2008, "request-refused", "A caller's request was refused or not settled."
)
CELL_CLAIMED = events.define(2101, "cell-claimed", "This host claimed a cell.")
CELL_OPENED = events.define(
    2102, "cell-opened", "This host has read a cell's jobs and works for it."
)
CELL_LOST = events.define(
    2103,
    "cell-lost",
    "Another host works for a cell now.",
    "Nothing, unless it happens often; then check the host's load.",
)
CELL_RELEASED = events.define(
    2104, "cell-released", "This host let go of a cell."
)
CLAIM_FAILED = events.define(
    2105, "claim-failed", "A cell could not be claimed; it is tried again."
)
RELEASE_FAILED = events.define(
    2106,
    "release-failed",
    "A cell could not be released; others claim it after a while.",
)
CLAIM_UNREADABLE = events.define(
    2107,
    "claim-unreadable",
    "The row of a claim can't be read.",
    "Run the same version on all hosts.",
)
BEAT_UNREADABLE = events.define(
    2108,
    "beat-unreadable",
    "The row of a heartbeat can't be read.",
    "Run the same version on all hosts.",
)
BEAT_FAILED = events.define(
    2109,
    "beat-failed",
    "A heartbeat could not be written.",
    "Check the platform's store.",
)
CELL_LOAD_FAILED = events.define(
    2110,
    "cell-load-failed",
    "The rows of a cell can't be read yet; it is tried again.",
)
PROBE_FAILED = events.define(
    2111,
    "probe-failed",
    "A worker of a zone without hosts does not answer this host.",
)
RUN_WORKER_FOUND = events.define(
    2201, "run-worker-found", "A worker answers the holder of its cell."
)
RUN_WORKER_LOST = events.define(
    2202,
    "run-worker-lost",
    "A worker does not answer; its runs keep their room.",
    "Check the worker; its runs move once its lease has lapsed.",
)
RUN_WORKER_REBORN = events.define(
    2203,
    "run-worker-reborn",
    "A worker has restarted; all runs of its life before are over.",
)
RUN_WORKER_GONE = events.define(
    2204,
    "run-worker-gone",
    "A worker left and nothing of it can run any more.",
)
RUN_WORKER_DELISTED = events.define(
    2205, "run-worker-delisted", "The directory no longer lists a worker."
)
RUN_WORKER_PROBATION = events.define(
    2206,
    "run-worker-probation",
    "A worker failed runs of several jobs; it gets none for a while.",
    "Check the worker.",
)
RUN_ENDED = events.define(2210, "run-ended", "A run ended without being done.")
RUN_DROPPED = events.define(
    2211, "run-dropped", "A run is surely over without its worker's word."
)
RUN_UNKNOWN = events.define(
    2212,
    "run-unknown",
    "A worker lists a run that no row explains; it is stopped.",
)
RUN_START_REFUSED = events.define(
    2213, "run-refused", "A worker refused a start."
)
RUN_START_UNANSWERED = events.define(
    2214,
    "run-unanswered",
    "Starts were not answered; the run is stopped and goes elsewhere.",
)
RUN_STOP_UNANSWERED = events.define(
    2215, "stop-unanswered", "A stop was not answered; it is sent again."
)
PACE_UNANSWERED = events.define(
    2216, "pace-unanswered", "A change of a filler's speed was not answered."
)
FILLERS_PACED = events.define(
    2217,
    "fillers-paced",
    "Fillers beside a serving task were slowed down or let go on.",
)
SERVING_REGROUPED = events.define(
    2220,
    "serving-regrouped",
    "A serving task is moved, so that waiting fillers can use its worker.",
)
KNOWLEDGE_NOT_SHARED = events.define(
    2221,
    "knowledge-not-shared",
    "What a cell learned about images could not be exchanged with others.",
)
KNOWLEDGE_UNREADABLE = events.define(
    2222,
    "knowledge-unreadable",
    "What another cell learned can't be read; it is left out.",
)
FEED_LOST = events.define(
    2301,
    "feed-lost",
    "A table can't be followed.",
    "Check the platform's store.",
)
FEED_FOUND = events.define(2302, "feed-found", "A table is followed again.")
FEED_RESTARTED = events.define(
    2303, "feed-restarted", "The history of a table was lost; it is read anew."
)
FEED_AUDITED = events.define(
    2309,
    "feed-audited",
    "A table was read once more after a loss; rows had been left out.",
    "Check whether the platform's store returns old rows.",
)
WORKER_ROW_UNREADABLE = events.define(
    2304,
    "worker-row-unreadable",
    "An entry of the directory can't be read; it names no worker.",
)
CONFIGURATION_UNREADABLE = events.define(
    2305,
    "configuration-unreadable",
    "A version of the configuration can't be read; the one before stays.",
)
LINES_LEFT_OUT = events.define(
    2306,
    "lines-left-out",
    "Log lines over the budget of their kind were left out.",
)
SETTINGS_RELOADED = events.define(
    2307, "settings-reloaded", "The settings file has changed."
)
JOB_OVERLOAD = events.define(
    2009,
    "job-overload",
    "A job is refused, as no cell can do it in time; its view tells why.",
    "Add workers, or see who hands in more than usual.",
)
RUNS_ASSIGNED = events.define(
    2218,
    "runs-assigned",
    "Tasks got workers: each task, its run, the worker and the cores that "
    "stay free there.",
)
RUN_EVACUATED = events.define(
    2219,
    "run-evacuated",
    "A run is stopped on a worker that drains, to go on elsewhere.",
)
TASK_LENT = events.define(
    2113,
    "task-lent",
    "A standing task found no room in its cell and was handed to another.",
)
CELL_LOAD = events.define(
    2112,
    "cell-load",
    "How full a cell is: for each worker its serving tasks, runs, free "
    "cores, cores that fillers ask for, and free memory in GiB.",
)

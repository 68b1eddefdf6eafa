"""Numbered events of job hosts: jobs, cells, workers and feeds."""

from wisteriawood.telemetry import events

QUEUES_ADOPTED = events.define(
    2001, "queues-adopted", "A version of the queues is in force."
)
JOB_HANDED_IN = events.define(
    2002, "job-handed-in", "A caller submitted a job."
)
JOB_CANCEL_ASKED = events.define(
    2003, "job-cancel-asked", "A caller requested that a job be cancelled."
)
JOB_CANCEL_MISSED = events.define(
    2010,
    "job-cancel-missed",
    "A write of a job showed that it was cancelled, which this host had not "
    "read yet; the job is cancelled now.",
)
JOB_REFUSED = events.define(
    2011,
    "job-refused",
    "The store refuses what a job's rows have become. They are written again "
    "without checkpoints, moves and loans; the job goes on.",
    "See OPERATIONS.md, Rows that are full or refused.",
)
JOB_SET_ASIDE = events.define(
    2013,
    "job-set-aside",
    "The store refuses the rows of a job however small they are. Nothing of "
    "it is started or acknowledged until they are accepted; they are tried "
    "again in `retry_s`. Other jobs go on.",
    "See OPERATIONS.md, Rows that are full or refused.",
)
CHECKPOINTS_LEFT_OUT = events.define(
    2014,
    "checkpoints-left-out",
    "The row of a job has no room for `count` of its checkpoints; 0 once it "
    "has again. A holder that takes over starts these tasks from the "
    "beginning.",
    "See OPERATIONS.md, Rows that are full or refused.",
)
CHECKPOINT_TOO_LONG = events.define(
    2015,
    "checkpoint-too-long",
    "A checkpoint of a task is too long to be kept, so that it resumes from "
    "an earlier one or from the beginning.",
    "See OPERATIONS.md, Rows that are full or refused.",
)
JOB_ENDED = events.define(
    2004, "job-ended", "A job completed, failed or was cancelled."
)
JOB_ROW_CHANGED = events.define(
    2005,
    "job-row-changed",
    "Another process changed a job row; this host releases the cell.",
)
JOB_ROW_UNREADABLE = events.define(
    2006,
    "job-row-unreadable",
    "A row of a job can't be decoded; it is skipped.",
    "Run the same version on all hosts.",
)
JOB_NOT_REMOVED = events.define(
    2007,
    "job-not-removed",
    "Old rows of a job could not be removed; the next holder of the cell "
    "tries again.",
)
REQUEST_REFUSED = events.define(
    2008,
    "request-refused",
    "A request was refused, or its outcome is unknown.",
)
CELL_CLAIMED = events.define(2101, "cell-claimed", "This host claimed a cell.")
CELL_OPENED = events.define(
    2102,
    "cell-opened",
    "This host has read the jobs of a cell and manages them.",
)
CELL_LOST = events.define(
    2103,
    "cell-lost",
    "Another host has taken over a cell that this host held.",
    "Nothing, unless it happens often; then check the load of the host.",
)
CELL_RELEASED = events.define(
    2104,
    "cell-released",
    "This host released a cell; `withheld_s` tells how long the leases of "
    "silent workers may still run.",
)
CLAIM_FAILED = events.define(
    2105,
    "claim-failed",
    "A cell could not be claimed; the claim is tried again.",
)
RELEASE_FAILED = events.define(
    2106,
    "release-failed",
    "A cell could not be released; another host claims it later.",
)
CLAIM_UNREADABLE = events.define(
    2107,
    "claim-unreadable",
    "The row of a claim can't be decoded.",
    "Run the same version on all hosts.",
)
HEARTBEAT_UNREADABLE = events.define(
    2108,
    "beat-unreadable",
    "The row of a heartbeat can't be decoded.",
    "Run the same version on all hosts.",
)
HEARTBEAT_FAILED = events.define(
    2109,
    "beat-failed",
    "A heartbeat could not be written.",
    "Check the platform's store.",
)
HEARTBEAT_TRIMMED = events.define(
    2128,
    "beat-trimmed",
    "Heartbeats of this host leave out queues with few pending jobs, and "
    "racks, as a row has no room for all; or this has ended (`is_over`).",
    "See OPERATIONS.md, Rows that are full or refused.",
)
HOLD_CHECKED = events.define(
    2129,
    "hold-checked",
    "The store answers again after some time; whether a cell is still held "
    "was checked with the `outcome`.",
    "See OPERATIONS.md, Terms of holds.",
)
HOLDS_UNCONFIRMED = events.define(
    2130,
    "holds-unconfirmed",
    "The store has not answered the heartbeats of this host for some time; "
    "its leases go on while all `witnesses` confirm its holds. Or this has "
    "ended (`is_over`).",
    "See OPERATIONS.md, Terms of holds.",
)
HOLD_TERM_TOLD = events.define(
    2131,
    "hold-term-told",
    "A witness of a former holder has told for how long it has not confirmed "
    "that hold.",
)
HOLD_TERM_KNOWN = events.define(
    2132,
    "hold-term-known",
    "The last sign of a former holder is known; all of its leases have "
    "lapsed in `left_s`.",
)
CELL_LOAD_FAILED = events.define(
    2110,
    "cell-load-failed",
    "The rows of a cell could not be read; the read is tried again.",
)
PROBE_FAILED = events.define(
    2111,
    "probe-failed",
    "A worker does not answer this host, which probes it because no host of "
    "its zone is live.",
)
RUN_WORKER_FOUND = events.define(
    2201, "run-worker-found", "A worker answers the host that holds its cell."
)
RUN_WORKER_LOST = events.define(
    2202,
    "run-worker-lost",
    "A worker does not answer; the resources of its runs stay reserved. "
    "`kind` and `errno` tell the first cause, `standing` names long-running "
    "tasks on it (of `standing_count`).",
    "Check the worker; its runs move once its lease has expired.",
)
RUN_WORKER_RESTARTED = events.define(
    2203,
    "run-worker-reborn",
    "A worker has restarted; all runs of its previous instance have ended. "
    "Until it `is_fenced`, it may carry out what that instance was sent.",
)
RUN_WORKER_GONE = events.define(
    2204,
    "run-worker-gone",
    "A worker has left, and none of its runs can still be running.",
)
RUN_WORKER_DELISTED = events.define(
    2205, "run-worker-delisted", "A worker is no longer in the directory."
)
RUN_WORKER_PROBATION = events.define(
    2206,
    "run-worker-probation",
    "Runs of several jobs failed on a worker; it gets no runs for a while.",
    "Check the worker.",
)
RUN_ENDED = events.define(
    2210, "run-ended", "A run ended before its work was done."
)
RUN_DROPPED = events.define(
    2211,
    "run-dropped",
    "A run is known to have ended without a report of its worker; `silent_s` "
    "is the time since the worker's last answer. It counted for longer than "
    "the worker's lease if `has_unanswered_start`, as another instance of the "
    "worker's process may have carried the start out.",
)
RUN_UNKNOWN = events.define(
    2212,
    "run-unknown",
    "A worker reports a run that has no row; the run is stopped.",
)
RUN_START_MISDIRECTED = events.define(
    2227,
    "run-start-misdirected",
    "A worker restarted, and its new process carried out a start that was "
    "meant for the former one. Nothing more is sent to that one, and the "
    "token rises.",
)
RUN_START_REFUSED = events.define(
    2213, "run-refused", "A worker refused to start a run."
)
RUN_START_UNANSWERED = events.define(
    2214,
    "run-unanswered",
    "A worker did not answer the start of a run; the run is stopped, and its "
    "task is assigned again.",
)
RUN_STOP_UNANSWERED = events.define(
    2215,
    "stop-unanswered",
    "A worker did not answer a stop command; it is sent again.",
)
PACE_UNANSWERED = events.define(
    2216,
    "pace-unanswered",
    "A worker did not answer a change of the pace of a filler.",
)
FILLERS_PACED = events.define(
    2217,
    "fillers-paced",
    "Fillers on the worker of a latency-sensitive task were slowed down or "
    "sped up again.",
)
SERVING_REGROUPED = events.define(
    2220,
    "serving-regrouped",
    "A latency-sensitive task is moved so that waiting fillers can use its "
    "worker.",
)
WEIGHTS_NOT_SHARED = events.define(
    2221,
    "knowledge-not-shared",
    "A cell could not exchange its interference weights with other cells.",
)
WEIGHTS_UNREADABLE = events.define(
    2222,
    "knowledge-unreadable",
    "The interference weights of another cell can't be decoded; they are "
    "skipped.",
)
FEED_LOST = events.define(
    2301,
    "feed-lost",
    "A table of the platform's store can't be read; the read is tried again.",
    "Check the platform's store.",
)
FEED_FOUND = events.define(2302, "feed-found", "A table can be read again.")
FEED_RESTARTED = events.define(
    2303,
    "feed-restarted",
    "The history of a table was lost; all its rows are read again.",
)
FEED_AUDITED = events.define(
    2309,
    "feed-audited",
    "After the history of a table was lost, a further full read found changes "
    "that the first one had missed.",
    "Check whether the platform's store returns stale rows.",
)
FEED_CAUGHT_UP = events.define(
    2310,
    "feed-caught-up",
    "A host was behind with the changes of a table, as there were more than "
    "fit into an answer, and has read them all now.",
    "If it is frequent, check the load of the host and of the store.",
)
TABLE_OUTDATED = events.define(
    2313,
    "table-outdated",
    "The newest confirmed read of a table is older than its bound; the line "
    "tells what its feed waits for.",
    "Check the platform's store.",
)
TABLE_CURRENT = events.define(
    2314,
    "table-current",
    "A table is within its bound again; the line tells how old it has become "
    "and what its feed waited for last.",
)
STORE_SILENT = events.define(
    2315,
    "store-silent",
    "The platform's store answers no call of this host; the tables that it "
    "follows are tried in turn.",
    "Check the platform's store.",
)
STORE_RETURNED = events.define(
    2316,
    "store-returned",
    "The platform's store answers again; calls that it has not received are "
    "made anew.",
)
WORKER_ROW_UNREADABLE = events.define(
    2304,
    "worker-row-unreadable",
    "A worker's entry in the directory can't be decoded; it is skipped.",
)
DIRECTORY_NEEDED = events.define(
    2312,
    "directory-needed",
    "This host began or ceased to follow the directory of workers; holders "
    "of cells and the standbys of a zone follow it.",
)
REFUSAL_UNREADABLE = events.define(
    2311,
    "refusal-unreadable",
    "The reason of a worker's refusal can't be decoded; it counts as unknown.",
)
CONFIGURATION_UNREADABLE = events.define(
    2305,
    "configuration-unreadable",
    "A version of the configuration can't be decoded; the previous one stays "
    "in force.",
)
LINES_LEFT_OUT = events.define(
    2306,
    "lines-left-out",
    "Log lines were dropped, because too many of a kind came in a second or "
    "the reader is too slow.",
)
SETTINGS_RELOADED = events.define(
    2307,
    "settings-reloaded",
    "The settings file was read again; `is_good` says whether it is valid.",
)
JOB_OVERLOAD = events.define(
    2009,
    "job-overload",
    "A job is refused because it would not end in time; the field `view` "
    "holds the load that this is based on.",
    "Add workers, or check which callers submit more than usual.",
)
RUNS_ASSIGNED = events.define(
    2218,
    "runs-assigned",
    "Tasks were assigned to workers; lists each task, its run, the worker "
    "and the cores that stay free there.",
)
RUN_EVACUATED = events.define(
    2219,
    "run-evacuated",
    "A run on a draining worker is stopped to continue elsewhere.",
)
RUN_PREEMPTED = events.define(
    2226,
    "run-preempted",
    "A batch run is stopped, since a standing task has waited too long for "
    "its room.",
)
WORKER_DRAINING = events.define(
    2223,
    "worker-draining",
    "The directory shows that a worker is draining; `news_age_s` is the time "
    "since the worker wrote this, by its own clock.",
)
RUN_START_WITHHELD = events.define(
    2224,
    "run-start-withheld",
    "A task was assigned to a worker, but its start was not sent: the worker "
    "drains or has left, or what this host knows is out of date. The task is "
    "assigned again.",
    "If it is often out of date, check the platform's store and the load of "
    "the host.",
)
WORKER_ENTRY_REMOVED = events.define(
    2225,
    "worker-entry-removed",
    "The directory no longer lists a worker; `entry_age_s` is the longest "
    "time that may have passed since the worker last wrote its entry, if "
    "known; it is not if the store failed just before. If it drained and was "
    "silent for less than it takes to lose the entry, it has probably left.",
)
TASK_LENT = events.define(
    2113,
    "task-lent",
    "A long-running task did not fit in its cell and was lent to another.",
)
JOB_MOVED = events.define(
    2114,
    "job-moved",
    "A job of which nothing could run in its cell is moved to another.",
)
JOB_UNKNOWN = events.define(
    2116,
    "job-unknown",
    "The store has a job for a cell whose holder does not know it.",
    "If it lasts, let another host take the cell over: restart this one.",
)
JOB_NOT_LOOKED_UP = events.define(
    2127,
    "job-not-looked-up",
    "Workers report runs of jobs that the holder does not know, and the store "
    "can't tell now whether it has them; the ends of these runs are not "
    "acknowledged meanwhile.",
)
JOB_LOADED = events.define(
    2117,
    "job-loaded",
    "The holder of an open cell read a job with its progress, for instance "
    "one that was moved here.",
)
JOB_LEFT = events.define(
    2118,
    "job-left",
    "A move took effect without an answer; the other cell has changed the "
    "job since.",
)
JOB_IDLE = events.define(
    2115,
    "job-idle",
    "Nothing of a job runs although a step of it is ready; `reason` says "
    "whether its tasks are passed over (`obstacles` counts the workers by "
    "what rules them out), lack a usable worker, are assigned without running "
    "(`assigned` lists their runs), wait for a write, or are not queued.",
    "See OPERATIONS.md, A job that doesn't run.",
)
STANDING_TASK_AWAY = events.define(
    2119,
    "standing-task-away",
    "A long-running task that has run before doesn't run for more than 2.5 s, "
    "or no longer does so: it runs again (`is_back`), or another cell has it "
    "(`to`); `phases_s` says how long it waited for what.",
    "See OPERATIONS.md, A standing task that is away.",
)
CELL_LOAD = events.define(
    2112,
    "cell-load",
    "Load of a cell: for each worker its latency-sensitive tasks, runs, free "
    "cores, cores requested by fillers, and free memory in GiB.",
)
TAKEOVER_TIMED = events.define(
    2123,
    "takeover-timed",
    "A new holder has placed tasks for the first time; the fields tell the "
    "time without a heartbeat of the former one and that of each phase.",
)
LEASE_AWAITED = events.define(
    2124,
    "lease-awaited",
    "A worker does not answer the new holder of its cell: its tasks wait for "
    "`left_s`, until its lease has surely ended; `basis` tells how that is "
    "known.",
    "See OPERATIONS.md, A standing task that is away.",
)
LEASES_STORED = events.define(
    2125,
    "leases-stored",
    "A holder has stored which leases it does not extend (`withheld_s`: for "
    "how long they may still run), and of which former holders leases may "
    "run (`former`).",
)
LEASES_NOT_STORED = events.define(
    2126,
    "leases-not-stored",
    "A holder could not store which leases it does not extend; if its host "
    "is lost, the next holder waits longer for them.",
    "Check the platform's store.",
)
HOLD_ENDED = events.define(
    2121,
    "hold-ended",
    "The host of a cell's former holder has answered that it renews no lease "
    "any more, and for how long those of silent workers may still run.",
)
HOLD_UNANSWERED = events.define(
    2122,
    "hold-unanswered",
    "A new holder of a cell has asked the host of the former one, and still "
    "does not know that it has ended; it asks again, and tasks of silent "
    "workers wait for the longest time for which it may renew leases.",
    "Check whether hosts reach each other on their internal ports.",
)
ZONE_DRAINED = events.define(
    2401,
    "zone-drained",
    "An operator has requested that a zone be drained: no task starts there "
    "any more, and what waits there moves to other zones.",
)
ZONE_DRAIN_ENDED = events.define(
    2402,
    "zone-drain-ended",
    "The request to drain a zone is gone; its share of the new jobs rises in "
    "steps.",
)
ZONE_DRAIN_UNKNOWN = events.define(
    2403,
    "zone-drain-unknown",
    "An operator has requested that a zone be drained that the settings of "
    "this host don't have; the request is ignored.",
    "Remove the request, or correct the name of the zone.",
)
ZONE_RUN_MOVED = events.define(
    2404,
    "zone-run-moved",
    "A standing task in a drained zone is stopped; the cell `to` has room for "
    "it.",
)
ZONE_RUNS_HELD = events.define(
    2405,
    "zone-runs-held",
    "Standing tasks go on in a drained zone, since they can't move; `causes` "
    "counts them by the reason.",
    "See operators/zone-drains.md.",
)
ZONE_CELL_EMPTY = events.define(
    2406,
    "zone-cell-empty",
    "Nothing runs any more in a cell whose zone is drained.",
)
ZONE_TASKS_UNREAD = events.define(
    2407,
    "zone-tasks-unread",
    "The store can't tell now where the tasks of a job are, of which some run "
    "in a drained zone; they move later.",
)
ROOM_RESERVED = events.define(
    2421,
    "room-reserved",
    "A task fits nowhere now, and room is reserved for it on a worker where "
    "it is expected to fit in `ready_s`, after the ends of `ends` runs; "
    "`reports_age_s` and `learned_age_s` are the ages of what that relies on.",
)
ROOM_RELEASED = events.define(
    2422,
    "room-released",
    "A reservation ended after `held_s`: the task started there (`used`) or "
    "on another worker (`elsewhere`), no longer waits (`gone`), can't fit in "
    "time (`wrong`), or the longest time is over (`expired`).",
    "See operators/overload.md, Large tasks that wait.",
)
BACKFILL_OVERRAN = events.define(
    2423,
    "backfill-overran",
    "A run that was to end before reserved room was needed still runs.",
    "If there are many, declared run times are too short or vary widely.",
)
BACKFILL_STOPPED = events.define(
    2424,
    "backfill-stopped",
    "A run that saves its progress is stopped, so that a task can use its "
    "reservation.",
)
BODIES_REFUSED = events.define(
    2411,
    "bodies-refused",
    "Unfinished request bodies are refused with 503, those first that have "
    "gone longest without progress, since all bodies together exceed their "
    "share of the memory; or this has ended (`is_over`, `refused`).",
    "See OPERATIONS.md, Uncontrolled clients.",
)
CLIENTS_REFUSED = events.define(
    2412,
    "clients-refused",
    "Clients are refused for a `reason`: their bodies are oversized, "
    "malformed or stalled, or their request heads malformed or slow; or this "
    "has ended (`is_over`, `refused`).",
    "See OPERATIONS.md, Uncontrolled clients.",
)
CONNECTIONS_CLOSED = events.define(
    2413,
    "connections-closed",
    "There are as many connections of callers as allowed, or no descriptor "
    "is left: those are closed that have gone longest without progress and "
    "have no complete request; or this has ended (`is_over`, `refused`).",
    "See OPERATIONS.md, Uncontrolled clients.",
)
CONTENTION_BEGUN = events.define(
    2431,
    "contention-begun",
    "Not all waiting filler jobs of a cell can be completed within their "
    "objective at the rate at which fillers get work done; the `deferred` "
    "ones start after the `kept` ones.",
    "See operators/overload.md.",
)
CONTENTION_ENDED = events.define(
    2432,
    "contention-ended",
    "No filler job of a cell is deferred any more.",
)

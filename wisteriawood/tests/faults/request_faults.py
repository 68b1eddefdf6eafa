"""Faults of the request matrix; each returns a function that ends it."""

import anyio

from wisteriawood.policies import registry
from wisteriawood.tests.faults import request_worlds

FAULTS = registry.Registry(kind="fault")
# Faults that last longer than the term of a slot.
LONG_FAULTS = set()
FIRST_ENTRY, SECOND_ENTRY = request_worlds.ENTRIES
ADDED_DELAY_S = 0.8
LATE_ANSWER_DELAY_S = 6.0


def _register_long(name):
    LONG_FAULTS.add(name)
    return FAULTS.register(name)


def _do_nothing():
    return None


def _target(world):
    return world.targets["target-1:1"]


@_register_long("entry host killed")
def kill_entry(world):
    world.kill_entry(FIRST_ENTRY)
    return _do_nothing


@FAULTS.register("entry host drained")
def drain_entry(world):
    world.entries[FIRST_ENTRY].is_draining = True
    world.drained_at_s[FIRST_ENTRY] = anyio.current_time()
    world.entries[FIRST_ENTRY].stopping.set()
    return _do_nothing


@_register_long("grantor killed, another takes over")
def kill_grantor(world):
    world.grantor_process().kill()
    return _do_nothing


@FAULTS.register("grantor drained, another takes over")
def drain_grantor(world):
    name = world.grantor_process().name.split("/")[1]
    world.schedulers[name].stopping.set()
    return _do_nothing


@FAULTS.register("target killed")
def kill_target(world):
    _target(world).is_dead = True
    world.processes["target-1:1"].kill()
    return _do_nothing


@_register_long("entry host frozen past its slots' term")
def freeze_entry(world):
    process = world.entry_process(FIRST_ENTRY)
    process.freeze()
    return process.wake


@_register_long("grantor frozen past its term")
def freeze_grantor(world):
    process = world.grantor_process()
    process.freeze()
    return process.wake


@FAULTS.register("target frozen")
def freeze_target(world):
    target = _target(world)
    # A new event is not set, so the target waits for it.
    target.thawed = type(target.thawed)()
    return target.thawed.set


def _cut(world, *pairs):
    """Cut links one way, each given as sender and receiver."""
    world.cuts |= set(pairs)

    def _undo():
        world.cuts -= set(pairs)

    return _undo


@FAULTS.register("cut one way, entry host to target")
def cut_to_target(world):
    return _cut(world, (f"entry/{FIRST_ENTRY}", "target-1:1"))


@FAULTS.register("cut one way, target to entry host")
def cut_from_target(world):
    return _cut(world, ("target-1:1", f"entry/{FIRST_ENTRY}"))


@_register_long("cut one way, entry host to grantor")
def cut_to_grantor(world):
    grantor = world.grantor_process().name
    return _cut(world, (f"entry/{FIRST_ENTRY}", grantor))


@_register_long("cut one way, grantor to entry host")
def cut_from_grantor(world):
    grantor = world.grantor_process().name
    return _cut(world, (grantor, f"entry/{FIRST_ENTRY}"))


@_register_long("cut both ways, entry host and grantor")
def cut_grantor(world):
    return _cut_both_ways(
        world, f"entry/{FIRST_ENTRY}", world.grantor_process().name
    )


def _cut_both_ways(world, one, other):
    return _cut(world, (one, other), (other, one))


@_register_long("cut both ways, entry host and platform")
def cut_platform(world):
    return _cut_both_ways(world, f"entry/{FIRST_ENTRY}", "platform")


@_register_long("cut both ways, grantor and platform")
def cut_grantor_platform(world):
    return _cut_both_ways(world, world.grantor_process().name, "platform")


@FAULTS.register("slow links to the target")
def slow_target_link(world):
    world.target_delays_s["target-1:1"] = ADDED_DELAY_S
    return world.target_delays_s.clear


def _set_platform_faults(world, **faults):
    before = {name: getattr(world.platform.faults, name) for name in faults}
    for name, value in faults.items():
        setattr(world.platform.faults, name, value)

    def _undo():
        for name, value in before.items():
            setattr(world.platform.faults, name, value)

    return _undo


@_register_long("platform down")
def platform_down(world):
    return _set_platform_faults(world, down=True)


@FAULTS.register("platform slow")
def platform_slow(world):
    return _set_platform_faults(world, slow_s=ADDED_DELAY_S)


@FAULTS.register("platform's acknowledgements lost")
def platform_answers_lost(world):
    return _set_platform_faults(world, answers_lost=40)


@FAULTS.register("host list stale: a live target missing, a dead one listed")
def stale_hosts(world):
    world.platform.remove_host("target-2")
    return kill_target(world)


@FAULTS.register("target leaving")
def target_leaving(world):
    request_worlds.mark_leaving(world, "target-1")
    return _do_nothing


def _set_answer_mode(world, mode):
    for target in world.targets.values():
        target.answer_mode = mode

    def _undo():
        for target in world.targets.values():
            target.answer_mode = ""

    return _undo


@_register_long("target answers late, after the deadline")
def answers_late(world):
    target = _target(world)
    target.faults.slow_s = LATE_ANSWER_DELAY_S

    def _undo():
        target.faults.slow_s = 0.0

    return _undo


@FAULTS.register("target answers twice")
def answers_twice(world):
    return _set_answer_mode(world, "twice")


@FAULTS.register("target answers out of order")
def answers_out_of_order(world):
    return _set_answer_mode(world, "out of order")


@FAULTS.register("target answers half")
def answers_half(world):
    return _set_answer_mode(world, "half")


@FAULTS.register("caller gone")
def caller_gone(world):
    world.probe_scope.cancel()
    return _do_nothing


@_register_long("two: grantor killed, platform down")
def kill_grantor_and_stop_platform(world):
    kill_grantor(world)
    return platform_down(world)


@_register_long("two: entry host cut from grantor, grantor from platform")
def cut_entry_and_grantor(world):
    return _undo_both(cut_grantor(world), cut_grantor_platform(world))


@_register_long("two: entry host frozen, grantor killed")
def freeze_entry_and_kill_grantor(world):
    kill_grantor(world)
    return freeze_entry(world)


@_register_long("two: entry host killed, acknowledgements lost")
def kill_entry_and_lose_answers(world):
    kill_entry(world)
    return platform_answers_lost(world)


@_register_long("two: grantor killed, entry host cut from its successor")
def kill_grantor_and_cut_successor(world):
    grantor = world.grantor_process().name
    (successor,) = {
        name
        for name in world.processes
        if name.startswith("scheduler/") and name != grantor
    }
    kill_grantor(world)
    return _cut_both_ways(world, f"entry/{FIRST_ENTRY}", successor)


@_register_long("two: target late, grantor killed")
def kill_grantor_and_delay_answers(world):
    kill_grantor(world)
    return answers_late(world)


def _undo_both(one, other):
    def _undo():
        one()
        other()

    return _undo

"""Injects each fault at each step of a configuration change."""

import itertools
import unittest
from unittest import mock

import anyio

from wisteriawood import errors
from wisteriawood.links import configurations
from wisteriawood.links import messages
from wisteriawood.links import platforms
from wisteriawood.policies import registry
from wisteriawood.tests import builders
from wisteriawood.zones import configuration_followers

NAMES = ("linz-a-1", "linz-a-2", "wien-b-1", "wien-b-2")
CUT = "linz-a-1"
STEPS = (
    "proposed",
    "committed",
    "acknowledged",
    "polled",
    "passed on",
    "applied",
    "restarted",
)
FAULT_S = 5.0
SETTLE_S = 12.0
LINK_DELAY_S = 0.05
FAULTS = registry.Registry(kind="fault")


class ConfigChangeScenario:
    """Four entry hosts, one cut off from the platform, and an operator."""

    def __init__(self, *, world):
        self.world = world
        self.platform = world.platform
        self.group = anyio.create_task_group()
        self.entries = builders.add_entries(world, NAMES)
        self.processes = {n: world.processes[f"entry/{n}"] for n in NAMES}
        self.violations = []
        self.step_events = dict.fromkeys(STEPS, None)
        self.highest_versions = {}
        self.accepted_deadlines = {}
        for pair in itertools.permutations(self.processes, 2):
            ends = tuple(f"entry/{name}" for name in pair)
            world.delays_s[ends] = LINK_DELAY_S
        for step in STEPS:
            self.step_events[step] = anyio.Event()

    async def start(self):
        await configurations.apply(
            self.platform, builders.make_configuration(), base=0
        )
        await anyio.sleep(4)
        self.world.cut(f"entry/{CUT}", "platform")
        await anyio.sleep(4.3)

    async def restart(self, name):
        """Kill a process; start another one without its state."""
        self.processes[name].kill()
        member = self.entries[name].membership.own
        self.entries[name] = builders.add_entries(
            self.world, [name], peer_addresses=self.addresses(name)
        )[name]
        assert member.name == name
        self.processes[name] = self.world.processes[f"entry/{name}"]
        self.highest_versions.pop(name, None)

    def addresses(self, name):
        return [
            entry.membership.own.peer_address
            for other, entry in self.entries.items()
            if other != name
        ]

    async def watch(self, name):
        """Check the version of a host at each change; record the steps."""
        while True:
            follower = self.entries[name].configuration
            changed = follower.changed
            version = follower.version
            if version < self.highest_versions.get(name, -1):
                self.violations.append(f"{name} reverted to version {version}")
            self.highest_versions[name] = version
            if version >= 2:
                self.record_step("applied" if name == CUT else "polled")
            with anyio.move_on_after(1.0):
                await changed.wait()

    def record_step(self, step):
        self.step_events[step].set()

    async def change(self, deadline_ms, base=1):
        """Apply a change as an operator; record the version returned."""
        document = builders.make_configuration(deadline_ms=deadline_ms)
        platform = RecordingPlatform(scenario=self, inner=self.platform)
        while True:
            try:
                version = await configurations.apply(
                    platform, document, base=base
                )
            except errors.PlatformUnavailableError:
                await anyio.sleep(0.2)
                continue
            except errors.ConfigurationConflictError:
                break
            if version in self.accepted_deadlines:
                self.violations.append(
                    f"two operators received version {version}"
                )
            self.accepted_deadlines[version] = deadline_ms
            break
        self.record_step("acknowledged")

    async def inject(self, step, fault):
        """Inject a fault once a step is reached.

        The step "passed on" is half a link delay after a host has polled
        the change: it is then on its way to the cut-off host.
        """
        await self.step_events[
            "polled" if step == "passed on" else step
        ].wait()
        if step == "passed on":
            await anyio.sleep(LINK_DELAY_S / 2)
            self.record_step("passed on")
        await FAULTS.get(fault)(self)

    async def restart_when_applied(self):
        await self.step_events["applied"].wait()
        await self.restart(CUT)
        self.record_step("restarted")

    async def run(self, step, fault):
        await self.start()
        async with self.group:
            for name in NAMES:
                self.group.start_soon(self.watch, name)
            self.group.start_soon(self.inject, step, fault)
            if step == "restarted":
                self.group.start_soon(self.restart_when_applied)
            await self.change(700)
            for _second in range(60):
                if self.step_events[step].is_set():
                    break
                await anyio.sleep(1)
            await anyio.sleep(FAULT_S + SETTLE_S)
            self.group.cancel_scope.cancel()
        if not self.step_events[step].is_set():
            self.violations.append(f"did not reach step {step}")
        await self.check()

    async def check(self):
        newest = await configurations.read_newest(self.platform)
        for version, deadline_ms in self.accepted_deadlines.items():
            kept = await configurations.read_version(self.platform, version)
            found = kept.document["teams"]["kroupa"]["services"]["shop"]
            if found["deadline_ms"] != deadline_ms:
                self.violations.append(f"version {version} was overwritten")
        if newest.version != max(self.accepted_deadlines, default=1):
            self.violations.append(
                "a change is in force, but was not acknowledged"
            )
        for name, entry in self.entries.items():
            current = entry.configuration.current
            if current.version != newest.version:
                self.violations.append(f"{name} has {current.version}")
            service = current.service("kroupa", "shop")
            wanted = newest.document["teams"]["kroupa"]["services"]["shop"]
            if service and service.deadline_ms != wanted["deadline_ms"]:
                self.violations.append(f"{name} has different content")


class RecordingPlatform:
    """Link of the operator to the platform that records the steps."""

    def __init__(self, *, scenario, inner):
        self.scenario = scenario
        self.inner = inner

    def __getattr__(self, name):
        return getattr(self.inner, name)

    async def commit(self, transaction):
        self.scenario.record_step("proposed")
        await anyio.sleep(0.01)
        try:
            return await self.inner.commit(transaction)
        finally:
            if configurations.keys.CONFIG_HEAD in self.inner.table:
                self.scenario.record_step("committed")
            await anyio.sleep(0.01)


@FAULTS.register("platform down")
async def take_platform_down(scenario):
    scenario.platform.faults.down = True
    await anyio.sleep(FAULT_S)
    scenario.platform.faults.down = False


@FAULTS.register("platform slow")
async def slow_platform(scenario):
    scenario.platform.faults.slow_s = 1.5
    await anyio.sleep(FAULT_S)
    scenario.platform.faults.slow_s = 0.0


@FAULTS.register("answers lost")
async def lose_answers(scenario):
    scenario.platform.faults.answers_lost = 3


@FAULTS.register("peers cut")
async def cut_peers(scenario):
    pairs = [(f"entry/{CUT}", f"entry/{name}") for name in NAMES[1:]]
    for pair in pairs:
        scenario.world.cut(*pair)
    await anyio.sleep(FAULT_S)
    for pair in pairs:
        scenario.world.heal(*pair)


@FAULTS.register("all cut off from the platform")
async def cut_all(scenario):
    pairs = [(f"entry/{name}", "platform") for name in NAMES[1:]]
    for pair in pairs:
        scenario.world.cut(*pair)
    await anyio.sleep(FAULT_S)
    for pair in pairs:
        scenario.world.heal(*pair)


@FAULTS.register("cut-off host replaced")
async def replace_cut_off(scenario):
    await scenario.restart(CUT)


@FAULTS.register("other host replaced")
async def replace_other(scenario):
    await scenario.restart(NAMES[1])


@FAULTS.register("cut-off host frozen")
async def freeze_cut_off(scenario):
    scenario.processes[CUT].freeze()
    await anyio.sleep(FAULT_S)
    scenario.processes[CUT].thaw()


@FAULTS.register("other host frozen")
async def freeze_other(scenario):
    scenario.processes[NAMES[1]].freeze()
    await anyio.sleep(FAULT_S)
    scenario.processes[NAMES[1]].thaw()


@FAULTS.register("another operator")
async def apply_another_change(scenario):
    newest = await configurations.read_newest(scenario.platform)
    await scenario.change(900, base=newest.version)


@FAULTS.register("old messages replayed")
async def replay_old_messages(scenario):
    snapshot = await configurations.read_version(scenario.platform, 1)
    offer = messages.ConfigOffer(snapshot=snapshot)
    changes = messages.ConfigChanges(
        changes=await configurations.read_changes(
            scenario.platform, after=0, limit=1
        )
    )
    for _time in range(2):
        for entry in scenario.entries.values():
            for peer in list(entry.peering.peers.values()):
                peer.start(peer.send, changes)
                peer.start(peer.send, offer)
        await anyio.sleep(1)


def run_case(step, fault):
    """Run one step with one fault and return the violations found."""
    found = []

    async def _check(world):
        scenario = ConfigChangeScenario(world=world)
        await scenario.run(step, fault)
        found.extend(scenario.violations)

    builders.run_world(_check)
    return found


class MatrixTests(unittest.TestCase):

    def check_fault(self, fault):
        for step in STEPS:
            with self.subTest(fault=fault, step=step):
                self.assertEqual([], run_case(step, fault))


def _add_cases(fault):
    name = f"test_{fault.replace(' ', '_').replace('-', '_')}"
    setattr(MatrixTests, name, lambda self: self.check_fault(fault))


for _fault in FAULTS.names():
    _add_cases(_fault)


class ProofTests(unittest.TestCase):
    """Shows that a case fails without a mechanism and passes with it."""

    def check_mechanism(self, step, fault, violation, **disabling_patch):
        with mock.patch.object(**disabling_patch):
            found = run_case(step, fault)
        self.assertIn(violation, found)
        self.assertEqual([], run_case(step, fault))

    def test_forwarding_reaches_hosts_cut_off_from_the_platform(self):
        self.check_mechanism(
            "polled",
            "answers lost",
            f"{CUT} has 1",
            target=configuration_followers.Follower,
            attribute="apply_changes",
            new=_apply_polled_changes_only,
        )

    def test_only_higher_versions_are_applied(self):
        self.check_mechanism(
            "applied",
            "old messages replayed",
            f"{CUT} reverted to version 1",
            target=configuration_followers.Follower,
            attribute="_apply_snapshot",
            new=_apply_any_snapshot,
        )

    def test_commit_is_conditional_on_the_version_seen(self):
        self.check_mechanism(
            "proposed",
            "another operator",
            "two operators received version 2",
            target=configurations.platforms,
            attribute="commit_with_retry",
            new=_commit_unconditionally,
        )

    def test_lost_acknowledgement_is_read_back(self):
        self.check_mechanism(
            "proposed",
            "answers lost",
            "a change is in force, but was not acknowledged",
            target=configurations.platforms,
            attribute="commit_with_retry",
            new=_commit_with_new_id,
        )


_APPLY_CHANGES = configuration_followers.Follower.apply_changes
_APPLY_SNAPSHOT = configuration_followers.Follower._apply_snapshot


def _apply_polled_changes_only(self, changes):
    if not self._links.follows_peers:
        _APPLY_CHANGES(self, changes)


def _apply_any_snapshot(self, snapshot):
    self.current.version = -1
    _APPLY_SNAPSHOT(self, snapshot)


async def _commit_unconditionally(platform, transaction):
    transaction.conditions = []
    return await platform.commit(transaction)


async def _commit_with_new_id(platform, transaction):
    while True:
        try:
            return await platform.commit(transaction)
        except errors.TransactionUnknownError:
            transaction.id = platforms.new_id()

"""Tests of the peer links between entry hosts."""

import unittest

import anyio

from wisteriawood.contracts import holdings
from wisteriawood.tests import builders
from wisteriawood.zones import peering

NAMES = ("linz-a-1", "linz-a-2", "wien-b-1", "wien-b-2")


def links(entries):
    """Return the names (own, peer) of both ends of each open link."""
    return sorted(
        (name, peer.member.name)
        for name, entry in entries.items()
        for peer in entry.peering.peers.values()
    )


class PeeringTests(unittest.TestCase):

    def test_each_link_has_two_ends_and_some_connect_zones(self):
        async def _check(world):
            entries = builders.add_entries(world, NAMES)
            await anyio.sleep(10)
            found = links(entries)
            self.assertEqual(found, sorted((b, a) for a, b in found))
            self.assertEqual(len(found), len(set(found)))
            zones = {(a[:-2], b[:-2]) for a, b in found}
            self.assertIn(("linz-a", "wien-b"), zones)

        builders.run_world(_check)

    def test_links_are_restored_without_the_platform(self):
        async def _check(world):
            entries = builders.add_entries(world, NAMES[:2])
            await anyio.sleep(5)
            world.platform.faults.down = True
            world.cut("entry/linz-a-1", "entry/linz-a-2")
            await anyio.sleep(60)
            self.assertEqual([], links(entries))
            world.heal("entry/linz-a-1", "entry/linz-a-2")
            await anyio.sleep(10)
            self.assertEqual(2, len(links(entries)))

        builders.run_world(_check)

    def test_peers_of_settings_are_dialled_without_the_platform(self):
        async def _check(world):
            world.platform.faults.down = True
            entries = builders.add_entries(world, NAMES[:1])
            address = entries[NAMES[0]].membership.own.peer_address
            entries |= builders.add_entries(
                world, NAMES[1:2], peer_addresses=[address]
            )
            await anyio.sleep(5)
            self.assertEqual(2, len(links(entries)))

        builders.run_world(_check)

    def test_restarted_peer_is_linked_again(self):
        async def _check(world):
            entries = builders.add_entries(world, NAMES[:2])
            await anyio.sleep(5)
            world.processes["entry/linz-a-1"].kill()
            await anyio.sleep(2)
            entries |= builders.add_entries(world, NAMES[:1])
            await anyio.sleep(5)
            self.assertEqual(2, len(links(entries)))

        builders.run_world(_check)

    def test_links_of_a_daemon_are_bounded(self):
        members = [
            builders.make_member(
                name=f"host-{number}",
                role=holdings.Role.ENTRY,
                zone=f"zone-{number % 16}",
            )
            for number in range(240)
        ]
        chosen = [len(peering.choose_peers(own, members)) for own in members]
        self.assertEqual(
            peering.OWN_ZONE_PEERS[holdings.Role.ENTRY]
            + 15 * peering.OTHER_ZONE_PEERS[holdings.Role.ENTRY],
            max(chosen),
        )

"""Tests of how a large configuration reaches entries, as processes."""

import asyncio
import json
import re
import unittest

from tests.host_system import CONFIGURATION, HostSystem
from tests.soak.proxy import Link
from yuccarelay.ports.store import WATCH_WAIT_MS

# Changes of the configuration come in force within 4 s; transfers over the links of
# these tests take some seconds more.
IN_FORCE_LIMIT_S = 12
QUEUES = 1_400
REMOVED_PATH = '/removed/'


def make_configuration(version: int, queues: int = 0, has_removed: bool = False):
    """Return a configuration with the usual queue and some hundred bytes for others."""
    routes = [
        {**CONFIGURATION['routes'][0], 'name': f'q-{n}', 'prefix': f'/other-{n}/'}
        for n in range(queues)
    ]
    if has_removed:
        removed = {'name': 'removed', 'prefix': REMOVED_PATH}
        routes.append({**CONFIGURATION['routes'][0], **removed})
    routes = [*CONFIGURATION['routes'], *routes]
    text = json.dumps({**CONFIGURATION, 'version': version, 'routes': routes})
    return text.encode()


class ConfigurationCase(HostSystem, unittest.IsolatedAsyncioTestCase):
    """Entries that reach the store over a link of their own; no workers."""

    entries = 1
    # 0 is a link without a limit.
    link_bytes_per_s = 0

    def __init__(self, method: str):
        unittest.IsolatedAsyncioTestCase.__init__(self, method)
        HostSystem.__init__(self, workers=0, entries=self.entries)
        self.links: list[Link] = []

    async def map_address(self, node: str, name: str, address: str) -> str:
        link = Link(address, self.link_bytes_per_s)
        await link.start()
        self.addAsyncCleanup(link.stop)
        return link.address

    async def asyncSetUp(self):
        self.addAsyncCleanup(self.stop)
        await self.start()
        self.commit(make_configuration(2, has_removed=True))
        await self.await_status(200)

    def commit(self, text: bytes) -> None:
        self.store.write('op/config', text)

    async def await_status(self, *accepted: int) -> None:
        """Wait until all entries answer the removed queue's callers like this."""

        async def find():
            found = [
                (await self.call('GET', REMOVED_PATH, node))[0]
                for node in self.front_addresses
            ]
            return all(status in accepted for status in found)

        await self.poll(find, f'the queue has status {accepted}', IN_FORCE_LIMIT_S)


class SlowLinkTest(ConfigurationCase):
    """Guards against a configuration that never arrives over a slow link."""

    # 360 kB take almost 2 s, more than a call to the store may be silent.
    link_bytes_per_s = 200_000

    async def test_a_transfer_that_outlasts_the_limit_of_a_call_arrives(self):
        self.commit(make_configuration(3, QUEUES))
        await self.await_status(404)

    async def test_the_newest_of_many_versions_does_not_wait_for_the_older_ones(self):
        # All versions together take 20 s.
        for version in range(3, 14):
            self.commit(make_configuration(version, QUEUES, has_removed=True))
            await asyncio.sleep(0.1)
        self.commit(make_configuration(14, QUEUES))
        await self.await_status(404)


class OverdueTest(ConfigurationCase):
    """Guards against answers by a configuration that is known to be old."""

    # 360 kB take 18 s.
    link_bytes_per_s = 20_000

    async def test_an_entry_with_an_old_configuration_does_not_answer_by_it(self):
        self.commit(make_configuration(3, QUEUES))
        await self.await_status(503, 404)


class SharedLinkTest(ConfigurationCase):
    """Guards against a link that carries the whole text once for each entry."""

    entries = 4

    def find_source(self, node: str) -> str:
        """Return where an entry has its configuration from, by its log."""
        found = re.findall(
            r'event=configuration_source source=(\S+)', self.read_log(node)
        )
        return found[-1] if found else ''

    async def follow_entries(self) -> bool:
        """Whether all entries but one follow another."""
        sources = [self.find_source(node) for node in self.front_addresses]
        return sum(source.startswith('entry-') for source in sources) >= 3

    async def test_entries_hand_a_configuration_on(self):
        # Each entry reads the store until it has found another to follow; a watch that
        # is open then ends within a second.
        await self.poll(self.follow_entries, 'entries follow each other')
        await asyncio.sleep(WATCH_WAIT_MS / 1000 + 0.2)
        self.store.sent_values.clear()
        self.commit(make_configuration(3, QUEUES))
        await self.await_status(404)
        # Two, as an entry that hears nothing from another for a while reads the store.
        self.assertLessEqual(self.store.sent_values['op/config'], 2)

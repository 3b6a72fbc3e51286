"""Watches of the configuration that other entries have on this one."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from yuccarelay.adapters import batch_codec
from yuccarelay.core.batch.configuration_feed import (
    ConfigurationHistory,
    ConfigurationQuery,
    ConfigurationVersion,
)
from yuccarelay.ports.store import WATCH_WAIT_MS

# An entry that does not know whether its version is the newest says so before the
# others give it up.
HOLD_MS = 300


@dataclass(frozen=True, slots=True)
class PeerAsked:
    """Relay to configuration: answer another entry; `reply_to` gets the message."""

    query: ConfigurationQuery
    reply_to: asyncio.Future


class EntryWatches:
    """
    Part of the configuration's task: answers the entries that follow this one.

    `describe_version` returns the version of this entry and for how long it is the
    newest.
    """

    def __init__(self, describe_version: Callable[[], ConfigurationVersion]):
        self.describe_version = describe_version
        self.waiting: list[PeerAsked] = []
        self.encoded: dict[tuple[int, int], bytes] = {}

    def add(self, asked: PeerAsked) -> None:
        """Answer a watch now, or after a change, a confirmation or its wait."""
        version = self.describe_version()
        query = asked.query
        if version.version > query.known or (version.fresh_for_ms and not query.waits):
            self._send(asked, version)
            return
        self.waiting.append(asked)
        hold_ms = HOLD_MS + (WATCH_WAIT_MS if query.waits else 0)
        loop = asyncio.get_running_loop()
        loop.call_later(hold_ms / 1000, self._end_wait, asked)

    def answer(self) -> None:
        """Answer the watches for which there is a newer version or a confirmation."""
        version = self.describe_version()
        for asked in self.waiting.copy():
            if version.fresh_for_ms or asked.query.known < version.version:
                self.waiting.remove(asked)
                self._send(asked, version)

    def send_newer(self, asked: PeerAsked, history: ConfigurationHistory) -> None:
        """Answer with what is newer than the version of another entry."""
        key = (asked.query.known, history.version)
        if key not in self.encoded:
            self.encoded = {
                pair: data for pair, data in self.encoded.items() if pair[1] == key[1]
            }
            self.encoded[key] = batch_codec.encode(history.find_newer(key[0]))
        if not asked.reply_to.done():
            asked.reply_to.set_result(self.encoded[key])

    def _end_wait(self, asked: PeerAsked) -> None:
        """Answer a watch that has waited in vain."""
        if asked in self.waiting:
            self.waiting.remove(asked)
            self._send(asked, self.describe_version())

    def _send(self, asked: PeerAsked, version: ConfigurationVersion) -> None:
        if not asked.reply_to.done():
            asked.reply_to.set_result(batch_codec.encode(version))

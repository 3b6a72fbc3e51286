"""Effects of one step; messages to the process itself are delivered locally."""

from yuccarelay.core.effects import Count, Effect, Log, Reply, Request
from yuccarelay.core.events import MessageReceived, ReplyArrived
from yuccarelay.core.messages import Message
from yuccarelay.core.timing import REQUEST_TIMEOUT_MS


class Outbox:
    """
    Collects the effects of a step.

    A request to the process's own address does not leave the process: it comes
    back as a local event with a negative `reply_to`, and its reply as a local
    `ReplyArrived`. The state machine handles local events before the step ends.
    """

    def __init__(self, own_address: str):
        self.own_address = own_address
        self.effects: list[Effect] = []
        self.local: list[MessageReceived | ReplyArrived] = []
        self.local_tags: dict[int, str] = {}
        self.next_local = -1

    def add(self, effect: Effect) -> None:
        """Add an effect."""
        self.effects.append(effect)

    def send(
        self,
        address: str,
        message: Message,
        tag: str,
        timeout_ms: int = REQUEST_TIMEOUT_MS,
    ) -> None:
        """Send a request; its result arrives as `ReplyArrived` with the tag."""
        if address != self.own_address:
            self.add(Request(address, message, tag, timeout_ms))
            return
        self.local_tags[self.next_local] = tag
        self.local.append(MessageReceived(message, self.next_local))
        self.next_local -= 1

    def reply(self, reply_to: int, message: Message) -> None:
        """Answer a request of another process or of this one."""
        if reply_to > 0:
            self.add(Reply(reply_to, message))
        elif reply_to in self.local_tags:
            tag = self.local_tags.pop(reply_to)
            self.local.append(ReplyArrived(tag, message))

    def log(self, event: str, **fields: object) -> None:
        """Write a log line."""
        self.add(Log(event, fields))

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.add(Count(name, amount))

    def take_local(self) -> MessageReceived | ReplyArrived | None:
        """Remove and return the next local event, or None."""
        return self.local.pop(0) if self.local else None

    def take_effects(self) -> list[Effect]:
        """Return the collected effects and clear them."""
        effects, self.effects = self.effects, []
        return effects

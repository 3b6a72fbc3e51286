"""
Mailboxes of tasks.

A task owns its sockets and its state and reads one mailbox. Other tasks communicate
with it only by putting a message there. `run` of a task ends when it is cancelled.
"""

import asyncio

Mailbox = asyncio.Queue

"""A loopback proxy whose links can be impaired while they are in use."""

import asyncio
import contextlib
import enum

CHUNK_BYTES = 65_536
# Small, so that the connections of a narrow link take turns.
NARROW_CHUNK_BYTES = 4_096


class LinkImpairment(enum.Enum):
    """
    How a link is impaired.

    SILENT blocks both directions, ONE_WAY only the replies; the blocked bytes are
    lost when their connection ends. REFUSE resets new and open connections.
    """

    NONE = 'none'
    DELAY = 'delay'
    SILENT = 'silent'
    ONE_WAY = 'one_way'
    REFUSE = 'refuse'


DELAY_S = 0.15


class Link:
    """
    Forwards connections to one address.

    All replies together pass at `replies_bytes_per_s`, or unlimited if it is 0.
    """

    def __init__(self, target: str, replies_bytes_per_s: int = 0):
        host, _, port = target.rpartition(':')
        self.target = (host, int(port))
        self.impairment = LinkImpairment.NONE
        self.replies_bytes_per_s = replies_bytes_per_s
        self.narrow_turn = asyncio.Lock()
        self.address = ''
        self.server: asyncio.Server | None = None
        self.connections: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    async def stop(self) -> None:
        """Close the listening socket and abort the open connections."""
        self.server.close()
        self.reset()

    def set_impairment(self, impairment: LinkImpairment) -> None:
        """Impair the link or restore it; blocked connections stay blocked."""
        self.impairment = impairment
        if impairment is LinkImpairment.REFUSE:
            self.reset()

    def reset(self) -> None:
        """Abort the open connections."""
        for task in list(self.connections):
            task.cancel()

    async def _accept(self, reader, writer) -> None:
        task = asyncio.current_task()
        self.connections.add(task)
        # `reset` cancels this task; no other task awaits it.
        with contextlib.suppress(asyncio.CancelledError):
            await self._forward(reader, writer)
        self.connections.discard(task)

    async def _forward(self, reader, writer) -> None:
        """Connect to the target and forward bytes in both directions."""
        other = None
        try:
            if self.impairment is LinkImpairment.REFUSE:
                return
            upstream, other = await asyncio.open_connection(*self.target)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(reader, other, LinkImpairment.SILENT))
                group.create_task(
                    self._pump(
                        upstream,
                        writer,
                        LinkImpairment.SILENT,
                        LinkImpairment.ONE_WAY,
                        is_reply=True,
                    )
                )
        except* (OSError, ConnectionError, EOFError):
            pass
        finally:
            for end in (writer, other):
                if end is not None:
                    end.transport.abort()

    async def _pump(
        self, reader, writer, *blocking: LinkImpairment, is_reply: bool = False
    ) -> None:
        """Forward bytes; if the impairment blocks this direction, wait for ever."""
        is_narrow = is_reply and self.replies_bytes_per_s > 0
        chunk_bytes = NARROW_CHUNK_BYTES if is_narrow else CHUNK_BYTES
        while data := await reader.read(chunk_bytes):
            if is_narrow:
                async with self.narrow_turn:
                    await asyncio.sleep(len(data) / self.replies_bytes_per_s)
            if self.impairment in blocking:
                # The bytes read are lost; only a new connection works again.
                await asyncio.Event().wait()
            if self.impairment is LinkImpairment.DELAY:
                await asyncio.sleep(DELAY_S)
            writer.write(data)
            await writer.drain()
        with contextlib.suppress(OSError, RuntimeError):
            writer.write_eof()
        raise EOFError

"""A proxy on loopback whose links can be harmed while they are in use."""

import asyncio
import contextlib
import enum

CHUNK_BYTES = 65_536


class LinkImpairment(enum.Enum):
    """
    What happens to a link.

    SILENT holds back both directions, ONE_WAY the answers only; what was held
    back is lost with its connection. REFUSE resets new and open connections.
    """

    NONE = 'none'
    DELAY = 'delay'
    SILENT = 'silent'
    ONE_WAY = 'one_way'
    REFUSE = 'refuse'


DELAY_S = 0.15


class Link:
    """Forwards connections to one address."""

    def __init__(self, target: str):
        host, _, port = target.rpartition(':')
        self.target = (host, int(port))
        self.impairment = LinkImpairment.NONE
        self.address = ''
        self.server: asyncio.Server | None = None
        self.connections: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listen on a port of the system's choice."""
        self.server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    async def stop(self) -> None:
        """Close everything."""
        self.server.close()
        self.reset()

    def set_impairment(self, impairment: LinkImpairment) -> None:
        """Harm the link, or heal it; held connections stay held."""
        self.impairment = impairment
        if impairment is LinkImpairment.REFUSE:
            self.reset()

    def reset(self) -> None:
        """Break off the open connections."""
        for task in list(self.connections):
            task.cancel()

    async def _accept(self, reader, writer) -> None:
        task = asyncio.current_task()
        self.connections.add(task)
        # A reset cancels the task; nobody waits for it.
        with contextlib.suppress(asyncio.CancelledError):
            await self._forward(reader, writer)
        self.connections.discard(task)

    async def _forward(self, reader, writer) -> None:
        """Connect to the target and pass bytes both ways."""
        other = None
        try:
            if self.impairment is LinkImpairment.REFUSE:
                return
            upstream, other = await asyncio.open_connection(*self.target)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(reader, other, LinkImpairment.SILENT))
                group.create_task(
                    self._pump(
                        upstream, writer, LinkImpairment.SILENT, LinkImpairment.ONE_WAY
                    )
                )
        except* (OSError, ConnectionError, EOFError):
            pass
        finally:
            for end in (writer, other):
                if end is not None:
                    end.transport.abort()

    async def _pump(self, reader, writer, *holding: LinkImpairment) -> None:
        """Pass bytes on; while the link holds them back, wait for ever."""
        while data := await reader.read(CHUNK_BYTES):
            if self.impairment in holding:
                # A cut loses what is under way; only a new connection works.
                await asyncio.Event().wait()
            if self.impairment is LinkImpairment.DELAY:
                await asyncio.sleep(DELAY_S)
            writer.write(data)
            await writer.drain()
        with contextlib.suppress(OSError, RuntimeError):
            writer.write_eof()
        raise EOFError

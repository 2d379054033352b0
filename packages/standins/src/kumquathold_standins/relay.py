"""A relay between processes: delays, one-way cuts and silent connections.

Each link is a listener of its own that forwards to one address. A cut link
loses what is sent over it while its connections stay open, as when something
between the ends has lost track of them; new connections to a cut link are
taken and stay silent too, unless only the old ones are silenced.
"""

from __future__ import annotations

import asyncio
import socket
import struct
import threading
from collections.abc import Iterator
from contextlib import contextmanager, suppress

CHUNK_BYTES = 64 * 1024
START_SECONDS = 5.0
STALL_POLL_SECONDS = 0.01
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class Link:
    """One way from one process to another."""

    def __init__(self, listen: str, target: str, delay: float) -> None:
        """Forward everything to begin with."""
        self.listen = listen
        self.target = target
        self.delay = delay
        self.is_cut = False
        self.generation = 0
        self.stalled_generation = -1
        self.bytes = 0
        self.writers: set[asyncio.StreamWriter] = set()

    def cut(self) -> None:
        """Lose what is sent from now on, on old and new connections."""
        self.is_cut = True

    def heal(self) -> None:
        """Forward again, on new connections only."""
        self.is_cut = False
        self.generation += 1

    def stall(self) -> None:
        """Hold back what is sent on the connections open now."""
        self.stalled_generation = self.generation
        self.generation += 1

    def release(self) -> None:
        """Deliver what was held back, however late."""
        self.stalled_generation = -1

    def silence(self) -> None:
        """Lose what is sent on the connections open now; new ones work."""
        self.generation += 1


class Relay:
    """All links, served by one event loop on a thread of its own."""

    def __init__(self) -> None:
        """Start without links."""
        self.loop = asyncio.new_event_loop()
        self.links: dict[tuple[str, str], Link] = {}
        self.servers: list[asyncio.Server] = []
        self.tasks: set[asyncio.Task[None] | None] = set()

    def add(self, name: tuple[str, str], link: Link) -> None:
        """Open a link."""
        self.links[name] = link
        future = asyncio.run_coroutine_threadsafe(
            self._serve(link),
            self.loop,
        )
        future.result(START_SECONDS)

    def between(self, first: set[str], second: set[str]) -> list[Link]:
        """The links from one set of processes to another."""
        return [
            link
            for (sender, receiver), link in self.links.items()
            if sender in first and receiver in second
        ]

    def reset(self, link: Link) -> None:
        """Reset the connections that are open over a link, at both ends."""
        self.loop.call_soon_threadsafe(_reset_all, link)

    @contextmanager
    def running(self) -> Iterator[Relay]:
        """Serve while the block runs."""
        thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        thread.start()
        try:
            yield self
        finally:
            closing = asyncio.run_coroutine_threadsafe(self._close(), self.loop)
            closing.result(START_SECONDS)
            self.loop.call_soon_threadsafe(self.loop.stop)
            thread.join()
            self.loop.close()

    async def _serve(self, link: Link) -> None:
        host, _, port = link.listen.rpartition(':')

        async def forward(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            # The loop itself keeps only weak references to its tasks.
            self.tasks.add(asyncio.current_task())
            with suppress(asyncio.CancelledError):
                await _forward(link, reader, writer)
            self.tasks.discard(asyncio.current_task())

        server = await asyncio.start_server(forward, host, int(port))
        self.servers.append(server)

    async def _close(self) -> None:
        """Take no new connections, and end all that are open."""
        for server in self.servers:
            server.close()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        while tasks:
            for task in tasks:
                task.cancel()
            await asyncio.wait(tasks)
            tasks = asyncio.all_tasks() - {asyncio.current_task()}


async def _forward(
    link: Link,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    host, _, port = link.target.rpartition(':')
    try:
        there, back = await asyncio.open_connection(host, int(port))
    except OSError:
        writer.close()
        return
    link.writers.update((back, writer))
    outward = Direction(link, reader, back)
    inward = Direction(link, there, writer)
    try:
        await asyncio.gather(outward.pump(), inward.pump())
    finally:
        link.writers.difference_update((back, writer))
        back.close()
        writer.close()


def _reset_all(link: Link) -> None:
    for writer in link.writers:
        sock = writer.get_extra_info('socket')
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        writer.transport.abort()


class Direction:
    """One direction of one connection; delays keep the order."""

    def __init__(
        self,
        link: Link,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Take both ends."""
        self.link = link
        self.generation = link.generation
        self.was_stalled = False
        self.reader = reader
        self.writer = writer
        self.pending: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()

    @property
    def is_stalled(self) -> bool:
        """Whether what is sent is held back."""
        return self.link.stalled_generation == self.generation

    @property
    def is_lost(self) -> bool:
        """Whether what is sent goes nowhere."""
        is_old = self.link.generation != self.generation
        return self.link.is_cut or (is_old and not self.was_stalled)

    async def pump(self) -> None:
        """Forward until one end closes."""
        delivery = asyncio.create_task(self._deliver_all())
        chunk = b'-'
        while chunk:
            chunk = await self._read()
            due_at = asyncio.get_running_loop().time() + self.link.delay
            self.pending.put_nowait((due_at, chunk))
        await delivery

    async def _read(self) -> bytes:
        try:
            return await self.reader.read(CHUNK_BYTES)
        except OSError:
            return b''

    async def _deliver_all(self) -> None:
        is_open = True
        while is_open:
            due_at, chunk = await self.pending.get()
            await asyncio.sleep(
                max(0, due_at - asyncio.get_running_loop().time()),
            )
            while self.is_stalled:
                self.was_stalled = True
                await asyncio.sleep(STALL_POLL_SECONDS)
            if not self.is_lost:
                is_open = await self._deliver(chunk)
            elif not chunk:
                is_open = False

    async def _deliver(self, chunk: bytes) -> bool:
        if not chunk:
            self.writer.close()
            return False
        self.link.bytes += len(chunk)
        try:
            self.writer.write(chunk)
            await self.writer.drain()
        except OSError:
            return False
        return True

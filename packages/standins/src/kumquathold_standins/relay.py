"""A fault-injecting TCP relay: delays, cuts and silent connections.

Each link is a listener that forwards to one address. A cut link drops data in
both directions of its connections but keeps them open, as a NAT or firewall
does that has lost its connection state. New connections to a cut link are
accepted and silent as well; `Link.silence` affects only the open ones.
"""

from __future__ import annotations

import asyncio
import socket
import struct
import threading
from collections.abc import Iterator
from contextlib import contextmanager, suppress

CHUNK_BYTES = 64 * 1024
TASK_TIMEOUT_SECONDS = 5.0
STALL_POLL_INTERVAL_SECONDS = 0.01
LINGER_WITH_RESET = struct.pack('ii', 1, 0)
"""Value of SO_LINGER: on, 0 s, so that a close sends a reset."""


class Link:
    """A forwarded route for the connections of one process to another."""

    def __init__(self, listen: str, target: str, delay: float) -> None:
        """Create a link without faults.

        The relay accepts connections on `listen` and forwards them to
        `target`. Each chunk of either direction takes `delay` seconds.
        """
        self.listen = listen
        self.target = target
        self.delay = delay
        self.is_cut = False
        self.generation = 0
        self.stalled_generation = -1
        self.forwarded_bytes = 0
        self.writers: set[asyncio.StreamWriter] = set()

    def cut(self) -> None:
        """Drop all data from now on, on open and new connections."""
        self.is_cut = True

    def heal(self) -> None:
        """Forward again on new connections; the open ones stay silent."""
        self.is_cut = False
        self.generation += 1

    def stall(self) -> None:
        """Hold back data on the open connections; new ones work."""
        self.stalled_generation = self.generation
        self.generation += 1

    def release(self) -> None:
        """Deliver the data that `stall` held back."""
        self.stalled_generation = -1

    def silence(self) -> None:
        """Drop data on the open connections; new ones work."""
        self.generation += 1


class Relay:
    """Serves all links with one event loop on a separate thread."""

    def __init__(self) -> None:
        """Create a relay without links."""
        self.loop = asyncio.new_event_loop()
        self.links: dict[tuple[str, str], Link] = {}
        self.servers: list[asyncio.Server] = []
        self.tasks: set[asyncio.Task[None] | None] = set()

    def add(self, name: tuple[str, str], link: Link) -> None:
        """Start to listen on a link, named by its sender and receiver."""
        self.links[name] = link
        future = asyncio.run_coroutine_threadsafe(
            self._serve(link),
            self.loop,
        )
        future.result(TASK_TIMEOUT_SECONDS)

    def between(self, first: set[str], second: set[str]) -> list[Link]:
        """Return the links from one set of processes to another."""
        return [
            link
            for (sender, receiver), link in self.links.items()
            if sender in first and receiver in second
        ]

    def reset(self, link: Link) -> None:
        """Reset the open connections of a link at both ends."""
        self.loop.call_soon_threadsafe(_reset_connections, link)

    @contextmanager
    def running(self) -> Iterator[Relay]:
        """Serve the links for the duration of the block."""
        thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        thread.start()
        try:
            yield self
        finally:
            closing = asyncio.run_coroutine_threadsafe(self._close(), self.loop)
            closing.result(TASK_TIMEOUT_SECONDS)
            self.loop.call_soon_threadsafe(self.loop.stop)
            thread.join()
            self.loop.close()

    async def _serve(self, link: Link) -> None:
        host, _, port = link.listen.rpartition(':')

        async def forward(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            # The event loop keeps only weak references to its tasks.
            self.tasks.add(asyncio.current_task())
            with suppress(asyncio.CancelledError):
                await _forward(link, reader, writer)
            self.tasks.discard(asyncio.current_task())

        server = await asyncio.start_server(forward, host, int(port))
        self.servers.append(server)

    async def _close(self) -> None:
        """Close the listeners and cancel the tasks of open connections."""
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
        target_reader, target_writer = await asyncio.open_connection(
            host, int(port)
        )
    except OSError:
        writer.close()
        return
    link.writers.update((target_writer, writer))
    outward = Direction(link, reader, target_writer)
    inward = Direction(link, target_reader, writer)
    try:
        await asyncio.gather(outward.pump(), inward.pump())
    finally:
        link.writers.difference_update((target_writer, writer))
        target_writer.close()
        writer.close()


def _reset_connections(link: Link) -> None:
    for writer in link.writers:
        sock = writer.get_extra_info('socket')
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_WITH_RESET)
        writer.transport.abort()


class Direction:
    """One direction of one connection; delayed chunks keep their order."""

    def __init__(
        self,
        link: Link,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Store the streams and the link's current generation."""
        self.link = link
        self.generation = link.generation
        self.was_stalled = False
        self.reader = reader
        self.writer = writer
        self.pending: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()

    @property
    def is_stalled(self) -> bool:
        """Whether data is held back."""
        return self.link.stalled_generation == self.generation

    @property
    def is_dropping(self) -> bool:
        """Whether data is dropped."""
        is_old = self.link.generation != self.generation
        return self.link.is_cut or (is_old and not self.was_stalled)

    async def pump(self) -> None:
        """Forward chunks until the sender closes the connection."""
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
                await asyncio.sleep(STALL_POLL_INTERVAL_SECONDS)
            if not self.is_dropping:
                is_open = await self._deliver(chunk)
            elif not chunk:
                is_open = False

    async def _deliver(self, chunk: bytes) -> bool:
        if not chunk:
            self.writer.close()
            return False
        self.link.forwarded_bytes += len(chunk)
        try:
            self.writer.write(chunk)
            await self.writer.drain()
        except OSError:
            return False
        return True

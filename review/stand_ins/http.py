"""Serve and send HTTP/1.1 messages over asyncio streams, without a library."""

import asyncio
import json
import socket
import struct
from dataclasses import dataclass, field


@dataclass
class Message:
    """Hold a request or a response; header names are in lower case."""

    first: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def method(self):
        return self.first.split(" ")[0]

    @property
    def target(self):
        return self.first.split(" ")[1]

    @property
    def status(self):
        return int(self.first.split(" ")[1])

    def json(self):
        return json.loads(self.body)


@dataclass
class Reply:
    """Hold a response to send; with ``reset`` the connection is reset instead."""

    status: int = 200
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    reset: bool = False


def json_reply(status, value, **headers):
    headers = {"Content-Type": "application/json", **headers}
    return Reply(status, headers, json.dumps(value).encode())


def reset(writer):
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.close()


async def read_message(reader):
    """Return the next message, None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    try:
        if headers.get("transfer-encoding") == "chunked":
            body = bytearray()
            while size := int((await reader.readline()).split(b";")[0], 16):
                body += await reader.readexactly(size)
                await reader.readline()
            await reader.readline()
            body = bytes(body)
        else:
            body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Message(first, headers, body)


def encode(first, headers, body):
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """Own a listener; the handler's task ends if the peer closes the connection."""

    def __init__(self, address, handler, is_doubled=lambda request: False):
        self.address = address
        self._handler = handler
        self._is_doubled = is_doubled  # tells which answers are given twice
        self._server = None
        self._writers = set()
        self._tasks = set()

    async def start(self, listener=None):
        """Listen at the address, or on a socket that is bound to it already."""
        if listener is not None:
            self._server = await asyncio.start_server(self._connection, sock=listener)
            return
        host, port = self.address.rsplit(":", 1)
        self._server = await asyncio.start_server(self._connection, host, int(port))

    async def _connection(self, reader, writer):
        self._writers.add(writer)
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while (request := await read_message(reader)) is not None:
                reply = await self._answer(request, reader)
                if reply is None or reply.reset:
                    reset(writer)
                    return
                first = f"HTTP/1.1 {reply.status} Any"
                data = encode(first, reply.headers, reply.body)
                if self._is_doubled(request):
                    data += data
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            writer.close()

    async def _answer(self, request, reader):
        """Run the handler; return None if the peer closes the connection first."""
        work = asyncio.ensure_future(self._handler(request))
        try:
            while not work.done():
                await asyncio.wait([work], timeout=0.02)
                if reader.at_eof() or reader.exception() is not None:
                    return None
            return work.result()
        finally:
            if not work.done():
                work.cancel()

    async def abort(self):
        """Refuse new connections and reset the open ones, as a killed process does."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            reset(writer)
        await asyncio.sleep(0)


class Connection:
    """Own a client's connection and send one request at a time."""

    def __init__(self, address):
        self.address = address
        self.reader = self.writer = None

    async def request(self, method, target, headers, body=b"", timeout=5.0):
        """Return the response, or None if the connection broke off."""
        try:
            async with asyncio.timeout(timeout):
                if self.writer is None:
                    host, port = self.address.rsplit(":", 1)
                    self.reader, self.writer = await asyncio.open_connection(
                        host, int(port)
                    )
                self.writer.write(encode(f"{method} {target} HTTP/1.1", headers, body))
                await self.writer.drain()
                response = await read_message(self.reader)
        except (OSError, TimeoutError):
            response = None
        if response is None or response.headers.get("connection") == "close":
            self.close()
        return response

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

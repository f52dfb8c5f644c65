"""Send and receive on a socket with as few turns of the event loop as possible."""

import socket
import struct
from contextlib import suppress

import trio

__all__ = ["DirectStream", "connect", "split_address"]

# A silent connection ends within three seconds, before what it carries is needed.
PROBE_AFTER = 1  # seconds without traffic
PROBE_INTERVAL = 1  # seconds
PROBES = 2


class DirectStream:
    """Own a connected TCP socket.

    ``trio.SocketStream`` lets other tasks run after each call, which costs a turn of
    the event loop. Here a call that succeeds at once returns at once, so callers
    must wait for something else between two calls, such as the next request.
    """

    def __init__(self, connected: socket.socket) -> None:
        connected.setblocking(False)
        self._socket = connected

    @classmethod
    def take_over(cls, stream: trio.SocketStream) -> "DirectStream":
        """Return a stream on the socket of another one, which ends."""
        return cls(_detached(stream.socket))

    async def send_all(self, data: bytes | bytearray) -> None:
        """Send all of the data.

        Raise trio.BrokenResourceError or trio.ClosedResourceError if it cannot be
        sent.
        """
        with memoryview(data) as view:
            sent = 0
            while sent < len(view):
                try:
                    sent += self._socket.send(view[sent:])
                except BlockingIOError:
                    await self._wait(trio.lowlevel.wait_writable)
                except OSError as error:
                    raise self._failure(error) from error

    async def receive_some(self, size: int) -> bytes:
        """Return the next bytes, empty at the end of the stream.

        Raise trio.BrokenResourceError or trio.ClosedResourceError if the connection
        broke or was closed here.
        """
        while True:
            await self._wait(trio.lowlevel.wait_readable)
            try:
                return self._socket.recv(size)
            except BlockingIOError:
                continue
            except OSError as error:
                raise self._failure(error) from error

    async def _wait(self, wait) -> None:
        if self._socket.fileno() < 0:
            raise trio.ClosedResourceError("the connection was closed")
        await wait(self._socket)

    def _failure(self, error: OSError) -> Exception:
        if self._socket.fileno() < 0:
            return trio.ClosedResourceError("the connection was closed")
        return trio.BrokenResourceError(f"connection broke: {error!r}")

    def is_quiet(self) -> bool:
        """Tell whether nothing arrived, neither bytes nor the end."""
        try:
            self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    async def send_eof(self) -> None:
        """Tell the other side that nothing more will be sent."""
        with suppress(OSError):  # the other side has closed already
            self._socket.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """Close the connection at once; may be repeated."""
        if self._socket.fileno() >= 0:
            trio.lowlevel.notify_closing(self._socket)
            self._socket.close()

    def reset(self) -> None:
        """Close the connection with a reset.

        An HTTP/1.0 caller would take a plain close for the end of a response.
        """
        if self._socket.fileno() >= 0:
            linger = struct.pack("ii", 1, 0)
            with suppress(OSError):  # the connection is broken already
                self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.close()

    def limit_transit(self, seconds: float) -> None:
        """Let the kernel give data up that is not acknowledged for so long."""
        milliseconds = int(seconds * 1000)
        self._socket.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds
        )

    def probe_while_idle(self) -> None:
        """Let the kernel end the connection if its peer has gone silent."""
        for option, value in (
            (socket.TCP_KEEPIDLE, PROBE_AFTER),
            (socket.TCP_KEEPINTVL, PROBE_INTERVAL),
            (socket.TCP_KEEPCNT, PROBES),
        ):
            self._socket.setsockopt(socket.IPPROTO_TCP, option, value)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of ``host:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


async def connect(address: str) -> DirectStream:
    """Return a stream to ``IP:port``; raise OSError if there is no connection."""
    connecting = trio.socket.socket()
    try:
        await connecting.connect(split_address(address))
        connecting.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except BaseException:
        connecting.close()
        raise
    return DirectStream(_detached(connecting))


def _detached(owned: trio.socket.SocketType) -> socket.socket:
    """Return the plain socket of one that trio owned."""
    return socket.socket(owned.family, owned.type, owned.proto, owned.detach())

"""Send and receive on a socket with few iterations of the event loop."""

import errno
import socket
import struct
from contextlib import suppress

import trio

__all__ = ["DirectStream", "connect", "split_address"]

# TCP keepalive closes a connection to a silent peer within three seconds, so that a
# pending watch need not wait for its own timeout, which may be longer.
KEEPALIVE_IDLE = 1  # seconds without traffic
KEEPALIVE_INTERVAL = 1  # seconds
KEEPALIVE_PROBES = 2


class DirectStream:
    """Own a connected TCP socket.

    ``trio.SocketStream`` yields to other tasks in each call, which costs an iteration
    of the event loop. Here a call that need not block may return without yielding.
    Callers must therefore wait for something else between two calls, such as the next
    request.
    """

    def __init__(self, connected: socket.socket) -> None:
        connected.setblocking(False)
        self._socket = connected
        # An error that the kernel has reported and a read has not raised yet.
        self._found_error: OSError | None = None

    @classmethod
    def from_trio(cls, stream: trio.SocketStream) -> "DirectStream":
        """Take the socket out of ``stream`` and return a DirectStream on it."""
        return cls(_detach_socket(stream.socket))

    async def send_all(self, data: bytes | bytearray) -> None:
        """Send all data.

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
                    self._keep_error(error)
                    raise self._stream_error(error) from error

    async def receive_some(self, size: int) -> bytes:
        """Return the next bytes, empty at the end of the stream.

        Raise trio.BrokenResourceError or trio.ClosedResourceError if the connection
        broke or was closed here.
        """
        while True:
            await self._wait(trio.lowlevel.wait_readable)
            try:
                data = self._socket.recv(size)
            except BlockingIOError:
                continue
            except OSError as error:
                raise self._stream_error(error) from error
            if not data and self._found_error is not None:
                raise self._stream_error(self._found_error) from self._found_error
            return data

    def _keep_error(self, error: OSError) -> None:
        """Keep an error for the read that reaches the end of the stream.

        The kernel reports it once, and that read would find a regular end: a response
        that was reset would look complete. EPIPE says nothing of what the peer sent
        before; it may have shut down its side first.
        """
        if error.errno != errno.EPIPE and self._found_error is None:
            self._found_error = error

    async def _wait(self, wait) -> None:
        if self._socket.fileno() < 0:
            raise trio.ClosedResourceError("the connection was closed")
        await wait(self._socket)

    def _stream_error(self, error: OSError) -> Exception:
        if self._socket.fileno() < 0:
            return trio.ClosedResourceError("the connection was closed")
        return trio.BrokenResourceError(f"connection broke: {error!r}")

    def is_idle(self) -> bool:
        """Tell whether neither data nor the end of the stream has arrived."""
        try:
            self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError as error:
            self._keep_error(error)
            return False
        return False

    async def send_eof(self) -> None:
        """Shut down the sending side of the connection."""
        with suppress(OSError):  # the peer has closed the connection
            self._socket.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """Close the connection immediately; may be called more than once."""
        if self._socket.fileno() >= 0:
            trio.lowlevel.notify_closing(self._socket)
            self._socket.close()

    def reset(self) -> None:
        """Close the connection with a reset.

        An HTTP/1.0 caller would read a plain close as the end of a response.
        """
        if self._socket.fileno() >= 0:
            linger = struct.pack("ii", 1, 0)
            with suppress(OSError):  # the connection is already broken
                self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.close()

    def set_user_timeout(self, seconds: float) -> None:
        """Let the kernel end a connection with data unacknowledged for ``seconds``."""
        milliseconds = int(seconds * 1000)
        self._socket.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds
        )

    def limit_receive_buffer(self, size: int) -> None:
        """Let the kernel keep about ``size`` unread bytes at most."""
        with suppress(OSError):  # the connection is already broken
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)

    def enable_keepalive(self) -> None:
        """Let the kernel end the connection if its peer is silent."""
        for option, value in (
            (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE),
            (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL),
            (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        ):
            self._socket.setsockopt(socket.IPPROTO_TCP, option, value)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of ``host:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


async def connect(address: str) -> DirectStream:
    """Connect to ``IP:port``; raise OSError if the connection fails."""
    new_socket = trio.socket.socket()
    try:
        await new_socket.connect(split_address(address))
        new_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except (ValueError, OverflowError) as error:
        new_socket.close()
        raise OSError(f"the address cannot be used: {error!r}") from error
    except BaseException:
        new_socket.close()
        raise
    return DirectStream(_detach_socket(new_socket))


def _detach_socket(owned: trio.socket.SocketType) -> socket.socket:
    """Detach a socket from trio and return it as a plain socket."""
    return socket.socket(owned.family, owned.type, owned.proto, owned.detach())

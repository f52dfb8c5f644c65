"""Exchange messages with other instances over msgpack streams."""

from collections.abc import Awaitable, Callable
from functools import partial

import attrs
import trio

from fireflystand_core.exceptions import FireflystandError, ProtocolError
from fireflystand_core.messages import Accepted, Decoder, Hello, encode

from .events import (
    PEER_CALL_FAILED,
    PEER_REPLY_DROPPED,
    PEER_STREAM_SILENT,
    emit,
    emit_limited,
)
from .future import Future
from .reply_monitor import ReplyMonitor
from .streams import DirectStream, connect, split_address
from .timers import sleep_until_next

__all__ = ["PeerLink", "PeerNetwork", "PeerUnavailableError", "Reply"]

READ_SIZE = 65536
CONNECT_TIMEOUT = 1.0  # seconds
MAX_QUEUED_MESSAGES = 10_000
CHECK_INTERVAL = 0.5  # seconds between two checks of the outgoing streams
MAX_CHECK_DELAY = 0.5  # seconds; after a longer one, replies may not be read yet
# What was sent on an incoming stream before its peer opened the next one is read for
# this long.
SUPERSEDED_LINK_TIMEOUT = 1.0  # seconds

Handler = Callable[[object, "PeerLink"], Awaitable[object | None]]
Reply = Callable[[object], None]
DirectHandler = Callable[[object, "PeerLink", Reply], None]


class PeerUnavailableError(FireflystandError):
    """Report a peer that could not be reached or did not reply.

    ``refused`` is true if the connection was refused, by its host or by a partition,
    so that nothing was sent.
    """

    def __init__(self, message: str, *, step: str, peer: str, refused: bool = False):
        super().__init__(message, step=step, peer=peer)
        self.refused = refused


@attrs.define(eq=False)
class PeerLink:
    """Identify the peer at the other end of an incoming stream."""

    hello: Hello
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    lost: trio.Event = attrs.field(factory=trio.Event)

    def supersede(self) -> None:
        """End the stream soon, since its peer has opened another one.

        The end of a silent stream would never arrive.
        """
        self.scope.deadline = trio.current_time() + SUPERSEDED_LINK_TIMEOUT


class _OutgoingStream:
    """Own the outgoing stream to one peer and match replies to requests."""

    def __init__(
        self,
        peer: str,
        address: str,
        hello: Hello,
        on_end: Callable[[str, bool], None],
    ) -> None:
        self._on_end = on_end
        self.peer = peer
        self.address = address
        self._hello = hello
        self._last_correlation = 0
        self._pending_replies: dict[int, Future] = {}  # set to None if the stream ends
        send, receive = trio.open_memory_channel(MAX_QUEUED_MESSAGES)
        self._send_queue: trio.MemorySendChannel = send
        self._queued: trio.MemoryReceiveChannel = receive
        self._scope = trio.CancelScope()
        self._monitor = ReplyMonitor(trio.current_time())
        self._is_connected = False
        self._is_silent = False
        self.error: PeerUnavailableError | None = None

    async def run(self) -> None:
        """Connect, send queued messages and deliver replies until the stream ends."""
        with self._scope:
            try:
                await self._exchange_messages()
            except* (OSError, trio.TooSlowError, trio.BrokenResourceError) as group:
                self._fail("stream", group.exceptions[0])
            except* ProtocolError as group:
                self._fail("decode", group.exceptions[0])
        if self.error is None:
            self._fail("stream", None)
        self._queued.close()

    async def _exchange_messages(self) -> None:
        with trio.fail_after(CONNECT_TIMEOUT):
            stream = await connect(self.address)
        self._monitor.restart(trio.current_time())
        self._is_connected = True
        try:
            await stream.send_all(encode(0, self._hello))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_write_queued, stream, self._queued)
                await self._read(stream)
                nursery.cancel_scope.cancel()
        finally:
            if self._is_silent:
                # The bytes that did not arrive must not follow those of a new stream.
                stream.reset()
            stream.close()

    async def _read(self, stream: DirectStream) -> None:
        decoder = Decoder(self.peer)
        while data := await stream.receive_some(READ_SIZE):
            now = trio.current_time()
            self._monitor.record_received(now)
            for envelope in decoder.feed(data):
                self._monitor.record_reply(envelope.correlation, now)
                pending = self._pending_replies.pop(envelope.correlation, None)
                if pending is not None:
                    pending.set(envelope.message)

    def _fail(self, step: str, error: Exception | None) -> None:
        self.error = PeerUnavailableError(
            f"stream to peer ended: {error!r}",
            step=step,
            peer=self.peer,
            refused=_is_refused(error),
        )
        for pending in self._pending_replies.values():
            pending.set(None)
        self._pending_replies.clear()
        self._on_end(self.peer, self.error.refused)

    def check(self, now: float) -> None:
        """Send a probe if one is due; end the stream if its peer has not answered."""
        if not self._is_connected or self.error is not None:
            return
        if self._monitor.is_silent(now):
            self._end_silent()
        elif self._monitor.is_probe_due(now, bool(self._pending_replies)):
            self._send_probe(now)

    def restart_check(self, now: float) -> None:
        """Wait anew for replies, after this process has stood still."""
        self._monitor.restart(now)

    def _send_probe(self, now: float) -> None:
        # Each message with a correlation number is answered, and instances of all
        # builds know this one.
        self._last_correlation += 1
        probe = encode(self._last_correlation, Accepted())
        self._monitor.record_probe(now)
        try:
            self._enqueue(probe, "probe")
        except PeerUnavailableError as error:
            emit(PEER_CALL_FAILED, error, message="probe")

    def _end_silent(self) -> None:
        emit(
            PEER_STREAM_SILENT,
            peer=self.peer,
            address=self.address,
            pending=len(self._pending_replies),
        )
        self._is_silent = True
        self._fail("stream", TimeoutError("the peer does not reply"))
        self._scope.cancel()

    def send(self, data: bytes, *, acknowledged: bool = True) -> None:
        """Queue an encoded message that expects no reply."""
        self._enqueue(data, "send")
        if acknowledged:
            self._record_sent(len(data), self._last_correlation + 1)

    def _record_sent(self, size: int, correlation: int) -> None:
        now = trio.current_time()
        self._monitor.record_sent(size, correlation, now)

    async def request(self, message: object, timeout: float | None) -> object:
        """Send a message and return the reply."""
        self._last_correlation += 1
        correlation = self._last_correlation
        pending = self._pending_replies[correlation] = Future()
        try:
            data = encode(correlation, message)
            self._enqueue(data, type(message).__name__)
            self._record_sent(len(data), correlation)
            if timeout is None:
                reply = await pending.wait()
            else:
                with trio.fail_after(timeout):
                    reply = await pending.wait()
        except trio.TooSlowError:
            raise PeerUnavailableError(
                f"no reply within {timeout} s",
                step=type(message).__name__,
                peer=self.peer,
            ) from None
        finally:
            self._pending_replies.pop(correlation, None)
        if reply is None:
            raise self._stream_ended_error()
        return reply

    def _enqueue(self, data: bytes, step: str) -> None:
        if self.error is not None:
            raise self._stream_ended_error()
        try:
            self._send_queue.send_nowait(data)
        except trio.WouldBlock:
            raise PeerUnavailableError(
                f"send queue is full ({MAX_QUEUED_MESSAGES} messages)",
                step=step,
                peer=self.peer,
            ) from None
        except trio.BrokenResourceError:
            raise self._stream_ended_error() from None

    def _stream_ended_error(self) -> PeerUnavailableError:
        error = self.error
        if error is None:
            return PeerUnavailableError("stream ended", step="stream", peer=self.peer)
        return PeerUnavailableError(
            error.message,
            step=error.step,
            peer=error.peer,
            refused=error.refused,
        )

    def close(self) -> None:
        """Close the stream."""
        self._scope.cancel()


class PeerNetwork:
    """Own the message streams to and from all other instances."""

    def __init__(self, hello: Hello) -> None:
        self.hello = hello
        self.address = ""
        self.addresses_by_id: dict[str, str] = {}
        self.links_by_id: dict[str, PeerLink] = {}
        self.on_stream_end: Callable[[str, bool], None] = lambda peer, refused: None
        self.on_link_end: Callable[[PeerLink], None] = lambda link: None
        self._handlers: dict[type, Handler] = {}
        self._direct_handlers: dict[type, DirectHandler] = {}
        self._outgoing_by_id: dict[str, _OutgoingStream] = {}
        self._nursery: trio.Nursery | None = None
        self._listeners: list[trio.SocketListener] = []
        self._scope: trio.CancelScope | None = None
        self._check_scope = trio.CancelScope()

    def set_handler(self, message_class: type, handler: Handler) -> None:
        """Reply to messages of a class with the results of ``handler``."""
        self._handlers[message_class] = handler

    def set_direct_handler(self, message_class: type, handler: DirectHandler) -> None:
        """Call ``handler`` in the task that reads messages of a class.

        This saves one task per message. The handler sends its reply, at once or later,
        by calling its last argument.
        """
        self._direct_handlers[message_class] = handler

    def set_address(self, instance: str, address: str) -> None:
        """Set the address of an instance; a new address closes the old stream."""
        if self.addresses_by_id.get(instance) == address:
            return
        self.addresses_by_id[instance] = address
        self.close_stream(instance)

    def _stream_ended(self, instance: str, refused: bool) -> None:
        # A refusal at an earlier address says nothing about the process at the new one.
        current = self._outgoing_by_id.get(instance)
        refused = refused and current is not None and current.error is not None
        self.on_stream_end(instance, refused)

    def close_stream(self, instance: str) -> None:
        """Close the stream to a peer, so that the next message opens a new one."""
        outgoing = self._outgoing_by_id.pop(instance, None)
        if outgoing is not None:
            outgoing.close()

    def remove_peer(self, instance: str) -> None:
        """Remove an instance that no longer exists."""
        self.addresses_by_id.pop(instance, None)
        self.close_stream(instance)

    async def start(self, nursery: trio.Nursery) -> str:
        """Listen for peers and return the address of the listener."""
        host, port = split_address(self.hello.address)
        self._nursery = nursery
        self._listeners = await trio.open_tcp_listeners(port, host=host)
        port = self._listeners[0].socket.getsockname()[1]
        self.address = f"{host}:{port}"
        self.hello = attrs.evolve(self.hello, address=self.address)
        self._scope = await nursery.start(self._serve)
        nursery.start_soon(self._check_streams)
        return self.address

    async def _serve(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        with trio.CancelScope() as scope:
            task_status.started(scope)
            await trio.serve_listeners(self._accept, self._listeners)

    async def _check_streams(self) -> None:
        """Look for silent streams at intervals, until closed."""
        with self._check_scope:
            while True:
                due = await sleep_until_next(CHECK_INTERVAL)
                now = trio.current_time()
                stood_still = now - due > MAX_CHECK_DELAY
                for outgoing in list(self._outgoing_by_id.values()):
                    if stood_still:
                        outgoing.restart_check(now)
                    else:
                        outgoing.check(now)

    async def close(self) -> None:
        """Close all streams and stop listening."""
        self._check_scope.cancel()
        for outgoing in self._outgoing_by_id.values():
            outgoing.close()
        self._outgoing_by_id.clear()
        if self._scope is not None:
            self._scope.cancel()
        for listener in self._listeners:
            await listener.aclose()

    def send(
        self, instance: str, message: object, *, acknowledged: bool = True
    ) -> None:
        """Queue a message that expects no reply.

        If it has to be ``acknowledged``, the stream is closed unless a reply shows
        within some seconds that it has arrived. Raise PeerUnavailableError if the peer
        has no known address, its stream ended or its send queue is full.
        """
        self._outgoing_to(instance).send(encode(0, message), acknowledged=acknowledged)

    def send_encoded(self, instance: str, data: bytes) -> None:
        """Queue an encoded message; the same bytes may be sent to several peers."""
        self._outgoing_to(instance).send(data)

    async def request(
        self, instance: str, message: object, timeout: float | None = 1.0
    ) -> object:
        """Send a message and return the reply.

        Wait up to ``timeout`` seconds, or without a limit if None. Raise
        PeerUnavailableError if no reply arrives; the peer may have acted on the
        message nevertheless.
        """
        return await self._outgoing_to(instance).request(message, timeout)

    def _outgoing_to(self, instance: str) -> _OutgoingStream:
        outgoing = self._outgoing_by_id.get(instance)
        if outgoing is not None and outgoing.error is None:
            return outgoing
        address = self.addresses_by_id.get(instance)
        if address is None:
            raise PeerUnavailableError(
                "peer has no known address", step="connect", peer=instance
            )
        outgoing = _OutgoingStream(instance, address, self.hello, self._stream_ended)
        self._outgoing_by_id[instance] = outgoing
        self._nursery.start_soon(outgoing.run)
        return outgoing

    async def _accept(self, stream: trio.SocketStream) -> None:
        stream = DirectStream.from_trio(stream)
        decoder = Decoder()
        link: PeerLink | None = None
        send, receive = trio.open_memory_channel(MAX_QUEUED_MESSAGES)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_write_queued, stream, receive)
                while data := await stream.receive_some(READ_SIZE):
                    for envelope in decoder.feed(data):
                        if link is None:
                            link = self._open_link(envelope.message, nursery)
                            continue
                        handler = self._direct_handlers.get(type(envelope.message))
                        if handler is None:
                            nursery.start_soon(
                                self._handle_message, envelope, link, send
                            )
                            continue
                        send_reply = partial(_queue_reply, send, envelope.correlation)
                        handler(envelope.message, link, send_reply)
                nursery.cancel_scope.cancel()
        except* (OSError, trio.BrokenResourceError, ProtocolError):
            pass
        finally:
            if link is not None:
                link.lost.set()
                self.on_link_end(link)
                if self.links_by_id.get(link.hello.instance) is link:
                    del self.links_by_id[link.hello.instance]
            stream.close()

    def _open_link(self, message: object, nursery: trio.Nursery) -> PeerLink:
        if not isinstance(message, Hello):
            raise ProtocolError("stream does not start with hello", step="hello")
        link = PeerLink(message, nursery.cancel_scope)
        previous = self.links_by_id.get(message.instance)
        if previous and previous.hello.incarnation == message.incarnation:
            previous.supersede()
        self.links_by_id[message.instance] = link
        self._use_address_of_hello(message)
        return link

    def _use_address_of_hello(self, hello: Hello) -> None:
        """Use the address of a hello if none is known or the known one refused."""
        outgoing = self._outgoing_by_id.get(hello.instance)
        refused = outgoing is not None and outgoing.error and outgoing.error.refused
        if refused or hello.instance not in self.addresses_by_id:
            self.set_address(hello.instance, hello.address)

    async def _handle_message(self, envelope, link: PeerLink, replies) -> None:
        handler = self._handlers.get(type(envelope.message))
        reply = Accepted() if handler is None else None
        if handler is not None:
            reply = await handler(envelope.message, link)
        _queue_reply(replies, envelope.correlation, reply or Accepted())


def _queue_reply(
    replies: trio.MemorySendChannel, correlation: int, reply: object
) -> None:
    """Queue a reply, unless the message expects none or its stream has ended."""
    if correlation == 0:
        return
    try:
        replies.send_nowait(encode(correlation, reply))
    except (trio.BrokenResourceError, trio.ClosedResourceError, trio.WouldBlock):
        # The peer sends its request again on a new stream, or continues without a
        # reply.
        emit_limited(PEER_REPLY_DROPPED, message=type(reply).__name__)


async def _write_queued(
    stream: DirectStream, receive: trio.MemoryReceiveChannel
) -> None:
    async with receive:
        async for data in receive:
            chunks = [data]
            try:
                while True:
                    chunks.append(receive.receive_nowait())
            except trio.WouldBlock:
                pass
            await stream.send_all(b"".join(chunks))


def _is_refused(error: Exception | None) -> bool:
    return isinstance(error, ConnectionRefusedError)

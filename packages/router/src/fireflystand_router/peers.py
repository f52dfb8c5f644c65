"""Exchange messages with other instances over msgpack streams."""

from collections.abc import Awaitable, Callable
from functools import partial
from itertools import count

import attrs
import trio

from fireflystand_core.exceptions import FireflystandError, ProtocolError
from fireflystand_core.messages import Accepted, Decoder, Hello, encode

from .events import PEER_ANSWER_DROPPED, emit_limited
from .promise import Promise
from .streams import DirectStream, connect, split_address

__all__ = ["PeerLink", "PeerNetwork", "PeerUnavailableError", "Reply"]

READ_SIZE = 65536
CONNECT_TIMEOUT = 1.0  # seconds
MAX_QUEUED_MESSAGES = 10_000

Handler = Callable[[object, "PeerLink"], Awaitable[object | None]]
Reply = Callable[[object], None]
DirectHandler = Callable[[object, "PeerLink", Reply], None]


class PeerUnavailableError(FireflystandError):
    """Report a peer that did not answer.

    ``refused`` tells that its host refused the connection, so that no process
    listens there.
    """

    def __init__(self, message: str, *, step: str, peer: str, refused: bool = False):
        super().__init__(message, step=step, peer=peer)
        self.refused = refused


@attrs.define(eq=False)
class PeerLink:
    """Identify the sender of a message received on one stream."""

    hello: Hello
    lost: trio.Event = attrs.field(factory=trio.Event)


class _Sender:
    """Own the outgoing stream to one peer and match answers to requests."""

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
        self._numbers = count(1)
        self._waiting: dict[int, Promise] = {}  # of an answer, None if none comes
        send, receive = trio.open_memory_channel(MAX_QUEUED_MESSAGES)
        self._queue: trio.MemorySendChannel = send
        self._outgoing: trio.MemoryReceiveChannel = receive
        self._scope = trio.CancelScope()
        self.error: PeerUnavailableError | None = None

    async def run(self) -> None:
        """Connect, send what is queued and deliver answers until it breaks."""
        with self._scope:
            try:
                await self._run()
            except* (OSError, trio.TooSlowError, trio.BrokenResourceError) as group:
                self._fail("stream", group.exceptions[0])
            except* ProtocolError as group:
                self._fail("decode", group.exceptions[0])
        if self.error is None:
            self._fail("stream", None)

    async def _run(self) -> None:
        with trio.fail_after(CONNECT_TIMEOUT):
            stream = await connect(self.address)
        try:
            await stream.send_all(encode(0, self._hello))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_write_queued, stream, self._outgoing)
                await self._read(stream)
                nursery.cancel_scope.cancel()
        finally:
            stream.close()

    async def _read(self, stream: DirectStream) -> None:
        decoder = Decoder(self.peer)
        while data := await stream.receive_some(READ_SIZE):
            for envelope in decoder.feed(data):
                waiter = self._waiting.pop(envelope.correlation, None)
                if waiter is not None:
                    waiter.set(envelope.message)

    def _fail(self, step: str, error: Exception | None) -> None:
        self.error = PeerUnavailableError(
            f"stream to peer ended: {error!r}",
            step=step,
            peer=self.peer,
            refused=_is_refused(error),
        )
        for waiter in self._waiting.values():
            waiter.set(None)
        self._waiting.clear()
        self._outgoing.close()
        self._on_end(self.peer, self.error.refused)

    def send(self, data: bytes) -> None:
        """Queue an encoded message that expects no answer."""
        self._enqueue(data, "send")

    async def request(self, message: object, timeout: float | None) -> object:
        """Send a message and return its answer."""
        number = next(self._numbers)
        waiter = self._waiting[number] = Promise()
        try:
            self._enqueue(encode(number, message), type(message).__name__)
            if timeout is None:
                answer = await waiter.wait()
            else:
                with trio.fail_after(timeout):
                    answer = await waiter.wait()
        except trio.TooSlowError:
            raise PeerUnavailableError(
                f"no answer within {timeout} s",
                step=type(message).__name__,
                peer=self.peer,
            ) from None
        finally:
            self._waiting.pop(number, None)
        if answer is None:
            raise self._ended()
        return answer

    def _enqueue(self, data: bytes, step: str) -> None:
        if self.error is not None:
            raise self._ended()
        try:
            self._queue.send_nowait(data)
        except trio.WouldBlock:
            raise PeerUnavailableError(
                f"{MAX_QUEUED_MESSAGES} messages wait to be sent",
                step=step,
                peer=self.peer,
            ) from None
        except trio.BrokenResourceError:
            raise self._ended() from None

    def _ended(self) -> PeerUnavailableError:
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
        """End the stream."""
        self._scope.cancel()


class PeerNetwork:
    """Own the streams to and from all other instances."""

    def __init__(self, hello: Hello) -> None:
        self.hello = hello
        self.address = ""
        self.addresses_by_id: dict[str, str] = {}
        self.links_by_id: dict[str, PeerLink] = {}
        self.on_stream_end: Callable[[str, bool], None] = lambda peer, refused: None
        self.on_link_end: Callable[[PeerLink], None] = lambda link: None
        self._handlers: dict[type, Handler] = {}
        self._direct_handlers: dict[type, DirectHandler] = {}
        self._senders: dict[str, _Sender] = {}
        self._nursery: trio.Nursery | None = None
        self._listeners: list[trio.SocketListener] = []
        self._scope: trio.CancelScope | None = None

    def handle(self, message_class: type, handler: Handler) -> None:
        """Answer messages of a class through ``handler``."""
        self._handlers[message_class] = handler

    def handle_directly(self, message_class: type, handler: DirectHandler) -> None:
        """Answer messages of a class from the reading task, which costs no task each.

        The handler answers through its last argument, at once or later.
        """
        self._direct_handlers[message_class] = handler

    def set_address(self, instance: str, address: str) -> None:
        """Note where an instance listens; a new address ends the old stream."""
        if self.addresses_by_id.get(instance) == address:
            return
        self.addresses_by_id[instance] = address
        self.reset(instance)

    def _stream_ended(self, instance: str, refused: bool) -> None:
        # A stream to an earlier address says nothing of the process at the new one.
        current = self._senders.get(instance)
        refused = refused and current is not None and current.error is not None
        self.on_stream_end(instance, refused)

    def reset(self, instance: str) -> None:
        """End the stream to a peer, so that the next message opens another."""
        sender = self._senders.pop(instance, None)
        if sender is not None:
            sender.close()

    def forget(self, instance: str) -> None:
        """Drop an instance that no longer exists."""
        self.addresses_by_id.pop(instance, None)
        self.reset(instance)

    async def start(self, nursery: trio.Nursery) -> str:
        """Listen for peers and return the address."""
        host, port = split_address(self.hello.address)
        self._nursery = nursery
        self._listeners = await trio.open_tcp_listeners(port, host=host)
        port = self._listeners[0].socket.getsockname()[1]
        self.address = f"{host}:{port}"
        self.hello = attrs.evolve(self.hello, address=self.address)
        self._scope = await nursery.start(self._serve)
        return self.address

    async def _serve(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        with trio.CancelScope() as scope:
            task_status.started(scope)
            await trio.serve_listeners(self._accept, self._listeners)

    async def close(self) -> None:
        """End all streams and stop listening."""
        for sender in self._senders.values():
            sender.close()
        self._senders.clear()
        if self._scope is not None:
            self._scope.cancel()
        for listener in self._listeners:
            await listener.aclose()

    def send(self, instance: str, message: object) -> None:
        """Queue a message without an answer.

        Raise PeerUnavailableError if the peer has no address or its stream broke.
        """
        self.send_encoded(instance, encode(0, message))

    def send_encoded(self, instance: str, data: bytes) -> None:
        """Queue a message that was encoded once for several peers."""
        self._sender(instance).send(data)

    async def request(
        self, instance: str, message: object, timeout: float | None = 1.0
    ) -> object:
        """Send a message and return the answer.

        Raise PeerUnavailableError if none arrives within ``timeout`` seconds, without
        a limit if None; the peer may have acted on the message then.
        """
        return await self._sender(instance).request(message, timeout)

    def _sender(self, instance: str) -> _Sender:
        sender = self._senders.get(instance)
        if sender is not None and sender.error is None:
            return sender
        address = self.addresses_by_id.get(instance)
        if address is None:
            raise PeerUnavailableError(
                "peer has no known address", step="connect", peer=instance
            )
        sender = _Sender(instance, address, self.hello, self._stream_ended)
        self._senders[instance] = sender
        self._nursery.start_soon(sender.run)
        return sender

    async def _accept(self, stream: trio.SocketStream) -> None:
        stream = DirectStream.take_over(stream)
        decoder = Decoder()
        link: PeerLink | None = None
        send, receive = trio.open_memory_channel(MAX_QUEUED_MESSAGES)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_write_queued, stream, receive)
                while data := await stream.receive_some(READ_SIZE):
                    for envelope in decoder.feed(data):
                        if link is None:
                            link = self._open_link(envelope.message)
                            continue
                        handler = self._direct_handlers.get(type(envelope.message))
                        if handler is None:
                            nursery.start_soon(self._answer, envelope, link, send)
                            continue
                        reply = partial(_reply, send, envelope.correlation)
                        handler(envelope.message, link, reply)
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

    def _open_link(self, message: object) -> PeerLink:
        if not isinstance(message, Hello):
            raise ProtocolError("stream does not start with hello", step="hello")
        link = PeerLink(message)
        self.links_by_id[message.instance] = link
        self._note_hello(message)
        return link

    def _note_hello(self, hello: Hello) -> None:
        """Use the address of a hello if none is known that still listens."""
        sender = self._senders.get(hello.instance)
        refused = sender is not None and sender.error and sender.error.refused
        if refused or hello.instance not in self.addresses_by_id:
            self.set_address(hello.instance, hello.address)

    async def _answer(self, envelope, link: PeerLink, answers) -> None:
        handler = self._handlers.get(type(envelope.message))
        answer = Accepted() if handler is None else None
        if handler is not None:
            answer = await handler(envelope.message, link)
        _reply(answers, envelope.correlation, answer or Accepted())


def _reply(answers: trio.MemorySendChannel, correlation: int, answer: object) -> None:
    """Queue an answer, unless the message expects none or its stream has ended."""
    if correlation == 0:
        return
    try:
        answers.send_nowait(encode(correlation, answer))
    except (trio.BrokenResourceError, trio.ClosedResourceError, trio.WouldBlock):
        # The peer asks again on another stream, or goes on without the answer.
        emit_limited(PEER_ANSWER_DROPPED, message=type(answer).__name__)


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

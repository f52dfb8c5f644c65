"""Let open connections between instances go silent."""

import trio

from ..streams import split_address

READ_SIZE = 65536


class SilencingProxy:
    """Pass connections on to an address; those that are open can go silent for good.

    It goes on to take the bytes of a silent connection, as the hosts on the way may.
    """

    def __init__(self, destination: str = "") -> None:
        self.destination = destination
        self.address = ""
        self.connections = 0
        self.bytes_passed = 0
        self._silent: set[tuple[int, str]] = set()  # connections and directions

    async def start(self, nursery: trio.Nursery) -> None:
        """Listen until the nursery is cancelled."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        nursery.start_soon(trio.serve_listeners, self._serve, listeners)

    def silence(self, *directions: str) -> None:
        """Pass nothing more on the open connections, ``to`` or ``from`` the address."""
        self._silent |= {
            (number, direction)
            for number in range(1, self.connections + 1)
            for direction in directions or ("to", "from")
        }

    async def _serve(self, near: trio.SocketStream) -> None:
        self.connections += 1
        number = self.connections
        host, port = split_address(self.destination)
        async with near, await trio.open_tcp_stream(host, port) as far:
            async with trio.open_nursery() as nursery:
                scope = nursery.cancel_scope
                nursery.start_soon(self._copy, near, far, (number, "to"), scope)
                nursery.start_soon(self._copy, far, near, (number, "from"), scope)

    async def _copy(self, source, sink, key, scope: trio.CancelScope) -> None:
        try:
            while data := await source.receive_some(READ_SIZE):
                if key not in self._silent:
                    self.bytes_passed += len(data)
                    await sink.send_all(data)
        except trio.BrokenResourceError:
            pass
        if key in self._silent:
            await trio.sleep_forever()  # the end does not pass either
        scope.cancel()

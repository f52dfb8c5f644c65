"""Test streams, and the reset of a connection whose request was cancelled."""

import socket
import struct
import unittest

import trio
import trio.testing

from ..forward import Forwarder, ForwardRequest
from ..http_client import ConnectionFailedError, HttpClient
from ..streams import connect

LARGE = 4 * 1024 * 1024  # bytes; more than the socket buffers hold


class SilentPeer:
    """Read a request, send no response and record how the connection ends."""

    def __init__(self) -> None:
        self.end = ""
        self.received = 0
        self.address = ""

    async def serve(self, nursery: trio.Nursery) -> None:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        nursery.start_soon(trio.serve_listeners, self._read, listeners)

    async def _read(self, stream: trio.SocketStream) -> None:
        try:
            while data := await stream.receive_some(65536):
                self.received += len(data)
            self.end = "end of stream"
        except trio.BrokenResourceError:
            self.end = "reset"

    async def wait_for_end(self) -> str:
        with trio.fail_after(5):
            while not self.end:
                await trio.sleep(0.01)
        return self.end


def run_scenario(scenario) -> None:
    """Run a scenario with a peer that does not respond."""

    async def main():
        async with trio.open_nursery() as nursery:
            peer = SilentPeer()
            await peer.serve(nursery)
            await scenario(peer, nursery)
            nursery.cancel_scope.cancel()

    trio.run(main)


class DirectStreamTests(unittest.TestCase):
    """Guard against truncated data and waits that do not end."""

    def test_data_larger_than_the_buffers_arrives_whole(self):
        async def scenario(peer, nursery):
            stream = await connect(peer.address)
            await stream.send_all(b"x" * LARGE)
            await stream.send_eof()
            self.assertEqual(await peer.wait_for_end(), "end of stream")
            self.assertEqual(peer.received, LARGE)
            stream.close()

        run_scenario(scenario)

    def test_close_ends_a_wait_of_another_task(self):
        async def scenario(peer, nursery):
            stream = await connect(peer.address)
            closed = trio.Event()

            async def read():
                with self.assertRaises(trio.ClosedResourceError):
                    await stream.receive_some(100)
                closed.set()

            nursery.start_soon(read)
            await trio.testing.wait_all_tasks_blocked()
            stream.close()
            with trio.fail_after(2):
                await closed.wait()
            with self.assertRaises(trio.ClosedResourceError):
                await stream.send_all(b"x")

        run_scenario(scenario)


class ResetTests(unittest.TestCase):
    """Guard against a reset that is taken for the end of a stream."""

    def test_reset_that_a_check_for_data_has_found(self):
        """A response without length that its target reset was delivered as complete."""

        async def main():
            with socket.create_server(("127.0.0.1", 0)) as server:
                stream = await connect(f"127.0.0.1:{server.getsockname()[1]}")
                peer, _ = server.accept()
                peer.sendall(b"part")
                self.assertEqual(await stream.receive_some(100), b"part")
                linger = struct.pack("ii", 1, 0)
                peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                peer.close()
                with trio.fail_after(5):
                    while stream.is_idle():
                        await trio.sleep(0.01)
                for _ in range(2):
                    with self.assertRaises(trio.BrokenResourceError):
                        await stream.receive_some(100)
                stream.close()

        trio.run(main)


class ResetBeforeSendTests(unittest.TestCase):
    """Guard against a reset that a send has found and that looks like a regular end."""

    PART = 700 * b"x"

    def play(self, *, shuts_down: bool) -> tuple[bytes, bool]:
        """Return what is read after a failed send, and whether it ends regularly."""

        async def main() -> tuple[bytes, bool]:
            listener = socket.create_server(("127.0.0.1", 0))
            stream = await connect(f"127.0.0.1:{listener.getsockname()[1]}")
            peer, _ = listener.accept()
            await stream.send_all(b"request that the peer does not read")
            peer.sendall(self.PART)
            if shuts_down:
                peer.shutdown(socket.SHUT_WR)
            peer.close()  # resets the connection, since bytes are unread
            listener.close()
            with self.assertRaises(trio.BrokenResourceError):
                for _ in range(3):
                    await stream.send_all(b"more")
                    await trio.sleep(0.01)
            received = await stream.receive_some(65536)
            try:
                return received, await stream.receive_some(65536) == b""
            except trio.BrokenResourceError:
                return received, False
            finally:
                stream.close()

        return trio.run(main)

    def test_reset_that_a_send_has_found(self):
        self.assertEqual(self.play(shuts_down=False), (self.PART, False))

    def test_end_before_the_reset_is_regular(self):
        self.assertEqual(self.play(shuts_down=True), (self.PART, True))


class GivenUpTests(unittest.TestCase):
    """Guard against requests that are delivered when a network partition heals.

    After a plain close the kernel sends the data again until it arrives: a grant then
    reached a target seconds after its keys had moved to another target.
    """

    def test_control_request_without_an_answer_resets_its_connection(self):
        async def scenario(peer, nursery):
            client = HttpClient(peer.address)
            with self.assertRaises(ConnectionFailedError):
                await client.request("POST", "/grant", body=b"{}", timeout=0.2)
            self.assertEqual(await peer.wait_for_end(), "reset")

        run_scenario(scenario)

    def test_request_whose_caller_left_resets_its_connection(self):
        async def scenario(peer, nursery):
            forwarder = Forwarder()
            await forwarder.start(nursery)
            request = ForwardRequest(
                request_id="r",
                address=peer.address,
                method=b"POST",
                target=b"/order",
                fields=[(b"host", b"example")],
                control_fields=[],
                body=b"one",
                length=3,
                deadline=trio.current_time() + 5,
                send_before=trio.current_time() + 5,
                repeatable=False,
            )
            with trio.move_on_after(0.2):
                await forwarder.open(request)
            self.assertEqual(await peer.wait_for_end(), "reset")

        run_scenario(scenario)


class AddressTests(unittest.TestCase):
    """Guard against an address that ends the process which connects to it."""

    def test_address_that_is_none(self):
        """An older process may have taken such an address into its copies."""
        for address in ("", "x", ":80", "127.0.0.1:70000", "127.0.0.1:-1", "a\0b:80"):
            with self.subTest(address), self.assertRaises(OSError):
                trio.run(connect, address)


if __name__ == "__main__":
    unittest.main()

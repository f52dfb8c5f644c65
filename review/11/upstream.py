"""An upstream that reads a body whole, and answers with its length and digest.

At times it refuses part of its requests as soon as it has their headers, as
if it were full, and ends the connection.
"""

import hashlib
import random
import socket
import sys
import threading
import time

NAME, PORT, SHED = sys.argv[1], int(sys.argv[2]), float(sys.argv[3])
SLOTS = threading.Semaphore(6)
GREY, PERIOD = 8.0, 12.0  # seconds; grey for so long in each period


class Connection:
    """Read the requests of one connection."""

    def __init__(self, stream: socket.socket) -> None:
        self.stream = stream
        self._data = bytearray()

    def _more(self) -> None:
        part = self.stream.recv(65536)
        if not part:
            raise ConnectionError
        self._data += part

    def until(self, mark: bytes) -> bytes:
        """Return all up to a mark."""
        while (end := self._data.find(mark)) < 0:
            self._more()
        end += len(mark)
        found = bytes(self._data[:end])
        del self._data[:end]
        return found

    def exactly(self, size: int) -> bytes:
        """Return so many bytes."""
        while len(self._data) < size:
            self._more()
        found = bytes(self._data[:size])
        del self._data[:size]
        return found

    def body(self, fields: dict[str, str]) -> bytes:
        """Return the whole body of a request."""
        if "chunked" not in fields.get("transfer-encoding", ""):
            return self.exactly(int(fields.get("content-length", 0)))
        parts = []
        while size := int(self.until(b"\r\n").split(b";")[0], 16):
            parts.append(self.exactly(size))
            self.exactly(2)
        self.until(b"\r\n")
        return b"".join(parts)

    def answer(self, status: str, body: bytes = b"", **fields: str) -> None:
        """Send an answer."""
        lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}"]
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
        self.stream.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


def serve(stream: socket.socket) -> None:
    """Serve the requests of one connection."""
    connection = Connection(stream)
    try:
        with stream:
            while serve_one(connection):
                pass
    except OSError:
        pass


def serve_one(connection: Connection) -> bool:
    """Serve one request; return whether the connection is kept."""
    first, *lines = connection.until(b"\r\n\r\n").decode("latin-1").split("\r\n")
    pairs = [line.partition(":") for line in lines if ":" in line]
    fields = {name.lower(): value.strip() for name, _, value in pairs}
    if first.split(" ")[1] == "/health":
        connection.answer("200 OK", Instance_Id=NAME, Server_Load="0,0,6")
        return True
    request_id = fields.get("request-id", "")
    if fields.get("expect-instance", NAME) != NAME:
        connection.body(fields)
        connection.answer("421 Misdirected Request", Instance_Id=NAME)
        return True
    if time.monotonic() % PERIOD < GREY and random.random() < SHED:
        connection.answer(
            "503 Service Unavailable", Not_Executed="1", Request_Id=request_id
        )
        # Closing now would reset the connection, and the answer could be lost.
        connection.stream.shutdown(socket.SHUT_WR)
        while connection.stream.recv(65536):
            pass
        return False
    body = connection.body(fields)
    with SLOTS:
        digest = hashlib.sha256(body).hexdigest()
        connection.answer(
            "200 OK",
            f"{len(body)} {digest}".encode(),
            Request_Id=request_id,
            Server_Stamp=NAME,
        )
    return True


def main() -> None:
    """Accept connections until the process is killed."""
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", PORT))
        listener.listen(128)
        while True:
            stream, _ = listener.accept()
            stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=serve, args=(stream,), daemon=True).start()


if __name__ == "__main__":
    main()

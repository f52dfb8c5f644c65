"""An upstream that works for 50 ms on each request and answers it whole."""

import asyncio
import sys

NAME, PORT = sys.argv[1], int(sys.argv[2])
WORK = 0.05  # seconds
slots = asyncio.Semaphore(6)


async def serve(reader, writer) -> None:
    """Serve the requests of one connection."""
    try:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            first, *lines = head.split("\r\n")
            pairs = [line.partition(":") for line in lines if ":" in line]
            fields = {name.lower(): value.strip() for name, _, value in pairs}
            await reader.readexactly(int(fields.get("content-length", 0)))
            if first.split(" ")[1] == "/health":
                status, more = "200 OK", f"Instance-Id: {NAME}\r\nServer-Load: 0,0,6"
            elif fields.get("expect-instance", NAME) != NAME:
                status, more = "421 Misdirected Request", f"Instance-Id: {NAME}"
            else:
                request_id = fields["request-id"]
                async with slots:
                    await asyncio.sleep(WORK)
                status = "200 OK"
                more = f"Request-Id: {request_id}\r\nServer-Stamp: {NAME}"
            writer.write(
                f"HTTP/1.1 {status}\r\n{more}\r\nContent-Length: 5\r\n\r\nwhole".encode()
            )
            await writer.drain()
    except (OSError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def main() -> None:
    """Serve until the process is ended."""
    server = await asyncio.start_server(serve, "127.0.0.1", PORT)
    await server.serve_forever()


asyncio.run(main())

"""Send long bodies in chunks while upstreams refuse part of their requests."""

import asyncio
import hashlib
import itertools
import random
import sys
import time
from collections import Counter
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "harness-3"))

from harness import (  # noqa: E402
    API_KEY,
    BROKEN,
    HELD,
    HOST,
    TROUBLE,
    Answer,
    Record,
    Router,
    Store,
    configuration,
    entry,
    free_port,
    read_answer,
    route,
    run,
    service,
)

UPSTREAMS = 6
SHED = 0.5 if TROUBLE else 0.0  # of the requests, for 8 s in each 12 s
SLOTS = 6
ZONES = ("lima-norte", "lima-centro")
CALM = 4.0  # seconds
LENGTH = 30.0  # seconds
CLIENTS = 6  # for each router
SIZE = 200_000  # bytes of a body
CHUNK = 16_000  # bytes
DEADLINE_MS = 2500
MOST_NOTED = 40  # of the changed bodies


def body_of(request_id: str) -> bytes:
    """Return a body in which no part is like another one."""
    return random.Random(request_id).randbytes(SIZE)


async def upload(router: Router, request_id: str, body: bytes) -> Answer:
    """Send a request with a body in chunks and return the answer."""
    host, port = router.front.rsplit(":", 1)
    head = (
        "POST /up/x HTTP/1.1\r\n"
        f"Host: {HOST}\r\n"
        f"Request-Id: {request_id}\r\n"
        f"Deadline-Ms: {DEADLINE_MS}\r\n"
        f"Authorization: Token {API_KEY}\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    )
    data = bytearray(head.encode())
    for start in range(0, len(body), CHUNK):
        part = body[start : start + CHUNK]
        data += b"%x\r\n" % len(part) + part + b"\r\n"
    data += b"0\r\n\r\n"
    answer = Answer()
    try:
        async with asyncio.timeout(DEADLINE_MS / 1000 + 2):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(data)
                return await read_answer(reader)
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError) as error:
        answer.error = type(error).__name__
        return answer


async def main(record: Record, folder: Path) -> int:
    store = Store()
    address = await store.start()
    resources = [
        route("r-up", "/up/", "unsafe", "packs", timeout=f"{DEADLINE_MS}ms"),
        service("packs"),
    ]
    store.write("config", "main", {"spec": configuration(7, resources)})
    routers = [Router(n, folder, address, z) for n, z in enumerate(ZONES)]
    processes, answers, changed = [], Counter(), 0
    try:
        for number in range(UPSTREAMS):
            port, name = free_port(), f"i-{number}"
            processes.append(
                await asyncio.create_subprocess_exec(
                    sys.executable,
                    str(CASE / "upstream.py"),
                    name,
                    str(port),
                    str(SHED),
                )
            )
            born = int(time.time() * 1000)
            zone = ZONES[number % 2]
            store.write(
                "servers", name, entry("packs", f"127.0.0.1:{port}", zone, SLOTS, born)
            )
        for router in routers:
            router.seeds = [r.control for r in routers]
            await router.start()
        for router in routers:
            await router.wait_until_ready()
        await asyncio.sleep(CALM)
        record.note("ready")
        end = time.monotonic() + LENGTH

        async def send(router: Router, client: int) -> None:
            nonlocal changed
            for number in itertools.count():
                if time.monotonic() > end:
                    return
                request_id = f"{router.name[-1]}{client:02x}{number:013x}"
                body = body_of(request_id)
                answer = await upload(router, request_id, body)
                answers[answer.status] += 1
                if answer.status != 200:
                    continue
                expected = f"{len(body)} {hashlib.sha256(body).hexdigest()}"
                if answer.body.decode() != expected:
                    changed += 1
                    if changed > MOST_NOTED:
                        continue
                    stamp = answer.fields.get("server-stamp")
                    record.note(
                        f"{request_id}: sent {expected}, {stamp} ran it with "
                        f"{answer.body.decode()}  <-- UNASKED: the body was changed"
                    )

        async with asyncio.TaskGroup() as group:
            for router in routers:
                for client in range(CLIENTS):
                    group.create_task(send(router, client))
        record.note(f"answers: {dict(answers)}; run with a changed body: {changed}")
        if not answers[200]:
            raise RuntimeError("no request was answered")
        return BROKEN if changed else HELD
    finally:
        for process in processes:
            if process.returncode is None:
                process.kill()
                await process.wait()
        for router in routers:
            await router.end()


run(main, CASE)

"""Run the whole path on loopback: stand-ins, targets, routers and operators."""

import argparse
import json
import shutil
import signal
import sys
import tempfile
import uuid
from pathlib import Path

import trio

from fireflystand_core.configuration import load_files
from fireflystand_router.http_client import ConnectionFailedError, Response

from .demo_parts import Child, Router, is_free, request
from .fleet import free_address
from .instance_list import InstanceListServer
from .store import StoreServer

__all__ = ["main"]

EXAMPLES = Path(__file__).resolve().parents[4] / "examples" / "demo"
ACCOUNT = "tills-vlaanderen"
DATA_CENTRES = ("namur-a", "gent-a")
ROUTERS = 3
FIRST_ROUTER_PORT = 8081
LIST_LAG = 1.0  # seconds
START_TIMEOUT = 30.0  # seconds
COMMAND_TIMEOUT = 30.0  # seconds
STOP_TIMEOUT = 8.0  # seconds; a router needs about 2 s for a planned stop
POLL_PERIOD = 0.05  # seconds
WATCH_PERIOD = 0.2  # seconds
LOG_TAIL = 2000  # characters
READ_KEYS = ("fleece-1", "fleece-2", "fleece-3")


class DemoError(Exception):
    """Report why the demo could not start."""


class Demo:
    """Own the stand-ins and every process of the demo."""

    def __init__(self, folder: Path, free_ports: bool) -> None:
        self._folder = folder
        self._free_ports = free_ports
        self._store = StoreServer()
        self._list = InstanceListServer([], LIST_LAG)
        self._store_address = ""
        self._list_address = ""
        self._children: list[Child] = []
        self._api_key = ""
        self.routers: list[Router] = []
        self.targets_by_id: dict[str, str] = {}

    async def start(self, nursery: trio.Nursery) -> None:
        """Start everything, apply the settings and wait until all is served."""
        self.routers = [self._router(number) for number in range(ROUTERS)]
        self._list = InstanceListServer([r.listing() for r in self.routers], LIST_LAG)
        self._store_address = await self._store.start(nursery)
        self._list_address = await self._list.start(nursery)
        site = self._site_file()
        self._start_targets(site)
        for router in self.routers:
            self._start_router(router)
        nursery.start_soon(self._watch)
        base = str(EXAMPLES / "base.yaml")
        await self._command("apply", base, str(site), "--wait")
        created = await self._command("key", "create", ACCOUNT, "--wait")
        self._api_key = created["api_key"]
        for router in self.routers:
            await self._wait_until_served(router)

    def _router(self, number: int) -> Router:
        listen = f"127.0.0.1:{FIRST_ROUTER_PORT + number}"
        if self._free_ports or not is_free(listen):
            listen = free_address()
        return Router(f"router-{number + 1}", DATA_CENTRES[number % 2], listen)

    def _site_file(self) -> Path:
        """Return the overlay, or a copy in which taken ports are replaced."""
        source = EXAMPLES / "site.yaml"
        text = source.read_text()
        deployment = load_files(str(EXAMPLES / "base.yaml"), str(source))
        for target in deployment.services_by_id["winkel"].targets_by_id.values():
            if self._free_ports or not is_free(target.address):
                text = text.replace(f"'{target.address}'", f"'{free_address()}'")
        if text == source.read_text():
            return source
        copy = self._folder / source.name
        copy.write_text(text)
        return copy

    def _start_targets(self, site: Path) -> None:
        deployment = load_files(str(EXAMPLES / "base.yaml"), str(site))
        for target in deployment.services_by_id["winkel"].targets_by_id.values():
            self.targets_by_id[target.id] = target.address
            port = target.address.rpartition(":")[2]
            flags = ("--id", target.id, "--port", port)
            self._start(target.id, "fireflystand_testing.target", *flags)

    def _start_router(self, router: Router) -> None:
        self._start(
            router.id,
            "fireflystand_router.daemon",
            f"--instance_id={router.id}",
            f"--data_centre={router.data_centre}",
            f"--listen_address={router.listen}",
            f"--peer_address={router.peer}",
            f"--health_address={router.health}",
            f"--store_address={self._store_address}",
            f"--instance_list_address={self._list_address}",
        )

    def _start(self, name: str, module: str, *flags: str) -> None:
        self._children.append(Child.start(name, self._folder, module, *flags))

    async def _command(self, *words: str) -> dict:
        """Run the operators' command line and return the result it prints."""
        print(f"$ fireflystand {' '.join(words)}", flush=True)
        with trio.fail_after(COMMAND_TIMEOUT):
            done = await trio.run_process(
                [
                    *(sys.executable, "-m", "fireflystand_operator.cli", *words),
                    *("--who", "demo", "--json"),
                    *("--store", self._store_address),
                    *("--instances", self._list_address),
                ],
                capture_stdout=True,
                check=False,
            )
        if done.returncode != 0:
            text = done.stdout.decode(errors="replace")
            raise DemoError(f"{words[0]} ended with {done.returncode}: {text}")
        return json.loads(done.stdout)["result"]

    async def _wait_until_served(self, router: Router) -> None:
        try:
            with trio.fail_after(START_TIMEOUT):
                while not (await router.is_ready() and await self._serves(router)):
                    await trio.sleep(POLL_PERIOD)
        except trio.TooSlowError:
            raise DemoError(
                f"{router.id} serves nothing after {START_TIMEOUT:g} s:\n"
                f"{self._log_tail(router.id)}"
            ) from None

    async def _serves(self, router: Router) -> bool:
        for key in READ_KEYS:
            found = await self.call(router, "GET", f"/winkel/stock/{key}")
            if found is None or found.status != 200:
                return False
        return True

    def _log_tail(self, name: str) -> str:
        text = (self._folder / f"{name}.log").read_text(errors="replace")
        return text[-LOG_TAIL:]

    async def _watch(self) -> None:
        """Report processes that end, and take lost routers off the list."""
        running = {child.name: child for child in self._children}
        while True:
            await trio.sleep(WATCH_PERIOD)
            ended = [name for name, child in running.items() if not child.running]
            for name in ended:
                child = running.pop(name)
                print(f"{name} ended with {child.process.returncode}", flush=True)
            if ended:
                live = [r.listing() for r in self.routers if r.id in running]
                self._list.set_instances(live)

    async def call(
        self,
        router: Router,
        method: str,
        path: str,
        body: bytes = b"",
        **fields: str,
    ) -> Response | None:
        """Send one call as a caller would; return ``None`` if it broke."""
        headers = {"Authorization": f"Bearer {self._api_key}"}
        headers |= {name.replace("_", "-"): value for name, value in fields.items()}
        try:
            return await request(
                router.listen, method, path, headers=headers, body=body
            )
        except ConnectionFailedError:
            return None

    async def send_calls(self) -> bool:
        """Send a few calls through every router; tell whether all were right."""
        good = [await self._read(key) for key in READ_KEYS]
        return all([*good, await self._order_twice()])

    async def _read(self, key: str) -> bool:
        owners = set()
        path = f"/winkel/stock/{key}"
        for router in self.routers:
            answer = await self.call(router, "GET", path)
            show(f"GET {path}", router, answer)
            owners.add(answer and answer.status == 200 and answer.headers["x-target"])
        return len(owners) == 1 and owners <= set(self.targets_by_id)

    async def _order_twice(self) -> bool:
        """Repeat an order through another router; it must have run once."""
        order = uuid.uuid4().hex[:12]
        path = f"/winkel/orders/{READ_KEYS[0]}"
        answers = []
        for router in self.routers[:2]:
            answer = await self.call(
                router, "POST", path, b'{"count": 2}', Idempotency_Key=order
            )
            show(f"POST {path} Idempotency-Key {order}", router, answer)
            answers.append(answer and (answer.status, answer.body))
        runs = await self._runs_of(order)
        print(f"order {order} ran {runs} time{'' if runs == 1 else 's'}")
        return runs == 1 and answers[0] == answers[1] and answers[0][0] == 200

    async def _runs_of(self, order: str) -> int:
        runs = 0
        for address in self.targets_by_id.values():
            counts = (await request(address, "GET", "/control")).json()
            runs += counts["runs_by_idempotency_key"].get(order, 0)
        return runs

    def describe(self) -> None:
        """Print the addresses, the API key and how to call."""
        print(f"store: {self._store_address}")
        print(f"instance list: {self._list_address}")
        pids = {child.name: child.process.pid for child in self._children}
        for name, address in self.targets_by_id.items():
            print(f"target {name}: {address}, process {pids[name]}")
        for router in self.routers:
            print(
                f"router {router.id}: {router.listen}, health {router.health}, "
                f"process {pids[router.id]}"
            )
        print(f"API key: {self._api_key}")
        print(
            f"try: curl -i -H 'Authorization: Bearer {self._api_key}' "
            f"http://{self.routers[0].listen}/winkel/stock/{READ_KEYS[0]}"
        )
        print(
            f"try: fireflystand status --store {self._store_address} "
            f"--instances {self._list_address}",
            flush=True,
        )

    async def close(self) -> None:
        """End every process, routers with a planned stop."""
        for child in self._children:
            if child.running and child.name not in self.targets_by_id:
                child.process.terminate()
        with trio.move_on_after(STOP_TIMEOUT):
            routers = [c for c in self._children if c.name not in self.targets_by_id]
            while any(child.running for child in routers):
                await trio.sleep(POLL_PERIOD)
        for child in self._children:
            if child.running:
                child.process.kill()
            child.process.wait(5)


def show(call: str, router: Router, answer: Response | None) -> None:
    """Print who answered a call."""
    if answer is None:
        print(f"{call} through {router.id}: the connection broke")
        return
    target = answer.headers.get("x-target", "the router")
    outcome = answer.headers.get("fireflystand-outcome", "none")
    print(
        f"{call} through {router.id}: {answer.status} from {target}, outcome {outcome}",
        flush=True,
    )


async def run(once: bool, free_ports: bool) -> int:
    """Run the demo until interrupted or, with ``once``, until the calls ended."""
    folder = Path(tempfile.mkdtemp(prefix="fireflystand-demo-"))
    demo = Demo(folder, free_ports)
    code = 1 if once else 0  # an interrupted run proved nothing
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(cancel_on_signal, nursery.cancel_scope)
            try:
                code = await _serve(demo, nursery, once)
            except DemoError as error:
                print(f"failed: {error}", file=sys.stderr)
                code = 1
            finally:
                # The store has to serve until the routers have ended.
                with trio.CancelScope(shield=True):
                    await demo.close()
            nursery.cancel_scope.cancel()
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    return code


async def _serve(demo: Demo, nursery: trio.Nursery, once: bool) -> int:
    began = trio.current_time()
    await demo.start(nursery)
    seconds = trio.current_time() - began
    print(f"every router is ready and serves after {seconds:.1f} s")
    good = await demo.send_calls()
    print("all calls were right" if good else "some calls were wrong")
    demo.describe()
    if not once:
        print("serving until interrupted", flush=True)
        await trio.sleep_forever()
    return 0 if good else 1


async def cancel_on_signal(scope: trio.CancelScope) -> None:
    """End the demo at the first interrupt or termination signal."""
    with trio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
        async for _ in signals:
            scope.cancel()
            return


def main() -> int:
    """Run the demo with the flags of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--once", action="store_true", help="end after the calls")
    parser.add_argument("--free-ports", action="store_true", help="use no fixed port")
    options = parser.parse_args()
    return trio.run(run, options.once, options.free_ports)


if __name__ == "__main__":
    sys.exit(main())

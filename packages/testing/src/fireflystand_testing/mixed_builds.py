"""Run the demo with routers of two builds in one fleet, under calls.

    python -m fireflystand_testing.mixed_builds --other CHECKOUT

CHECKOUT holds the other build. Every router begins with it; then one after the other is
stopped as planned and started from this checkout, and afterwards back again. The store
keeps what each build wrote: settings and API keys come from the other build's command
line, then from this one's, and orders that ran under one build are repeated under the
other. Exit status 1 if a call failed or an order did not run exactly once.
"""

import argparse
import os
import subprocess
import sys
import tempfile
import uuid
from collections import Counter
from pathlib import Path

import trio

from .demo import ACCOUNT, EXAMPLES, READ_KEYS, STOP_TIMEOUT, Demo
from .demo_parts import Child, Router

__all__ = ["MixedDemo", "main"]

THIS_CHECKOUT = Path(__file__).resolve().parents[4]
PACKAGES = ("core", "router", "operator", "testing")
CALL_INTERVAL = 0.02  # seconds between rounds of calls
STEADY_PERIOD = 4.0  # seconds of calls after each replacement
ORDERS = 5  # placed in each phase and repeated in all later ones


class MixedDemo(Demo):
    """Own a demo whose routers come from either build."""

    def __init__(self, folder: Path, other: Path) -> None:
        super().__init__(folder, free_ports=True)
        self.other = other
        self.checkouts_by_router: dict[str, Path] = {}
        self.results: Counter[str] = Counter()
        self.failures: list[str] = []
        self.answers_by_order: dict[str, bytes] = {}
        self._serving: set[str] = set()

    async def _watch(self) -> None:
        """Leave the instance list as it is: routers return under their addresses."""

    def _start_router(self, router: Router) -> None:
        checkout = self.checkouts_by_router.setdefault(router.id, self.other)
        log = self._folder / f"{router.id}.log"
        with log.open("ab") as output:
            process = subprocess.Popen(
                [
                    *(sys.executable, "-m", "fireflystand_router.daemon"),
                    f"--instance_id={router.id}",
                    f"--data_centre={router.data_centre}",
                    f"--listen_address={router.listen}",
                    f"--peer_address={router.peer}",
                    f"--health_address={router.health}",
                    f"--store_address={self._store_address}",
                    f"--instance_list_address={self._list_address}",
                ],
                env=os.environ | {"PYTHONPATH": _python_path(checkout)},
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self._children.append(Child(router.id, log, process))
        self._serving.add(router.id)

    def use_commands_of(self, checkout: Path) -> None:
        """Run the operators' command line of a checkout from now on."""
        os.environ["PYTHONPATH"] = _python_path(checkout)

    async def apply_again(self) -> None:
        """Apply the settings again and call with a new API key from now on."""
        site = self._folder / "site.yaml"
        await self._command("apply", str(EXAMPLES / "base.yaml"), str(site), "--wait")
        created = await self._command("key", "create", ACCOUNT, "--wait")
        self._api_key = created["api_key"]

    async def replace(self, router: Router, checkout: Path) -> None:
        """Stop a router as planned and start it again from a checkout."""
        self._serving.discard(router.id)
        await trio.sleep(0.2)  # calls under way end
        child = next(c for c in reversed(self._children) if c.name == router.id)
        child.process.terminate()
        with trio.fail_after(STOP_TIMEOUT):
            while child.running:
                await trio.sleep(0.05)
        self.checkouts_by_router[router.id] = checkout
        self._start_router(router)
        self._serving.discard(router.id)
        await self._wait_until_served(router)
        self._serving.add(router.id)

    async def call_all(self) -> None:
        """Read through every router that serves, until cancelled."""
        number = 0
        while True:
            for router in self.routers:
                if router.id in self._serving:
                    key = READ_KEYS[number % len(READ_KEYS)]
                    number += 1
                    answer = await self.call(router, "GET", f"/winkel/stock/{key}")
                    self._count("GET", router, answer)
            await trio.sleep(CALL_INTERVAL)

    def _count(self, what: str, router: Router, answer) -> None:
        status = str(answer.status) if answer else "none"
        self.results[f"{what} {status}"] += 1
        if status != "200":
            build = self.checkouts_by_router[router.id].name
            reason = dict(answer.headers) if answer else {}
            self.failures.append(f"{what} {router.id} {build} {status} {reason}")

    async def order_and_repeat(self) -> None:
        """Place orders, and repeat all earlier ones through every router."""
        for _ in range(ORDERS):
            order = uuid.uuid4().hex[:12]
            answer = await self._order(self.routers[0], order)
            if answer is not None:
                self.answers_by_order[order] = answer.body
        for order, body in self.answers_by_order.items():
            for router in self.routers:
                answer = await self._order(router, order)
                if answer is not None and answer.body != body:
                    self.failures.append(f"order {order} got another answer")

    async def _order(self, router: Router, order: str):
        path = f"/winkel/orders/{READ_KEYS[0]}"
        body = b'{"count": 2}'
        answer = await self.call(router, "POST", path, body, Idempotency_Key=order)
        self._count("POST", router, answer)
        return answer

    async def check_runs(self) -> None:
        """Note orders that did not run exactly once."""
        for order in self.answers_by_order:
            runs = await self._runs_of(order)
            if runs != 1:
                self.failures.append(f"order {order} ran {runs} times")


def _python_path(checkout: Path) -> str:
    return os.pathsep.join(str(checkout / "packages" / n / "src") for n in PACKAGES)


async def _play(demo: MixedDemo, nursery: trio.Nursery) -> None:
    demo.use_commands_of(demo.other)
    await demo.start(nursery)
    async with trio.open_nursery() as calls:
        calls.start_soon(demo.call_all)
        await trio.sleep(STEADY_PERIOD)
        await demo.order_and_repeat()
        for checkout in (THIS_CHECKOUT, demo.other):
            demo.use_commands_of(checkout)
            await demo.apply_again()
            for router in demo.routers:
                await demo.replace(router, checkout)
                await trio.sleep(STEADY_PERIOD)
                await demo.order_and_repeat()
                builds = [demo.checkouts_by_router[r.id].name for r in demo.routers]
                print(f"{builds}: {dict(demo.results)}", flush=True)
        calls.cancel_scope.cancel()
    await demo.check_runs()


async def run(other: Path, folder: Path) -> int:
    """Play the replacements and return the exit status."""
    demo = MixedDemo(folder, other)
    async with trio.open_nursery() as nursery:
        try:
            await _play(demo, nursery)
        finally:
            with trio.CancelScope(shield=True):
                await demo.close()
        nursery.cancel_scope.cancel()
    for text in demo.failures[:20]:
        print(text)
    orders = len(demo.answers_by_order)
    print(f"calls: {dict(demo.results)}; {orders} orders")
    print(f"{len(demo.failures)} failures")
    return 1 if demo.failures else 0


def main() -> int:
    """Run with the flags of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--other", required=True, help="checkout of the other build")
    parser.add_argument("--logs", help="folder for the logs; a new one by default")
    options = parser.parse_args()
    folder = Path(options.logs or tempfile.mkdtemp(prefix="fireflystand-mixed-"))
    folder.mkdir(parents=True, exist_ok=True)
    print(f"logs: {folder}")
    return trio.run(run, Path(options.other).resolve(), folder)


if __name__ == "__main__":
    sys.exit(main())

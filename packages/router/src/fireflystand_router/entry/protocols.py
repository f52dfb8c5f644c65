"""Define how connections, flows and response writers use each other."""

from typing import Protocol

import h11

from ..fields import Fields
from .body import CallerBody
from .refusals import RequestRefusedError

__all__ = ["Flow", "ResponseWriter"]


class ResponseWriter(Protocol):
    """Write the response to one request of a caller."""

    request_id: str
    received_at: float  # seconds on trio's clock; when the request was received
    started: bool  # whether the header section is queued
    partly_sent: bool
    has_turn: bool  # whether all earlier responses are sent
    caller_left: bool  # whether the request was cancelled for the end of its connection
    follows_delivery: bool  # whether an earlier response is being delivered

    async def refuse(self, refusal: RequestRefusedError) -> None:
        """Send the refusal in place of a queued response; cut a partly sent one."""

    async def wait_for_turn(self) -> None:
        """Wait until all earlier responses are sent."""

    async def wait_for_deliveries(self) -> None:
        """Wait until no earlier response is being delivered."""

    async def send_continue(self) -> None:
        """Send ``100 Continue`` if the caller waits for it."""

    def start(self, status: int, fields: Fields, length: int | None, close: bool):
        """Queue the status line and header fields of the response."""

    async def write(self, part: bytes) -> None:
        """Queue a part of the body; send the queue if it has grown large."""

    async def flush(self) -> None:
        """Send the queued bytes."""

    async def finish(self) -> None:
        """Send the end of the response."""


class Flow(Protocol):
    """Serve the requests of callers."""

    async def run(
        self, event: h11.Request, body: CallerBody, writer: ResponseWriter
    ) -> None:
        """Serve one request; the call is cancelled if the caller disconnects."""

    def begin_stop(self, drains_at: float, stops_at: float) -> None:
        """Give every request a final response by ``stops_at`` (seconds, trio's clock).

        Requests received from ``drains_at`` on are served only if they are sure to end
        in time.
        """

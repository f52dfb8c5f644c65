"""Define the response to a refused request."""

import json
import re

from fireflystand_core.exceptions import FireflystandError

from ..framing import MalformedMessageError
from .caller_options import CallerOptions

__all__ = ["RequestRefusedError", "failed_body_refusal"]


class RequestRefusedError(FireflystandError):
    """Refuse a request; with ``close``, its connection serves no later ones."""

    def __init__(
        self,
        status: int,
        reason: str,
        *,
        outcome: str = "not-run",
        retry_after: float | None = None,
        close: bool = False,
        fields: dict[str, str] | None = None,
    ) -> None:
        # The reason may come from a peer and is sent in a header field, so everything
        # but printable ASCII is replaced.
        reason = re.sub(r"[^\x20-\x7e]", "?", reason)
        super().__init__(reason, step="refuse")
        self.status = status
        self.reason = reason
        self.outcome = outcome
        self.retry_after = retry_after
        self.close = close
        self.fields = fields or {}

    def body(self, request_id: str) -> bytes:
        """Return the JSON body."""
        value = {
            "outcome": self.outcome,
            "reason": self.reason,
            "request_id": request_id,
        }
        return json.dumps(value).encode()

    def headers(
        self,
        request_id: str,
        size: int,
        options: CallerOptions | None = None,
    ) -> list[tuple[str, str]]:
        """Return the response fields for a body of ``size`` bytes."""
        options = options or CallerOptions()
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(size)),
        ]
        if options.adds_router_fields:
            headers.append(("Fireflystand-Outcome", self.outcome))
            headers.append(("Fireflystand-Request-Id", request_id))
            headers.append(("Fireflystand-Reason", self.reason))
        headers.extend(self.fields.items())
        if self.retry_after is not None:
            headers.append(("Retry-After", options.retry_after(self.retry_after)))
        return headers


def failed_body_refusal(
    error: RequestRefusedError | MalformedMessageError,
) -> RequestRefusedError:
    """Return the refusal after a body failed while a target was receiving it."""
    # Callers take 408 as a promise that the request has not run.
    status = 504 if error.status == 408 else error.status
    return RequestRefusedError(status, error.message, outcome="unknown", close=True)

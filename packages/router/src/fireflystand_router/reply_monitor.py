"""Tell whether a peer still receives and answers the messages of a stream."""

__all__ = ["ReplyMonitor"]

PROBE_DELAY = 0.6  # seconds from a message whose reply is awaited to a probe
# Seconds to a probe from a message without a reply, and between the acknowledgements of
# a stream on which a reply takes long.
LONG_PROBE_DELAY = 1.5
PROBE_TIMEOUT = 0.7  # seconds; a frozen or disconnected peer does not respond
MIN_BYTES_PER_SECOND = 32 * 1024  # at which a slow link carries what precedes a probe


class ReplyMonitor:
    """Track which messages of one stream its peer has acknowledged.

    A reply acknowledges its request and all messages before it. Nothing else does:
    whatever stands between two instances may accept bytes that it never passes on.
    Times are in seconds on one clock.
    """

    def __init__(self, now: float) -> None:
        # Time of the first message that is not acknowledged, and the first correlation
        # number whose reply acknowledges it.
        self._unacknowledged_since: float | None = None
        self._acknowledging_correlation = 0
        self._unacknowledged_bytes = 0
        self._acknowledged_at = now
        self._received_at = now
        self._probed_at: float | None = None

    def record_sent(self, size: int, correlation: int, now: float) -> None:
        """Record a message that replies from a correlation number on acknowledge."""
        if self._unacknowledged_since is None:
            self._unacknowledged_since = now
            self._acknowledging_correlation = correlation
            self._unacknowledged_bytes = 0
        self._unacknowledged_bytes += size

    def record_probe(self, now: float) -> None:
        """Record that a probe, which the peer answers at once, was sent."""
        self._probed_at = now

    def record_received(self, now: float) -> None:
        """Record that bytes have arrived; they may be a part of a long reply."""
        self._received_at = now

    def record_reply(self, correlation: int, now: float) -> None:
        """Record the reply to the message with a correlation number."""
        if correlation >= self._acknowledging_correlation:
            self._acknowledged_at = now
            self._unacknowledged_since = None
            self._probed_at = None

    def is_probe_due(self, now: float, awaits_reply: bool) -> bool:
        """Tell whether to send a probe."""
        if self._probed_at is not None:
            return False
        if self._unacknowledged_since is None:
            return awaits_reply and now - self._acknowledged_at >= LONG_PROBE_DELAY
        delay = PROBE_DELAY if awaits_reply else LONG_PROBE_DELAY
        return now - self._unacknowledged_since >= delay

    def is_silent(self, now: float) -> bool:
        """Tell whether a probe has not been answered in time."""
        if self._probed_at is None:
            return False
        # The probe waits behind the bytes before it, and its reply behind others.
        timeout = PROBE_TIMEOUT + self._unacknowledged_bytes / MIN_BYTES_PER_SECOND
        return now - max(self._probed_at, self._received_at) >= timeout

    def restart(self, now: float) -> None:
        """Measure from now on, as replies of the time before may not be read yet."""
        self._acknowledged_at = self._received_at = now
        if self._unacknowledged_since is not None:
            self._unacknowledged_since = now
        if self._probed_at is not None:
            self._probed_at = now

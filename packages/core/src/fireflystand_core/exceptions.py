"""Define the errors that the packages raise."""

__all__ = [
    "ConfigurationError",
    "FireflystandError",
    "ProtocolError",
    "StoreConflictError",
    "StoreUnavailableError",
]


class FireflystandError(Exception):
    """Carry the step and the peer at which an error arose."""

    def __init__(self, message: str, *, step: str = "", peer: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        parts = [self.message]
        if self.step:
            parts.append(f"step {self.step}")
        if self.peer:
            parts.append(f"peer {self.peer}")
        return ", ".join(parts)


class ConfigurationError(FireflystandError):
    """Report invalid settings."""


class ProtocolError(FireflystandError):
    """Report a peer, target or store that violated its protocol."""


class StoreUnavailableError(FireflystandError):
    """Report a store call whose effect is unknown or that was refused.

    ``refused`` is true if the store said that it has done nothing.
    """

    def __init__(
        self, message: str, *, step: str = "", peer: str = "", refused: bool = False
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.refused = refused


class StoreConflictError(FireflystandError):
    """Report a conditional update that did not match the stored version."""

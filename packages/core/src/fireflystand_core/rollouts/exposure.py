"""Limit the requests that a version under test gets from all instances together.

The load is a service's requests divided among the instances in any way, a few each or
all at one, while no instance can ask another. Each keeps a budget of its own; the
budgets add up to at most the limit.
"""

__all__ = ["ExposureBudget"]

# Sums of shares are inexact: 20 requests earn one token at a share of 0.05.
ROUNDING_ERROR = 1e-9  # tokens


class ExposureBudget:
    """Allow one instance's part of the requests to the new version of a service.

    Each request that the instance sends to the service earns ``share`` of a token, and
    each one that it sends to the new version costs a token. ``slack`` is the
    instance's part of the tokens given at the start. Where it is below one token, a
    random ``phase`` from 0 to 1 is added: fractions of a token are then rounded up as
    often as they are due, so that an instance with few requests takes part too. Where
    there are n such instances, the sum exceeds its mean by more than 2.7 * sqrt(n) in
    fewer than one of a million cases (86 instances: 25 tokens).
    """

    def __init__(self, share: float, slack: float, phase: float) -> None:
        self.share = share
        self.tokens = slack if slack >= 1 else slack + phase

    def note_request(self) -> None:
        """Count a request that was sent to the service, to either version."""
        self.tokens += self.share

    def try_spend(self) -> bool:
        """Take a token for a request to the new version; tell whether there was one."""
        if self.tokens < 1 - ROUNDING_ERROR:
            return False
        self.tokens = max(0.0, self.tokens - 1)
        return True

    def give_back(self) -> None:
        """Return the token of a request that was not sent to the new version."""
        self.tokens += 1

    def set_share(self, share: float) -> None:
        """Apply another share from the next request on.

        A higher share begins without the tokens saved under the lower one.
        """
        if share > self.share:
            self.tokens %= 1
        self.share = share

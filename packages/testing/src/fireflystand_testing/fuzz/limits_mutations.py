"""Break one rule of quota or feed at a time."""

from collections.abc import Callable
from contextlib import AbstractContextManager
from unittest.mock import patch

from fireflystand_core.accounts import AccountQuota, KeyRegistry, QuotaHolder
from fireflystand_core.accounts.bucket import TokenBucket
from fireflystand_core.accounts.keys import _Key
from fireflystand_core.feed import FeedState
from fireflystand_core.feed import state as feed_state
from fireflystand_core.messages import FeedPull

from . import feed_machine

__all__ = ["FEED_PATCHES", "QUOTA_PATCHES"]

Patch = Callable[[], AbstractContextManager]


def withhold_nothing_after_takeover() -> AbstractContextManager:
    """Lend a whole burst beside the leases of the previous coordinator."""
    original = AccountQuota.__init__

    def start(self, settings, now, state=None):
        original(self, settings, now, state)
        self._bucket.withheld = 0.0

    return patch.object(AccountQuota, "__init__", start)


def wait_for_no_short_leases() -> AbstractContextManager:
    """Lend at once beside the short leases of a coordinator that just started."""
    original = AccountQuota.__init__

    def start(self, settings, now, state=None):
        original(self, settings, now, state)
        self._closed_until = now

    return patch.object(AccountQuota, "__init__", start)


def lend_the_whole_burst() -> AbstractContextManager:
    """Let instances hold a whole burst while a successor counts on half of it."""
    return patch.object(AccountQuota, "_lendable", lambda self: self._bucket.level // 1)


def refill_beyond_lent_tokens() -> AbstractContextManager:
    """Let the bucket fill up to the burst while tokens are lent."""

    def refill(self, now):
        elapsed = max(0.0, now - self.updated_at)
        self.updated_at = max(self.updated_at, now)
        self.level = min(self.burst, self.level + elapsed * self.rate)

    return patch.object(TokenBucket, "refill", refill)


def count_lease_from_receipt() -> AbstractContextManager:
    """Spend a lease for its time to live after its arrival."""
    original = QuotaHolder.on_lease

    def on_lease(self, lease, now):
        original(self, lease, now)
        held = self._leases_by_sequence.get(lease.sequence)
        if held is not None:
            held.usable_until = now + lease.ttl

    return patch.object(QuotaHolder, "on_lease", on_lease)


def hand_over_without_leases() -> AbstractContextManager:
    """Forget the lent tokens at a handover."""
    original = AccountQuota._restore

    def restore(self, data, now):
        original(self, data, now)
        self._borrowers_by_id.clear()
        self._bucket.lent = 0.0

    return patch.object(AccountQuota, "_restore", restore)


def take_answers_given_up() -> AbstractContextManager:
    """Spend a lease whose request was given up and reported as unspent."""
    original = QuotaHolder.on_lease

    def on_lease(self, lease, now):
        sent_at, sequence = self._sent_at, self._sequence
        if lease.sequence not in self._leases_by_sequence:
            self._sent_at, self._sequence = sent_at or now, lease.sequence
        original(self, lease, now)
        self._sequence = sequence

    return patch.object(QuotaHolder, "on_lease", on_lease)


def accept_older_items() -> AbstractContextManager:
    """Let the item that arrives last win."""
    original = FeedState._accept

    def accept(self, item):
        known = self._items_by_key.get(item.key)
        if known is not None and known.version > item.version:
            self._digest ^= feed_state._hash(known)
            del self._items_by_key[item.key]
        return original(self, item)

    return patch.object(FeedState, "_accept", accept)


def hash_keys_only() -> AbstractContextManager:
    """Leave the versions out of the digest."""
    return patch.object(feed_state, "_hash", lambda item: hash(item.key) & 0xFFFF)


def pull_only_above_revision() -> AbstractContextManager:
    """Never compare all versions with a peer of the same revision."""

    def pull(state, revision, digest):
        if digest == state.digest or revision <= state.revision:
            return None
        return FeedPull({}, since=state.revision)

    return patch.object(feed_machine, "next_pull", pull)


def reactivate_withdrawn_keys() -> AbstractContextManager:
    """Let a newer item activate a withdrawn API key."""

    def put(self, key_hash, account, state):
        self._keys_by_hash[key_hash] = _Key(account, state)

    return patch.object(KeyRegistry, "put", put)


QUOTA_PATCHES: dict[str, Patch] = {
    "quota-withhold-nothing-after-takeover": withhold_nothing_after_takeover,
    "quota-wait-for-no-short-leases": wait_for_no_short_leases,
    "quota-lend-the-whole-burst": lend_the_whole_burst,
    "quota-refill-beyond-lent-tokens": refill_beyond_lent_tokens,
    "quota-count-lease-from-receipt": count_lease_from_receipt,
    "quota-hand-over-without-leases": hand_over_without_leases,
    "quota-take-answers-given-up": take_answers_given_up,
}

FEED_PATCHES: dict[str, Patch] = {
    "feed-accept-older-items": accept_older_items,
    "feed-hash-keys-only": hash_keys_only,
    "feed-pull-only-above-revision": pull_only_above_revision,
    "feed-reactivate-withdrawn-keys": reactivate_withdrawn_keys,
}

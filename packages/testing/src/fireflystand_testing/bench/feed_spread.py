"""Measure how a change spreads between in-process feed states."""

from random import Random

import attrs

from fireflystand_core.feed import FeedState, answer_pull, next_pull
from fireflystand_core.messages import (
    FeedItem,
    FeedItems,
    Heartbeat,
    HeartbeatReply,
    encode,
)

SIZES = (12, 48, 200, 870)
FANOUT = 3  # peers
HEARTBEATS_PER_SECOND = 2
TRIALS = 10
ITEMS = 500
LOSS = 0.02  # share of pushes that are lost
VALUE = '{"account":"account-1","state":"withdrawn"}'


@attrs.define
class Spread:
    """Hold the result of one change; rounds are steps of one message each way."""

    push_rounds: int = 0
    reached_by_push: int = 0
    heartbeat_rounds: int = 0
    messages: int = 0


def spread(size: int, random: Random) -> Spread:
    """Let one instance learn of a change and spread it to all."""
    states = [FeedState() for _ in range(size)]
    for state in states:
        state.accept(FeedItem(f"keys/{n:064x}", n + 1, VALUE) for n in range(ITEMS))
    change = FeedItem(f"keys/{7:064x}", ITEMS + 1, VALUE)
    states[0].accept([change])
    result = Spread(reached_by_push=1)
    informed = [0]
    while informed:
        result.push_rounds += 1
        informed = _push(states, informed, change, random, result)
    while any(state.revision != change.version for state in states):
        result.heartbeat_rounds += 1
        _beat(states, random, result)
    return result


def _push(states, informed, change, random, result) -> list[int]:
    reached = []
    for sender in informed:
        others = [n for n in range(len(states)) if n != sender]
        for peer in random.sample(others, FANOUT):
            result.messages += 1
            if random.random() >= LOSS and states[peer].accept([change]):
                reached.append(peer)
    result.reached_by_push += len(reached)
    return reached


def _beat(states, random, result) -> None:
    for sender, state in enumerate(states):
        others = [n for n in range(len(states)) if n != sender]
        for peer in random.sample(others, FANOUT):
            for one, other in ((state, states[peer]), (states[peer], state)):
                pull = next_pull(one, other.revision, other.digest)
                if pull is not None:
                    result.messages += 2
                    one.accept(answer_pull(other, pull).items)


def steady_bytes() -> int:
    """Return the bytes a second that heartbeats cost an instance, in and out.

    An instance sends as many heartbeats as it receives, so each costs it one
    heartbeat and one reply sent and the same received; TCP and IP add 40 a segment.
    """
    fields = ("namur-a-0123", "0123456789abcdef", 10**6, 2**63, 12.5)
    pair = len(encode(10**5, Heartbeat(*fields)))
    pair += len(encode(10**5, HeartbeatReply(*fields))) + 2 * 40
    return 2 * pair * FANOUT * HEARTBEATS_PER_SECOND


def main() -> None:
    """Print a table for each size."""
    push = len(encode(0, FeedItems([FeedItem(f"keys/{7:064x}", 501, VALUE)]))) + 40
    print(f"heartbeats {steady_bytes()} bytes/s per instance, one push {push} bytes")
    print("| instances | push rounds | reached by push | heartbeat rounds | messages |")
    print("|---|---|---|---|---|")
    for size in SIZES:
        runs = [spread(size, Random(seed)) for seed in range(TRIALS)]
        reached = min(run.reached_by_push for run in runs) / size
        messages = sum(run.messages for run in runs) / TRIALS / size
        print(
            f"| {size} | {max(run.push_rounds for run in runs)} | {reached:.1%} | "
            f"{max(run.heartbeat_rounds for run in runs)} | {messages:.2f} |"
        )


if __name__ == "__main__":
    main()

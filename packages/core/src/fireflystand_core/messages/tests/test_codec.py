"""Test the peer message codec."""

import unittest

import attrs
import msgpack

from fireflystand_core.exceptions import ProtocolError
from fireflystand_core.messages import (
    Decoder,
    FeedItem,
    FeedItems,
    Hello,
    PermitReturn,
    SlotRequest,
    SlotReturn,
    StoredAnswer,
    encode,
)


class CodecTests(unittest.TestCase):
    """Guard against messages that change or get lost on the wire."""

    def test_nested_message_survives_split_reads(self):
        answer = StoredAnswer(200, [("content-type", "text/plain")], b"\x00\xff")
        sent = PermitReturn("winkel", 1, "p1", "answered", 200, 0.01, answer=answer)
        data = encode(7, sent) + encode(0, FeedItems([FeedItem("a", 3, None)]))
        decoder = Decoder()
        received = []
        for index in range(len(data)):
            received.extend(decoder.feed(data[index : index + 1]))
        self.assertEqual([e.correlation for e in received], [7, 0])
        self.assertEqual(received[0].message, sent)
        self.assertEqual(received[1].message.items[0], FeedItem("a", 3, None))

    def test_unreadable_input_names_the_peer(self):
        decoder = Decoder(peer="namur-a-1")
        with self.assertRaises(ProtocolError) as caught:
            list(decoder.feed(b"\x93\xa3abc\x01\x80"))
        self.assertEqual(caught.exception.peer, "namur-a-1")
        self.assertEqual(caught.exception.step, "decode")

    def test_slot_requests_of_any_version_are_those_of_earlier_builds(self):
        """Where no rollouts are followed, no byte of a message changes."""
        request = SlotRequest("s", "1", "", 0, 0.5, 1.0, "x")
        data = encode(1, request)
        _, _, fields = msgpack.unpackb(data)
        self.assertEqual(list(fields)[-1], "route")
        selective = attrs.evolve(
            request, version="7", excluded_versions=["8"], targets=["a"]
        )
        for message in (request, selective):
            (envelope,) = Decoder().feed(encode(1, message))
            self.assertEqual(envelope.message, message)

    def test_slot_returns_are_those_of_earlier_builds(self):
        """Unless the sender stood still, which earlier builds read past."""
        returned = SlotReturn("s", 1, 0.1)
        _, _, fields = msgpack.unpackb(encode(0, returned))
        self.assertNotIn("stood_still", fields)
        for message in (returned, attrs.evolve(returned, stood_still=True)):
            (envelope,) = Decoder().feed(encode(0, message))
            self.assertEqual(envelope.message, message)

    def test_missing_field_is_a_protocol_error(self):
        decoder = Decoder()
        good = encode(1, Hello("a", "1", "namur-a", "127.0.0.1:1"))
        broken = good.replace(b"\xa8instance", b"\xa8instancf")
        with self.assertRaises(ProtocolError):
            list(decoder.feed(broken))


if __name__ == "__main__":
    unittest.main()

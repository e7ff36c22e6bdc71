import random

import hypothesis
from hypothesis import strategies as st

from auburnway.net import peer_wire


def test_only_authentic_datagrams_are_decoded():
    # Guards against accepting truncated, altered or foreign datagrams.
    codec = peer_wire.DatagramCodec("token")
    datagram = codec.encode(["hb", 1])
    assert codec.decode(datagram) == ["hb", 1]
    assert peer_wire.DatagramCodec("other").decode(datagram) is None
    assert codec.decode(datagram[:-1]) is None
    assert codec.decode(b"") is None
    for i in range(len(datagram)):
        changed = bytearray(datagram)
        changed[i] ^= 1
        assert codec.decode(bytes(changed)) is None


@hypothesis.settings(max_examples=150)
@hypothesis.given(
    st.lists(st.integers(0, 4000), min_size=1, max_size=8), st.integers()
)
def test_each_message_arrives_once_over_a_bad_network(sizes, seed):
    # Guards against lost, duplicated or mixed-up messages when parts are
    # lost, duplicated and reordered.
    rng = random.Random(seed)
    sender, receiver = peer_wire.Channel(), peer_wire.Channel()
    messages = [["rows", bytes([i]) * n] for i, n in enumerate(sizes)]
    for kind, body in messages:
        assert sender.send(kind, body)
    received, now_ms = [], 0.0
    while sender.queued and now_ms < 4000:
        parts = sender.due_parts(now_ms)
        parts += [part for part in parts if rng.random() < 0.3]
        rng.shuffle(parts)
        for part in parts:
            if rng.random() < 0.2:
                continue
            number, message = receiver.receive_part(part)
            if message is not None:
                received.append(message)
            if rng.random() < 0.9:
                sender.acknowledge([number])
        now_ms += 20.0
    assert sorted(map(repr, received)) == sorted(map(repr, messages))


def test_queues_are_bounded():
    # Guards against unbounded memory use while a peer does not answer.
    sender, receiver = peer_wire.Channel(), peer_wire.Channel()
    assert not sender.send("rows", bytes(peer_wire.PART_BYTES * 300))
    while sender.send("rows", bytes(5000)):
        pass
    assert sender.queued <= peer_wire.MAX_QUEUED_PARTS
    sent = [len(sender.due_parts(float(t))) for t in range(0, 60_000, 50)]
    assert max(sent) <= peer_wire.MAX_IN_FLIGHT_PARTS
    for first in range(1, 5000, 2):
        receiver.receive_part([first, first, 2, b"x"])
    assert sum(map(len, receiver._incomplete.values())) <= (
        peer_wire.MAX_INCOMPLETE_PARTS
    )
    assert len(receiver._seen) <= peer_wire.MAX_SEEN_PARTS
    assert receiver.receive_part([0, 1, 1, b""]) == (0, None)

import random

from magnoliagrade_agent.direct.counter_codec import (
    CounterDecoder,
    CounterEncoder,
    DeltaBaseUnknown,
)

# A group of 63 ranks with eight sets of 252 experts.
COUNTERS = 2016
RANKS = 63


def test_deltas_of_a_large_group_fit_a_slow_link():
    rng = random.Random(1)
    encoder, decoder = CounterEncoder(first_snapshot_id=5), CounterDecoder()
    counters = [rng.randrange(10**6) for _ in range(COUNTERS)]
    decoder.decode(encoder.encode(counters, base_id=0))
    for index in rng.choices(range(COUNTERS), k=4000):
        counters[index] += 5
    snapshot = encoder.encode(counters, base_id=decoder.snapshot_id)
    # Half a second at 4 Mbit/s for all ranks; full counters take a megabyte.
    assert RANKS * len(snapshot) < 250_000
    assert decoder.decode(snapshot).tolist() == counters


def test_two_coordinators_get_exact_counters_when_replies_are_lost():
    encoder = CounterEncoder(first_snapshot_id=5)
    decoders = [CounterDecoder(), CounterDecoder()]
    rng = random.Random(2)
    counters = [0] * 8
    for _ in range(60):
        counters = [count + rng.randrange(9) for count in counters]
        decoder = rng.choice(decoders)
        data = encoder.encode(counters, base_id=decoder.snapshot_id)
        if rng.random() < 0.2:
            # The reply is lost.
            continue
        assert decoder.decode(data).tolist() == counters


def test_counters_of_a_restarted_server_are_sent_in_full():
    encoder, decoder = CounterEncoder(first_snapshot_id=5), CounterDecoder()
    decoder.decode(encoder.encode([9, 9], base_id=0))
    data = encoder.encode([1, 0], base_id=decoder.snapshot_id)
    assert decoder.decode(data).tolist() == [1, 0]


def test_a_delta_to_an_unknown_base_is_rejected_and_full_counters_follow():
    encoder, decoder = CounterEncoder(first_snapshot_id=5), CounterDecoder()
    decoder.decode(encoder.encode([1, 1], base_id=0))
    delta = encoder.encode([2, 2], base_id=decoder.snapshot_id)
    other = CounterDecoder()
    other.snapshot_id = 77
    try:
        other.decode(delta)
    except DeltaBaseUnknown:
        pass
    else:
        raise AssertionError("a delta to an unknown base was accepted")
    assert other.snapshot_id == 0
    data = encoder.encode([3, 3], base_id=other.snapshot_id)
    assert other.decode(data).tolist() == [3, 3]


def test_a_restarted_agent_sends_full_counters():
    decoder = CounterDecoder()
    decoder.decode(CounterEncoder(first_snapshot_id=5).encode([4, 4], base_id=0))
    data = CounterEncoder(first_snapshot_id=900).encode(
        [6, 6], base_id=decoder.snapshot_id
    )
    assert decoder.decode(data).tolist() == [6, 6]

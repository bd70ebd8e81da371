import random

from magnoliagrade_agent.direct.counter_codec import (
    CountReader,
    CountSender,
    CountsLost,
)

# Haldane's grown group: eight sets of 252 experts.
NUMBERS = 2016
RANKS = 63


def test_a_reading_of_a_large_group_fits_a_slow_link():
    rng = random.Random(1)
    sender, reader = CountSender(first_token=5), CountReader()
    counters = [rng.randrange(10**6) for _ in range(NUMBERS)]
    reader.read(sender.pack(counters, since=0))
    for index in rng.choices(range(NUMBERS), k=4000):
        counters[index] += 5
    reading = sender.pack(counters, since=reader.token)
    # Half a second at 4 Mbit/s for all ranks; whole numbers take a megabyte.
    assert RANKS * len(reading) < 250_000
    assert reader.read(reading).tolist() == counters


def test_readings_of_two_coordinators_never_mix():
    sender = CountSender(first_token=5)
    readers = [CountReader(), CountReader()]
    rng = random.Random(2)
    counters = [0] * 8
    for _ in range(60):
        counters = [count + rng.randrange(9) for count in counters]
        reader = rng.choice(readers)
        data = sender.pack(counters, since=reader.token)
        if rng.random() < 0.2:
            # The answer is lost on its way.
            continue
        assert reader.read(data).tolist() == counters


def test_counters_of_a_server_that_started_again_come_whole():
    sender, reader = CountSender(first_token=5), CountReader()
    reader.read(sender.pack([9, 9], since=0))
    assert reader.read(sender.pack([1, 0], since=reader.token)).tolist() == [1, 0]


def test_what_adds_to_an_unknown_reading_is_refused_and_then_read_whole():
    sender, reader = CountSender(first_token=5), CountReader()
    reader.read(sender.pack([1, 1], since=0))
    late = sender.pack([2, 2], since=reader.token)
    other = CountReader()
    other.token = 77
    try:
        other.read(late)
    except CountsLost:
        pass
    else:
        raise AssertionError("a reading was added to nothing")
    assert other.token == 0
    assert other.read(sender.pack([3, 3], since=other.token)).tolist() == [3, 3]


def test_an_agent_that_started_again_does_not_continue_readings():
    reader = CountReader()
    reader.read(CountSender(first_token=5).pack([4, 4], since=0))
    data = CountSender(first_token=900).pack([6, 6], since=reader.token)
    assert reader.read(data).tolist() == [6, 6]

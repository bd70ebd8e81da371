"""Which responses are closed when those of a process take too much memory."""

from magnoliagrade.http import ResponseMemory, ResponseTooLong

KIB = 1024


class _Load:
    """Responses that are received at the same time, by name."""

    def __init__(self, *, limit_bytes):
        self.memory = ResponseMemory(limit_bytes=limit_bytes)
        self.closed = []
        self._contexts_by_name = {}
        self.hold_by_name = {}

    def begin(self, name, source):
        hold = self.memory.hold()
        hold.__enter__()
        self.hold_by_name[name] = hold
        context = hold.receiving(source=source, close=lambda: self.closed.append(name))
        context.__enter__()
        self._contexts_by_name[name] = context

    def grow(self, name, size):
        try:
            self.hold_by_name[name].resize(size)
        except ResponseTooLong as exc:
            self.end(name, exc)

    def end(self, name, exc=None):
        context = self._contexts_by_name.pop(name)
        context.__exit__(type(exc) if exc else None, exc, None)


def test_endpoint_that_holds_the_most_loses_its_largest_response():
    load = _Load(limit_bytes=1000 * KIB)
    for name in ("a1", "a2", "a3", "b1"):
        load.begin(name, name[0])
    load.grow("a1", 200 * KIB)
    load.grow("a2", 300 * KIB)
    load.grow("b1", 400 * KIB)
    load.grow("a3", 150 * KIB)
    assert load.closed == ["a2"]
    assert load.memory.held_bytes == 750 * KIB


def test_short_responses_are_received_beside_bodies_without_end():
    load = _Load(limit_bytes=500 * KIB)
    names = [f"endless-{number}" for number in range(50)]
    for name in names:
        load.begin(name, "faulty")
    for size in range(64, 1024, 64):
        for name in names:
            if name not in load.closed:
                load.grow(name, size * KIB)
        load.begin(f"short-{size}", "sound")
        load.grow(f"short-{size}", 60 * KIB)
        assert f"short-{size}" not in load.closed
        load.end(f"short-{size}")
        load.hold_by_name[f"short-{size}"].__exit__(None, None, None)
        small = 64 * KIB * len(names)
        assert load.memory.held_bytes <= max(500 * KIB, small) + 64 * KIB
    assert len(load.closed) >= len(names) - 500 // 128


def test_complete_responses_count_until_they_are_sent_and_are_not_closed():
    load = _Load(limit_bytes=300 * KIB)
    load.begin("complete", "a")
    load.grow("complete", 250 * KIB)
    load.end("complete")
    load.begin("next", "b")
    load.grow("next", 100 * KIB)
    assert load.closed == ["next"]
    load.hold_by_name["complete"].__exit__(None, None, None)
    assert load.memory.held_bytes == 0
    load.begin("later", "b")
    load.grow("later", 290 * KIB)
    assert load.closed == ["next"]


def test_response_that_fails_counts_no_longer_but_those_before_it_do():
    load = _Load(limit_bytes=1000 * KIB)
    hold = load.memory.hold()
    with hold:
        with hold.receiving(source="a", close=None):
            hold.resize(100 * KIB)
        try:
            with hold.receiving(source="b", close=None):
                hold.resize(50 * KIB)
                raise OSError("reset")
        except OSError:
            pass
        assert load.memory.held_bytes == 100 * KIB
        with hold:
            pass
        assert load.memory.held_bytes == 100 * KIB
    assert load.memory.held_bytes == 0


def test_error_of_a_response_that_was_closed_for_others_says_so():
    load = _Load(limit_bytes=200 * KIB)
    closed, other = load.memory.hold(), load.memory.hold()
    try:
        with closed, closed.receiving(source="a", close=lambda: None):
            closed.resize(150 * KIB)
            with other, other.receiving(source="b", close=lambda: None):
                other.resize(120 * KIB)
            raise OSError("the connection was closed")
    except ResponseTooLong as exc:
        assert "to free memory" in str(exc)
    else:
        raise AssertionError("the error was lost")

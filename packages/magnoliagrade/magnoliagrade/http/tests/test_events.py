"""Splitting of streams at event boundaries."""

import json

from hypothesis import given
from hypothesis import strategies as st

from magnoliagrade.http import EventSplitter

STREAM = b"data: 1\n\n: note\n\ndata: 2\r\n\r\ndata: [DONE]\n\ndata: late\n\n"
COMPLETE = STREAM[: STREAM.index(b"data: late")]


@given(st.lists(st.integers(0, len(STREAM)), max_size=8))
def test_any_chunking_passes_the_same_whole_events(cuts):
    bounds = [0, *sorted(cuts), len(STREAM)]
    splitter = EventSplitter()
    forwarded = []
    for start, end in zip(bounds, bounds[1:], strict=False):
        events = splitter.feed(STREAM[start:end])
        forwarded.append(events)
        if events.is_stream_end:
            break
    assert b"".join(e.data for e in forwarded) == COMPLETE
    assert sum(e.tokens for e in forwarded) == 2
    assert forwarded[-1].is_stream_end


def test_partial_event_is_held_back():
    event = json.dumps({"text": "linen"}).encode()
    held = EventSplitter().feed(b"data: " + event)
    assert (held.data, held.tokens, held.is_stream_end) == (b"", 0, False)

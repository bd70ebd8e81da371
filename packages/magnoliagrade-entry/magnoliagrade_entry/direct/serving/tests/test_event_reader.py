"""Splitting of the streams of endpoints into events."""

from unittest import mock

from magnoliagrade.http import EventSplitter, events

from magnoliagrade_entry.direct.serving import streams

STREAM = b"id: 1\ndata: a\n\n: note\r\n\r\nid: 2\ndata: b\n\r\nid: 3\n"
PARTS = [b"id: 1\ndata: a\n\n", b": note\r\n\r\n", b"id: 2\ndata: b\n\r\n"]


def test_events_are_the_same_wherever_the_stream_is_split():
    for first in range(len(STREAM)):
        for second in range(first, len(STREAM)):
            reader = streams.EventReader()
            found = []
            for data in (STREAM[:first], STREAM[first:second], STREAM[second:]):
                found += reader.feed(data)
            assert [event.data for event in found] == PARTS, (first, second)
            assert [event.id for event in found] == ["1", "", "2"]
            assert reader.has_partial_event


def test_each_byte_of_a_long_event_is_searched_once():
    # Streams of faulty endpoints would otherwise keep the process from other requests.
    for module, make_reader in (
        (streams, streams.EventReader),
        (events, EventSplitter),
    ):
        searched = 0
        boundary = module._BOUNDARY

        class Counter:
            def finditer(self, buffer, begin=0, boundary=boundary):
                nonlocal searched
                searched += len(buffer) - begin
                return boundary.finditer(buffer, begin)

        reader = make_reader()
        with mock.patch.object(module, "_BOUNDARY", Counter()):
            for _ in range(500):
                reader.feed(b"x" * 1000)
        assert searched < 2 * 500_000, (module.__name__, searched)

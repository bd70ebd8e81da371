from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.wire import Envelope, Hello, Label, decode, encode
from magnoliagrade.wire.message_table import UNION_PATH_BY_MESSAGE


def _envelope(message):
    return Envelope(
        instance="i",
        incarnation=2**64 - 1,
        sequence=2,
        configuration_revision=3,
        message=message,
    )


def test_every_message_class_is_decoded_as_it_was_encoded():
    for message_class in UNION_PATH_BY_MESSAGE:
        envelope = _envelope(message_class())
        assert decode(encode(envelope)) == envelope


def test_lists_of_rows_are_decoded_as_they_were_encoded():
    hello = Hello(role="entry", labels=[Label(name="a", value="b")], rank=3)
    assert decode(encode(_envelope(hello))).message == hello


def test_undecodable_bytes_are_rejected():
    for data in (b"", b"\xff" * 40, b"hello world"):
        try:
            decode(data)
        except MagnoliagradeError as exc:
            assert exc.kind is ErrorKind.WIRE_INVALID
        else:
            raise AssertionError(f"{data!r} was accepted")

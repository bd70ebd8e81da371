from magnoliagrade.algorithms import parse_selector
from magnoliagrade.errors import MagnoliagradeError


def test_equality_and_set_syntax():
    cases = [
        ("", {}, True),
        ("a=b", {"a": "b"}, True),
        ("a==b", {"a": "c"}, False),
        ("a!=b", {}, True),
        ("a!=b", {"a": "b"}, False),
        ("a in (b, c)", {"a": "c"}, True),
        ("a notin (b,c)", {"a": "c"}, False),
        ("a", {"a": ""}, True),
        ("!a", {"a": ""}, False),
        ("a in (b,c),d=e", {"a": "b", "d": "e"}, True),
    ]
    for text, labels, expected in cases:
        assert parse_selector(text).matches(labels) is expected, text


def test_unreadable_part_is_named():
    for text in ("a=b=c", "a in b", "a in ()", ",", "a b", "(a)"):
        try:
            parse_selector(text)
        except MagnoliagradeError as exc:
            assert "cannot be read" in exc.detail
        else:
            raise AssertionError(f"{text!r} was accepted")

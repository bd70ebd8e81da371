from magnoliagrade.algorithms import parse_selector
from magnoliagrade.errors import MagnoliagradeError


def test_selectors_in_equality_and_set_syntax_match_labels():
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


def test_invalid_selector_is_rejected():
    for text in ("a=b=c", "a in b", "a in ()", ",", "a b", "(a)"):
        try:
            parse_selector(text)
        except MagnoliagradeError as exc:
            assert "cannot be parsed" in exc.detail
        else:
            raise AssertionError(f"{text!r} was accepted")

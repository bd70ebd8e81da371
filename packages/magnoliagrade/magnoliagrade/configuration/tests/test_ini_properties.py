from hypothesis import given, settings
from hypothesis import strategies as st

from magnoliagrade.configuration import (
    InvalidDocument,
    format_configuration,
    parse_configuration,
)
from magnoliagrade.configuration.ini import section_readers
from magnoliagrade.configuration.ini_writer import section_writers

KEYS = (
    "region labels endpoint_selector data_centre_selector routing cold_limit "
    "full_limit retry_budget option.a.b option.X pool request_selector order work "
    "idempotent_paths deadline_s share rate_tokens_per_s key_digests frozen ranks "
    "pinned_version"
).split()
VALUES = st.one_of(
    st.sampled_from(
        ["", "a=b", "state=out, x = y z,", "1", "0.5", "model", "service", "true"]
        + ["a in (b, c)", "p", "nan", "1e999", "٣", "#x", "; y", "a\n b", "0" * 64]
    ),
    st.text(max_size=8),
)
SECTION = st.tuples(
    st.sampled_from(section_readers.names() + ["thing", "DEFAULT", "pool "]),
    st.sampled_from(["a", "p", " p", "b.c-d", "", "a]b", "ü"]),
    st.lists(st.tuples(st.sampled_from(KEYS), VALUES), max_size=4),
)
FIXED = settings(derandomize=True, deadline=None, max_examples=400)


def test_every_kind_of_section_has_a_reader_and_a_writer():
    assert section_readers.names() == section_writers.names()


@FIXED
@given(st.text(alphabet=st.characters(), max_size=60))
def test_any_text_is_parsed_or_rejected_with_line_numbers(text):
    _read(text)
    _read("[pool p]\n" + text)


@FIXED
@given(st.lists(SECTION, max_size=5))
def test_formatted_configuration_parses_to_an_equal_one(sections):
    text = "".join(
        f"[{kind} {name}]\n" + "".join(f"{k} = {v}\n" for k, v in rows)
        for kind, name, rows in sections
    )
    configuration = _read(text)
    if configuration is None:
        return
    written = format_configuration(configuration)
    again = parse_configuration(written)
    assert again == configuration
    assert format_configuration(again) == written


def _read(text):
    try:
        return parse_configuration(text)
    except InvalidDocument as exc:
        lines = text.count("\n") + 1
        assert exc.problems
        assert all(1 <= p.line <= lines and p.allowed for p in exc.problems), exc
    return None

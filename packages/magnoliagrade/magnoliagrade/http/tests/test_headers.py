import re

from hypothesis import given
from hypothesis import strategies as st

from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.http import read_request_headers, write_request_headers
from magnoliagrade.http.headers import ATTEMPT, ENTRY, RESUME_TOKENS
from magnoliagrade.world import Request

REQUEST = "x-magnoliagrade-request"
FIELD_VALUE = re.compile(r"[\x20-\x7e]*")


@given(st.text(), st.dictionaries(st.text(), st.text(), max_size=3))
def test_any_text_travels_in_headers(key, labels):
    request = Request(
        id="r",
        organisation="o",
        application="a",
        method="POST",
        path="/x",
        labels=labels,
        idempotency_key=key,
        deadline=9.0,
    )
    headers = write_request_headers(
        request, attempt="t", entry="e", incarnation=1, now=4.0
    )
    assert all(FIELD_VALUE.fullmatch(value) for value in headers.values())
    read = read_request_headers(headers, method="POST", path="/x", body=b"", now=4.0)
    assert (read.labels, read.idempotency_key) == (labels, key)
    assert read.deadline == 9.0


def test_internal_headers_that_are_absent_or_malformed_are_rejected():
    request = Request(id="r", organisation="o", application="a", method="GET", path="/")
    valid = write_request_headers(
        request, attempt="t", entry="e", incarnation=1, now=0.0
    )
    flaws = [{name: None} for name in (ATTEMPT, ENTRY, REQUEST)]
    flaws += [{ATTEMPT: ""}, {RESUME_TOKENS: "x"}, {RESUME_TOKENS: "-1"}]
    flaws += [{REQUEST: "{}"}, {REQUEST: "[]"}, {REQUEST: "{"}]
    for flaw in flaws:
        headers = {k: v for k, v in {**valid, **flaw}.items() if v is not None}
        try:
            read_request_headers(headers, method="GET", path="/", body=b"", now=0.0)
        except MagnoliagradeError as exc:
            assert exc.kind is ErrorKind.INVALID_REQUEST, flaw
        else:
            raise AssertionError(flaw)

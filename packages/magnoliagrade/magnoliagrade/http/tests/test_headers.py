import re

from hypothesis import given
from hypothesis import strategies as st

from magnoliagrade.http import read_request_headers, write_request_headers
from magnoliagrade.world import Request

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
    again = read_request_headers(headers, method="POST", path="/x", body=b"", now=4.0)
    assert (again.labels, again.idempotency_key) == (labels, key)
    assert again.deadline == 9.0

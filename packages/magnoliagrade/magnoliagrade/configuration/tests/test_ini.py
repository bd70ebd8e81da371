from magnoliagrade.configuration import InvalidDocument, parse_configuration

GOOD = """
[pool p]
endpoint_selector = work=model
[route r]
pool = p
request_selector = application in (a)
[application a]
work = service
idempotent_paths = /x, /y
[organisation o]
share = 2
[data_centre d]
labels = state=out
[endpoint e]
labels = state=draining, zone=1
"""


def test_sections_are_parsed_into_objects():
    c = parse_configuration(GOOD, revision=7)
    assert c.revision == 7
    assert c.pool_of({"application": "a"}).name == "p"
    assert c.pool_of({"application": "b"}) is None
    assert c.is_data_centre_out("d") and not c.is_data_centre_out("other")
    assert c.labels_of("e", {"zone": "0", "x": "y"}) == {
        "zone": "1",
        "x": "y",
        "state": "draining",
    }
    assert c.application_by_name["a"].idempotent_paths == ["/x", "/y"]


def test_problems_give_line_and_key():
    text = "[pool p]\ncold_limit = many\nwhat = 1\n[route r]\npool = q\n[thing x]\n"
    try:
        parse_configuration(text)
    except InvalidDocument as exc:
        lines = {(p.line, p.key) for p in exc.problems}
    assert lines == {(2, "cold_limit"), (3, "what"), (5, "pool"), (6, "")}

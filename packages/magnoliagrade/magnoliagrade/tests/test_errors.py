from magnoliagrade.errors import (
    RESPONSE_BY_KIND,
    ErrorKind,
    MagnoliagradeError,
    Ran,
    problem_details,
)


def test_every_kind_has_an_answer():
    assert set(RESPONSE_BY_KIND) == set(ErrorKind)


def test_not_run_kinds_say_so():
    for kind in (ErrorKind.NOT_RUN, ErrorKind.OVERLOADED, ErrorKind.SHUTTING_DOWN):
        assert RESPONSE_BY_KIND[kind].ran is Ran.NO


def test_what_may_have_run_is_never_retryable():
    for kind, answer in RESPONSE_BY_KIND.items():
        assert answer.ran is Ran.NO or not answer.retryable, kind


def test_problem_details_name_the_code():
    error = MagnoliagradeError(ErrorKind.LIMITED, "share of 'x' used up")
    body = problem_details(error, request_id="r1")
    assert (body["code"], body["ran"], body["status"]) == ("LIMITED", "no", 429)
    assert body["instance"] == "r1"

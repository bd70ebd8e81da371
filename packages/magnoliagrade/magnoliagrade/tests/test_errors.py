from magnoliagrade.errors import (
    RESPONSE_BY_KIND,
    ErrorKind,
    MagnoliagradeError,
    Ran,
    problem_details,
)


def test_every_kind_has_a_response():
    assert set(RESPONSE_BY_KIND) == set(ErrorKind)


def test_rejecting_kinds_report_that_the_request_has_not_run():
    for kind in (ErrorKind.NOT_RUN, ErrorKind.OVERLOADED, ErrorKind.SHUTTING_DOWN):
        assert RESPONSE_BY_KIND[kind].ran is Ran.NO


def test_kinds_that_may_have_run_are_not_retryable():
    for kind, response in RESPONSE_BY_KIND.items():
        assert response.ran is Ran.NO or not response.retryable, kind


def test_problem_details_contain_code_ran_status_and_request_id():
    error = MagnoliagradeError(ErrorKind.LIMITED, "share of 'x' used up")
    body = problem_details(error, request_id="r1")
    assert (body["code"], body["ran"], body["status"]) == ("LIMITED", "no", 429)
    assert body["instance"] == "r1"

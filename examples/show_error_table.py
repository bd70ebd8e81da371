"""
What an error response reports to callers
=========================================

Each kind of error has one response. It gives the HTTP status, whether the request ran
at its back end, and whether the same request may be sent again.
"""

from magnoliagrade.errors import ErrorKind, MagnoliagradeError, problem_details

error = MagnoliagradeError(ErrorKind.NOT_RUN, "pool 'assistants' takes no work")
problem = problem_details(error, request_id="r-1")
print(problem["status"], problem["code"], problem["ran"], problem["retryable"])

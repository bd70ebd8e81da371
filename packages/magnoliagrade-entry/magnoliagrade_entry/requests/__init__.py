"""Reading, admission and dispatch of callers' requests."""

from magnoliagrade_entry.requests.admission import Admission, admission_policies
from magnoliagrade_entry.requests.admission_fair import FairAdmission
from magnoliagrade_entry.requests.arrival import read_arrival, request_id_of
from magnoliagrade_entry.requests.attempt import AttemptFailed, run_attempt
from magnoliagrade_entry.requests.dispatch import Dispatcher
from magnoliagrade_entry.requests.forwarded import ForwardedTable
from magnoliagrade_entry.requests.revocation import RevocationClient

__all__ = [
    "Admission",
    "AttemptFailed",
    "Dispatcher",
    "FairAdmission",
    "ForwardedTable",
    "RevocationClient",
    "admission_policies",
    "read_arrival",
    "request_id_of",
    "run_attempt",
]

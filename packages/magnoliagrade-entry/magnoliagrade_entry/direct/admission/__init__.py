"""Decisions on waiting and rejection, and the queue of a service."""

from magnoliagrade_entry.direct.admission.overload import (
    retry_after_s,
    slot_deadline,
    wait_order,
)
from magnoliagrade_entry.direct.admission.recovery_room import (
    has_room_to_wait,
    is_returning,
)
from magnoliagrade_entry.direct.admission.retry_budget import RetryBudget
from magnoliagrade_entry.direct.admission.waiting import Waiter, WaitQueue

__all__ = [
    "RetryBudget",
    "WaitQueue",
    "Waiter",
    "has_room_to_wait",
    "is_returning",
    "retry_after_s",
    "slot_deadline",
    "wait_order",
]

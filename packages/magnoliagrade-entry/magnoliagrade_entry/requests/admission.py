"""Admission: which request may go on to be routed, and when."""

from typing import Protocol

from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.registry import Registry

__all__ = ["Admission", "CappedAdmission", "admission_policies"]

MAX_REQUESTS_IN_ENTRY = 4096

admission_policies = Registry(family="admission policy")


class Admission(Protocol):
    """What decides whether and when a request may be routed."""

    async def admit(self, request):
        """Wait for the request's turn.

        Raises `LIMITED`, `OVERLOADED` or `DEADLINE_NOT_RUN`; the request did not
        run then.
        """

    def release(self, request):
        """Note that an admitted request has been answered."""


@admission_policies.register("capped")
class CappedAdmission:
    """Baseline: first come, first served up to a cap.

    Parameters
    ----------
    node : EntryInstance
        The entry.
    """

    __slots__ = ("_in_entry",)

    def __init__(self, *, node):
        self._in_entry = 0

    async def admit(self, request):
        """Refuse what exceeds the cap."""
        if self._in_entry >= MAX_REQUESTS_IN_ENTRY:
            detail = f"{self._in_entry} requests are in the entry"
            raise MagnoliagradeError(ErrorKind.OVERLOADED, detail, retry_after=1)
        self._in_entry += 1

    def release(self, request):
        """Count one request less."""
        self._in_entry -= 1

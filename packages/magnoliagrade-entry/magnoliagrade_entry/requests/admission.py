"""Admission control: whether and when a request may be routed."""

from typing import Protocol

from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.registry import Registry

__all__ = ["Admission", "CappedAdmission", "admission_policies"]

MAX_CONCURRENT_REQUESTS = 4096

admission_policies = Registry(family="admission policy")


class Admission(Protocol):
    """Interface of the policies that admit or reject requests before routing."""

    async def admit(self, request):
        """Return once the request may be routed.

        Raises `LIMITED`, `OVERLOADED` or `DEADLINE_NOT_RUN`, all of which mean
        that the request did not run.
        """

    def release(self, request):
        """Free what an admitted request holds, after its response or error."""


@admission_policies.register("capped")
class CappedAdmission:
    """Baseline: admits each request up to a cap on concurrent requests.

    Parameters
    ----------
    node : EntryInstance
        The entry.
    """

    __slots__ = ("_concurrent_count",)

    def __init__(self, *, node):
        self._concurrent_count = 0

    async def admit(self, request):
        """Raise `OVERLOADED` if the entry is at its cap of concurrent requests."""
        if self._concurrent_count >= MAX_CONCURRENT_REQUESTS:
            detail = (
                f"the entry is serving {self._concurrent_count} requests, "
                f"limit {MAX_CONCURRENT_REQUESTS}"
            )
            raise MagnoliagradeError(ErrorKind.OVERLOADED, detail, retry_after=1)
        self._concurrent_count += 1

    def release(self, request):
        """Decrement the count of concurrent requests."""
        self._concurrent_count -= 1

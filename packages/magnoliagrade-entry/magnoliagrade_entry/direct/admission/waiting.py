"""Queue of requests that wait for a free slot at an endpoint."""

import asyncio
from collections import deque
from dataclasses import dataclass, field

from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from prometheus_client import Counter

from magnoliagrade_entry.direct.admission.overload import (
    completion_rate,
    limited_wait_s,
    predicted_wait_s,
    retry_after_s,
    wait_order,
)
from magnoliagrade_entry.direct.admission.recovery_room import has_room_to_wait

__all__ = ["Waiter", "WaitQueue"]

AWAITED_RECOVERIES = Counter(
    "magnoliagrade_direct_awaited_recoveries_total",
    "Requests that waited for the end of an outage",
)

# Window in which completions are counted to get the rate at which slots become free;
# longer than a usual stream, so that each slot contributes.
RATE_WINDOW_S = 2.0
# Weight of the newest request in the moving average of the time that a request holds
# its slot: averages about ten requests, a few seconds of an entry's traffic.
WORK_SMOOTHING = 0.1


@dataclass(slots=True, kw_only=True)
class Waiter:
    """A request that waits for a slot.

    Parameters
    ----------
    request : DirectRequest
        The request.
    excluded : set of str
        Ids of endpoints that it must not be sent to.
    slot_deadline : float
        Time by which the request needs a slot to be served in time.
    has_started : bool
        Whether the caller has received part of the response.
    future : asyncio.Future
        Result: load of the endpoint whose slot was assigned.
    """

    request: object
    excluded: set
    slot_deadline: float
    has_started: bool = False
    future: object = field(repr=False)


class WaitQueue:
    """Wait queue of one service.

    Parameters
    ----------
    service : str
        Service.
    endpoint_table : EndpointTable
        Requests in flight by endpoint.
    limit_exchange : LimitExchange
        Asks for permits to send requests to endpoints that name a limit.
    clock : Clock
        Source of time.
    rng : random.Random
        Random number generator for the jitter of retries.
    """

    __slots__ = (
        "_clock",
        "_completions",
        "_endpoint_table",
        "_in_flight",
        "_limit_exchange",
        "_rng",
        "_service",
        "_work_s",
        "waiters",
    )

    def __init__(self, *, service, endpoint_table, limit_exchange, clock, rng):
        self._service = service
        self._endpoint_table = endpoint_table
        self._limit_exchange = limit_exchange
        self._clock = clock
        self._rng = rng
        self._completions = deque()
        self._in_flight = 0
        self._work_s = 0.0
        self.waiters = []

    async def acquire_slot(
        self, request, *, excluded, slot_deadline, has_started=False
    ):
        """Return the load of an endpoint at which a slot has been acquired.

        Parameters
        ----------
        request : DirectRequest
            The request.
        excluded : set of str
            Ids of endpoints that it must not be sent to.
        slot_deadline : float
            Time by which the request needs a slot to be served in time.
        has_started : bool
            Whether the caller has received part of the response; such requests are
            served first.

        Raises
        ------
        MagnoliagradeError
            `OVERLOADED` as soon as no slot can be expected in time.
        """
        now = self._clock.monotonic()
        load = self._admit(
            request, excluded, slot_deadline, now, has_started=has_started
        )
        if load is not None:
            return load
        waiter = Waiter(
            request=request,
            excluded=excluded,
            slot_deadline=slot_deadline,
            has_started=has_started,
            future=asyncio.get_running_loop().create_future(),
        )
        self.waiters.append(waiter)
        if not self._endpoint_table.outages.is_unavailable(self._service):
            self._reject_displaced(waiter, now)
        # An ejection may have ended since the last call: no event marks its end.
        self.wake()
        try:
            # Unlike `wait_for`, a timeout never drops the cancellation by a caller who
            # leaves at the moment at which the slot is assigned.
            async with asyncio.timeout(max(0.0, slot_deadline - now)):
                return await waiter.future
        except TimeoutError:
            if waiter.future.done() and not waiter.future.cancelled():
                return waiter.future.result()
            now = self._clock.monotonic()
            if self._endpoint_table.outages.is_unavailable(self._service):
                raise self._outage_error(request, now) from None
            raise self._overloaded_error(
                "no endpoint had a free slot in time", request
            ) from None
        except asyncio.CancelledError:
            if _has_slot(waiter.future):
                self.release(waiter.future.result())
            raise
        finally:
            if waiter in self.waiters:
                self.waiters.remove(waiter)

    def release(self, load, *, work_s=None):
        """Release a slot and assign free slots to waiting requests.

        Parameters
        ----------
        load : EndpointLoad
            Load of the endpoint whose slot is released.
        work_s : float, optional
            Duration of a request that was completed, in seconds.
        """
        load.release_slot()
        self._in_flight -= 1
        if work_s is not None:
            weight = WORK_SMOOTHING if self._work_s else 1.0
            self._work_s += weight * (work_s - self._work_s)
        now = self._clock.monotonic()
        self._completions.append(now)
        while now - self._completions[0] > RATE_WINDOW_S:
            self._completions.popleft()
        self.wake()

    def wake(self):
        """Assign free slots to waiting requests in their order."""
        if not self.waiters or self._endpoint_table.outages.is_unavailable(
            self._service
        ):
            return
        now = self._clock.monotonic()
        for waiter in self._in_order(now):
            if waiter.future.done():
                continue
            load = self._acquire_free_slot(waiter.excluded, now)
            if load is not None:
                self.waiters.remove(waiter)
                waiter.future.set_result(load)
            elif not waiter.excluded:
                # No endpoint at all has a free slot.
                return

    def _acquire_free_slot(self, excluded, now):
        load = self._endpoint_table.select_endpoint(
            self._service, now=now, excluded=excluded
        )
        self._limit_exchange.request_permit(
            self._service,
            rival=load,
            excluded=excluded,
            waiting=len(self.waiters),
            now=now,
        )
        if load is not None:
            load.acquire_slot(now)
            self._in_flight += 1
        return load

    def _admit(self, request, excluded, slot_deadline, now, *, has_started):
        """Return the load of a free slot, or None if the request may wait for one."""
        outages = self._endpoint_table.outages
        if outages.should_reject(self._service, now=now):
            if not self._may_await_recovery(request, now, slot_deadline):
                raise self._outage_error(request, now)
            AWAITED_RECOVERIES.inc()
        else:
            # During an outage a request let through as a probe does not wait behind
            # others.
            if not self.waiters or outages.is_unavailable(self._service):
                load = self._acquire_free_slot(excluded, now)
                if load is not None:
                    return load
            self._reject_if_too_late(
                request, excluded, slot_deadline, now, has_started=has_started
            )
        return None

    def _in_order(self, now):
        """Return the waiting requests in the order in which they get slots."""
        return sorted(
            self.waiters,
            key=lambda w: (not w.has_started, *wait_order(w.request, now)),
        )

    def _ahead_of(self, request, *, has_started):
        """Return the waiting requests that a request does not go before."""
        return [
            waiter
            for waiter in self.waiters
            if waiter.has_started
            or (not has_started and waiter.request.urgency <= request.urgency)
        ]

    def _reject_displaced(self, added, now):
        """Reject the requests that an added one keeps from getting a slot in time."""
        for ahead, waiter in enumerate(self._in_order(now)):
            is_behind = not waiter.has_started and (
                added.has_started or waiter.request.urgency > added.request.urgency
            )
            if not is_behind or waiter.future.done():
                continue
            if now + self._expected_wait_s(now, ahead) > waiter.slot_deadline:
                waiter.future.set_exception(
                    self._overloaded_error(
                        "more urgent requests take the slots that become free in time",
                        waiter.request,
                    )
                )

    def _may_await_recovery(self, request, now, slot_deadline):
        """Return whether a request may wait for the end of the service's outage."""
        loads = self._endpoint_table.loads_of(self._service)
        return slot_deadline > now and has_room_to_wait(
            request,
            len(self.waiters),
            slots=sum(load.endpoint.slots for load in loads),
            entries=self._limit_exchange.count_entries(),
        )

    def _reject_if_too_late(
        self, request, excluded, slot_deadline, now, *, has_started
    ):
        candidates = [
            load
            for load in self._endpoint_table.loads_of(self._service)
            if load.endpoint.id not in excluded
        ]
        if not candidates:
            raise self._overloaded_error(
                f"no endpoint accepts requests ({len(excluded)} tried already)", request
            )
        returns_at = self._endpoint_table.next_return_time(self._service, now=now)
        if returns_at is not None and returns_at > slot_deadline:
            raise self._overloaded_error(
                "no endpoint may get a request in time",
                request,
                wait_s=returns_at - now,
            )
        ahead = self._ahead_of(request, has_started=has_started)
        if not ahead and self._endpoint_table.has_free_slot(
            self._service, now=now, excluded=excluded
        ):
            # The request leaves the slot to another entry for the moment.
            return
        if now + self._expected_wait_s(now, len(ahead)) > slot_deadline:
            raise self._overloaded_error(
                "the queue is too long to get a slot in time", request
            )

    def _expected_wait_s(self, now, ahead):
        recent = sum(now - at <= RATE_WINDOW_S for at in self._completions)
        recent_per_s = recent / RATE_WINDOW_S
        limit_per_s = self._endpoint_table.total_limit_per_s(self._service)
        if limit_per_s < float("inf"):
            return limited_wait_s(
                ahead,
                recent_per_s,
                limit_per_s=limit_per_s,
                entries=self._limit_exchange.count_entries(),
            )
        rate = completion_rate(recent_per_s, self._in_flight, self._work_s)
        return predicted_wait_s(ahead, rate)

    def _outage_error(self, request, now):
        remaining_s = request.ends_at - now
        return self._overloaded_error(
            "a group has lost a rank", request, wait_s=remaining_s
        )

    def _overloaded_error(self, detail, request, *, wait_s=None):
        now = self._clock.monotonic()
        if wait_s is None:
            wait_s = self._expected_wait_s(now, len(self.waiters))
        return MagnoliagradeError(
            ErrorKind.OVERLOADED,
            f"{detail}: {len(self.waiters)} requests waiting for {self._service}",
            retry_after=retry_after_s(wait_s, request.ends_at - now, rng=self._rng),
        )


def _has_slot(future):
    """Return whether a slot was assigned to the request of a future."""
    return future.done() and not future.cancelled() and future.exception() is None

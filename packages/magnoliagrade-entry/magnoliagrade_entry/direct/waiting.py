"""Requests that wait at an entry for an endpoint with room."""

import asyncio
from collections import deque
from dataclasses import dataclass, field

from magnoliagrade.errors import ErrorKind, MagnoliagradeError

from magnoliagrade_entry.direct.overload import (
    completion_rate,
    order_of,
    predicted_wait_s,
    retry_after_s,
)

__all__ = ["Waiter", "WaitingRoom"]

# Completions of this span give the rate at which places come free; longer than a
# usual stream, so that each place counts.
RATE_WINDOW_S = 2.0
# Weight of the newest request in the usual time that one holds its place: some ten
# requests, a few seconds of an entry's traffic.
WORK_WEIGHT = 0.1


@dataclass(slots=True, kw_only=True)
class Waiter:
    """A request that waits for a place.

    Parameters
    ----------
    request : DirectRequest
        The request.
    excluded : set of str
        Endpoints that it must not go to.
    leave_at : float
        Time after which a place is of no use to it.
    is_under_way : bool
        Whether its caller has got a part of its answer already.
    future : asyncio.Future
        Gets the place.
    """

    request: object
    excluded: set
    leave_at: float
    is_under_way: bool = False
    future: object = field(repr=False)


class WaitingRoom:
    """Queue of one service.

    Parameters
    ----------
    service : str
        Service.
    places : PlaceBook
        Work in flight.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of chance, which spreads returns.
    """

    __slots__ = (
        "_clock",
        "_completions",
        "_in_flight",
        "_places",
        "_rng",
        "_service",
        "_work_s",
        "waiters",
    )

    def __init__(self, *, service, places, clock, rng):
        self._service = service
        self._places = places
        self._clock = clock
        self._rng = rng
        self._completions = deque()
        self._in_flight = 0
        self._work_s = 0.0
        self.waiters = []

    async def take_place(self, request, *, excluded, leave_at, is_under_way=False):
        """Return a place, counted as in use, once there is room.

        Parameters
        ----------
        request : DirectRequest
            The request.
        excluded : set of str
            Endpoints that it must not go to.
        leave_at : float
            Time after which a place is of no use to it.
        is_under_way : bool
            Whether its caller has got a part of its answer already; it goes first.

        Raises
        ------
        MagnoliagradeError
            `OVERLOADED` as soon as no place can be expected in time.
        """
        now = self._clock.monotonic()
        if self._places.is_out(self._service, now=now):
            raise self._outage_refusal(request, now)
        # In an outage a request that is let through does not wait behind others.
        if not self.waiters or self._places.is_known_out(self._service):
            place = self._choose(excluded, now)
            if place is not None:
                return place
        ahead = [w for w in self.waiters if w.is_under_way or not is_under_way]
        self._refuse_hopeless(request, excluded, leave_at, now, ahead=len(ahead))
        waiter = Waiter(
            request=request,
            excluded=excluded,
            leave_at=leave_at,
            is_under_way=is_under_way,
            future=asyncio.get_running_loop().create_future(),
        )
        self.waiters.append(waiter)
        # Places that are left out for a while come back without an event.
        self.wake()
        try:
            return await asyncio.wait_for(waiter.future, max(0.0, leave_at - now))
        except TimeoutError:
            now = self._clock.monotonic()
            if self._places.is_known_out(self._service):
                raise self._outage_refusal(request, now) from None
            raise self._refusal("no endpoint had room in time", request) from None
        except asyncio.CancelledError:
            if waiter.future.done() and not waiter.future.cancelled():
                self.release(waiter.future.result())
            raise
        finally:
            if waiter in self.waiters:
                self.waiters.remove(waiter)

    def release(self, place, *, work_s=None):
        """Give a place back and wake whoever it suits.

        Parameters
        ----------
        place : Place
            The place.
        work_s : float, optional
            Time that a whole answer took.
        """
        place.own -= 1
        self._in_flight -= 1
        if work_s is not None:
            weight = WORK_WEIGHT if self._work_s else 1.0
            self._work_s += weight * (work_s - self._work_s)
        now = self._clock.monotonic()
        self._completions.append(now)
        while now - self._completions[0] > RATE_WINDOW_S:
            self._completions.popleft()
        self.wake()

    def wake(self):
        """Give free places to those that wait, in order."""
        if not self.waiters or self._places.is_known_out(self._service):
            return
        now = self._clock.monotonic()

        def turn_of(waiter):
            return not waiter.is_under_way, *order_of(waiter.request, now)

        for waiter in sorted(self.waiters, key=turn_of):
            if waiter.future.done():
                continue
            place = self._choose(waiter.excluded, now)
            if place is not None:
                self.waiters.remove(waiter)
                waiter.future.set_result(place)
            elif not waiter.excluded:
                return

    def _choose(self, excluded, now):
        place = self._places.choose(self._service, now=now, excluded=excluded)
        if place is not None:
            place.own += 1
            self._in_flight += 1
        return place

    def _refuse_hopeless(self, request, excluded, leave_at, now, *, ahead):
        left = [
            place
            for place in self._places.places_of(self._service)
            if place.endpoint.id not in excluded
        ]
        if not left:
            raise self._refusal("no endpoint may get requests", request)
        returns_at = self._places.return_time(self._service, now=now)
        if returns_at is not None and returns_at > leave_at:
            raise self._refusal("every endpoint has failed", request)
        if now + self._expected_wait_s(now, ahead) > leave_at:
            raise self._refusal("the queue is too long", request)

    def _expected_wait_s(self, now, ahead):
        recent = sum(now - at <= RATE_WINDOW_S for at in self._completions)
        rate = completion_rate(recent / RATE_WINDOW_S, self._in_flight, self._work_s)
        return predicted_wait_s(ahead, rate)

    def _outage_refusal(self, request, now):
        left_s = request.ends_at - now
        return self._refusal("a group has lost a rank", request, wait_s=left_s)

    def _refusal(self, detail, request, *, wait_s=None):
        now = self._clock.monotonic()
        if wait_s is None:
            wait_s = self._expected_wait_s(now, len(self.waiters))
        return MagnoliagradeError(
            ErrorKind.OVERLOADED,
            f"{detail}: {len(self.waiters)} wait",
            retry_after=retry_after_s(wait_s, request.ends_at - now, rng=self._rng),
        )

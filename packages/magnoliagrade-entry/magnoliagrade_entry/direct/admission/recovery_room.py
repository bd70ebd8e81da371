"""Which requests wait for the recovery of their service during an outage.

Load pattern: all groups of a service are out for several seconds, because a data
centre that holds some of the ranks of each is cut off. Callers that are rejected come
back once, after at most a third of the time that they have left, and most of them come
back during the outage.
"""

__all__ = ["RECOVERY_ROOM_FRACTION", "has_room_to_wait", "is_returning"]

# Fraction of an entry's share of the slots for which requests wait. The slots that they
# take as the service recovers are held for the length of a stream; new requests arrive
# one by one meanwhile and need the other half only at its end.
RECOVERY_ROOM_FRACTION = 0.5
# A request whose caller waits for less than this fraction of the route's time limit has
# been sent before: callers first send a request with all of the time that they have.
RETURNING_FRACTION = 0.9


def is_returning(request):
    """Return whether a request's caller has probably been rejected before.

    Parameters
    ----------
    request : DirectRequest
        The request.
    """
    limit_s = RETURNING_FRACTION * request.route.timeout_s
    return request.ends_at - request.arrived_at < limit_s


def has_room_to_wait(request, waiting, *, slots, entries):
    """Return whether a request waits for the recovery instead of being rejected.

    Parameters
    ----------
    request : DirectRequest
        The request.
    waiting : int
        Requests of this entry that wait for the service already.
    slots : int
        Slots of all endpoints of the service.
    entries : int
        Number of entries that share them.

    Notes
    -----
    A caller that comes for the first time is rejected at once and told to come back.
    One that has come back would lose its request. More waiting requests than that would
    delay the callers that arrive once the service has recovered.
    """
    if not is_returning(request):
        return False
    return waiting < max(1, int(RECOVERY_ROOM_FRACTION * slots / entries))

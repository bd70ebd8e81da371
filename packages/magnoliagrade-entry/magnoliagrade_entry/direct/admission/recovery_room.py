"""Which requests wait for the recovery of their service during an outage.

Load pattern: all groups of a service are out for several seconds, because a data
centre that holds some of the ranks of each is cut off. Callers that are rejected come
back once, after at most a third of the time that they have left, and most of them come
back during the outage.
"""

__all__ = [
    "FIRST_ROOM_FRACTION",
    "RETURNING_ROOM_FRACTION",
    "has_room_to_wait",
    "is_returning",
]

# Fraction of an entry's share of the slots that may be waited for. All slots are free
# as the service recovers. Those that waiting requests take are held for the length of a
# stream; new requests arrive one by one meanwhile.
RETURNING_ROOM_FRACTION = 0.75
# The same for callers that come for the first time, who leave half of it to those that
# would otherwise lose their request.
FIRST_ROOM_FRACTION = 0.375
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
    The end of the outage is not known. A caller that waits is served as soon as it
    ends, and one that has waited in vain may still come back, so that waiting bridges
    longer outages than a rejection at once. Beyond the slots that will be free it
    cannot help, and the caller is rejected at once.
    """
    fraction = RETURNING_ROOM_FRACTION if is_returning(request) else FIRST_ROOM_FRACTION
    return waiting < max(1, int(fraction * slots / entries))

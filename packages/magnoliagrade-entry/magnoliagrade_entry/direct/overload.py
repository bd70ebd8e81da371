"""Decisions about waiting and turning away when endpoints are full.

Load pattern: bursts of 1.5 to 2 times what the endpoints complete, for seconds.
"""

__all__ = [
    "completion_rate",
    "slot_deadline",
    "wait_order",
    "predicted_wait_s",
    "retry_after_s",
]

# Callers of streams give up without a first event after two seconds, or four times
# the latency objective if that is longer (platform pages).
STREAM_TIMEOUT_S = 2.0
STREAM_TIMEOUT_OBJECTIVES = 4.0
# From the send to the first event: connection, prompt, one pass of a full engine.
FIRST_EVENT_S = 0.25
# A plain call's work at its 99th percentile on a full endpoint (site sheets: 45 ms
# on average).
PLAIN_WORK_S = 0.15
# Callers come back once, and wait for at most a third of the time that they have left
# (platform pages).
MAX_RETRY_AFTER_FRACTION = 1 / 3
# Returns are spread over this part of the wait, so that they are no new burst.
RETRY_AFTER_JITTER = 0.25
# The same for the longest wait, whose callers mostly came one by one: each tenth of a
# second sooner finds one caller in sixty still in the outage (of 6 s).
MAX_RETRY_AFTER_JITTER = 0.08
# Sooner would find the same queue.
MIN_RETRY_AFTER_S = 0.1


def slot_deadline(request, *, last_event_at=None):
    """Return the time after which a place is of no use to a request.

    Parameters
    ----------
    request : DirectRequest
        The request.
    last_event_at : float, optional
        Time of the last event that the caller of a stream has got.
    """
    if not request.route.is_stream:
        return request.ends_at - PLAIN_WORK_S
    since = request.arrived_at if last_event_at is None else last_event_at
    timeout_s = max(
        STREAM_TIMEOUT_S, STREAM_TIMEOUT_OBJECTIVES * request.route.objective_s
    )
    return min(since + timeout_s, request.ends_at) - FIRST_EVENT_S


def wait_order(request, now):
    """Return the sort key of a waiting request; the least goes first.

    Parameters
    ----------
    request : DirectRequest
        The request.
    now : float
        Time in seconds.

    Notes
    -----
    What can still be answered within its objective goes before what is late, the
    newest first: serving the oldest first under a lasting overload answers each of
    them just after its objective.
    """
    is_late = now + FIRST_EVENT_S > request.arrived_at + request.route.objective_s
    turn = request.arrived_at if is_late else -request.arrived_at
    return request.priority, is_late, turn


def completion_rate(recent_per_s, in_flight, work_s):
    """Return the rate at which places are expected to come free.

    Parameters
    ----------
    recent_per_s : float
        Rate of the last seconds.
    in_flight : int
        Requests of this entry that hold a place.
    work_s : float
        Usual time that a request holds its place; 0 if that is not known.

    Notes
    -----
    Right after an outage all places have just been taken: nothing has been completed
    lately, and much will be soon.
    """
    by_work = in_flight / work_s if work_s > 0 else 0.0
    return max(recent_per_s, by_work)


def predicted_wait_s(waiting, completions_per_s):
    """Return how long a request that comes now would wait for a place.

    Parameters
    ----------
    waiting : int
        Requests that wait before it.
    completions_per_s : float
        Rate at which places came free lately; 0 if that is not known.
    """
    if completions_per_s <= 0:
        return 0.0
    return (waiting + 1) / completions_per_s


def retry_after_s(wait_s, remaining_s, *, rng):
    """Return when a refused caller should come back, in seconds.

    Parameters
    ----------
    wait_s : float
        Expected wait for a place.
    remaining_s : float
        Time that the caller has left.
    rng : random.Random
        Source of chance.

    Notes
    -----
    A caller comes back once, so it is told to come too late rather than too early,
    but not so late that nothing is left.
    """
    longest_s = max(MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_FRACTION * remaining_s)
    wait_s = max(MIN_RETRY_AFTER_S, 2 * wait_s) * (
        1 + rng.uniform(0, RETRY_AFTER_JITTER)
    )
    return min(wait_s, longest_s * (1 - rng.uniform(0, MAX_RETRY_AFTER_JITTER)))

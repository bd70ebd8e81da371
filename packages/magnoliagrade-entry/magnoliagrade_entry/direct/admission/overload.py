"""Decisions about queueing and rejecting requests when endpoints are full.

Load pattern: bursts of 1.5 to 2 times the endpoints' throughput, for seconds.
"""

__all__ = [
    "completion_rate",
    "limited_wait_s",
    "slot_deadline",
    "wait_order",
    "predicted_wait_s",
    "retry_after_s",
]

# Shortest time after which callers of streams time out without an event.
STREAM_TIMEOUT_S = 2.0
# Time after which callers of streams time out without an event, as a multiple of the
# latency objective, if that is longer than two seconds.
STREAM_TIMEOUT_OBJECTIVES = 4.0
# Time from sending a request to its first event: connection, reading of the prompt and
# one pass of a full engine.
FIRST_EVENT_S = 0.25
# 99th percentile of a plain call's duration at a full endpoint; the mean is 45 ms.
PLAIN_WORK_S = 0.15
# Callers retry once, and wait for at most a third of their remaining time before it.
MAX_RETRY_AFTER_FRACTION = 1 / 3
# Random part added to Retry-After, as a fraction of it, so that retries do not form
# another burst.
RETRY_AFTER_JITTER = 0.25
# Random part subtracted from the longest Retry-After, as a fraction of it. Its callers
# mostly arrived one by one, so little is needed: with an outage of 6 s, each tenth of a
# second less makes one caller in sixty retry during the outage.
MAX_RETRY_AFTER_JITTER = 0.08
# Shortest Retry-After: an earlier retry would find the same queue.
MIN_RETRY_AFTER_S = 0.1


def slot_deadline(request, *, last_event_at=None):
    """Return the time by which a request needs a slot to be served in time.

    Parameters
    ----------
    request : DirectRequest
        The request.
    last_event_at : float, optional
        Time of the last event sent to the caller of a stream.
    """
    if not request.route.is_stream:
        return request.ends_at - PLAIN_WORK_S
    since = request.arrived_at if last_event_at is None else last_event_at
    timeout_s = max(
        STREAM_TIMEOUT_S, STREAM_TIMEOUT_OBJECTIVES * request.route.objective_s
    )
    return min(since + timeout_s, request.ends_at) - FIRST_EVENT_S


def wait_order(request, now):
    """Return the sort key of a waiting request; the smallest is served first.

    Parameters
    ----------
    request : DirectRequest
        The request.
    now : float
        Time in seconds.

    Notes
    -----
    Within an urgency, requests that can still meet their latency objective are served
    before late ones, newest first. Serving the oldest first under a lasting overload
    completes each request just after its objective.
    """
    is_late = now + FIRST_EVENT_S > request.arrived_at + request.route.objective_s
    arrival_order = request.arrived_at if is_late else -request.arrived_at
    return *request.urgency, is_late, arrival_order


def completion_rate(recent_per_s, in_flight, work_s):
    """Return the rate at which slots are expected to become free, per second.

    Parameters
    ----------
    recent_per_s : float
        Rate of completions during the last seconds.
    in_flight : int
        Requests of this entry that hold a slot.
    work_s : float
        Usual time that a request holds its slot, in seconds; 0 if unknown.

    Notes
    -----
    Right after an outage all slots have just been acquired: no request has completed
    within the last seconds, although many will within the next ones.
    """
    by_work = in_flight / work_s if work_s > 0 else 0.0
    return max(recent_per_s, by_work)


def limited_wait_s(waiting, completions_per_s, *, limit_per_s, entries):
    """Return how long a request would wait where all endpoints name limits, in seconds.

    Parameters
    ----------
    waiting : int
        Requests that are ahead of it in the queue of this entry.
    completions_per_s : float
        Rate at which requests of this entry were completed recently.
    limit_per_s : float
        Requests per second that all endpoints together take from all entries.
    entries : int
        Number of entries.

    Notes
    -----
    What the other entries send is not known. One request may always wait, so that each
    entry goes on asking for permits while the others may need none.
    """
    if not waiting:
        return 0.0
    rate_per_s = min(limit_per_s, max(completions_per_s, limit_per_s / entries))
    return (waiting + 1) / rate_per_s


def predicted_wait_s(waiting, completions_per_s):
    """Return how long a request that arrives now would wait for a slot, in seconds.

    Parameters
    ----------
    waiting : int
        Requests that are ahead of it in the queue.
    completions_per_s : float
        Rate at which slots become free; 0 if unknown.
    """
    if completions_per_s <= 0:
        return 0.0
    return (waiting + 1) / completions_per_s


def retry_after_s(wait_s, remaining_s, *, rng):
    """Return the Retry-After of a rejected request, in seconds.

    Parameters
    ----------
    wait_s : float
        Expected wait for a slot.
    remaining_s : float
        Time until the caller's deadline.
    rng : random.Random
        Random number generator.

    Notes
    -----
    A caller retries once, so a late retry is better than an early one, as long as
    enough of its time remains.
    """
    longest_s = max(MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_FRACTION * remaining_s)
    wait_s = max(MIN_RETRY_AFTER_S, 2 * wait_s) * (
        1 + rng.uniform(0, RETRY_AFTER_JITTER)
    )
    return min(wait_s, longest_s * (1 - rng.uniform(0, MAX_RETRY_AFTER_JITTER)))

"""Tests of the retry budget, the backoff and hedging."""

import asyncio
import random

from hypothesis import given
from hypothesis import strategies as st
from magnoliagrade.clock import ManualClock
from magnoliagrade.errors import ErrorKind, Ran

from magnoliagrade_entry.requests.attempt import AttemptFailed
from magnoliagrade_entry.requests.hedging import HedgedAttempts, hedge_policies
from magnoliagrade_entry.requests.retries import backoff_s, retry_policies


@given(st.integers(0, 300), st.sampled_from([0.0, 0.1, 0.5]))
def test_retries_stay_within_the_budget_of_the_window(requests, fraction):
    clock = ManualClock()
    retries = retry_policies.get("budget")(clock=clock, fraction=fraction)
    for _ in range(requests):
        retries.record_request()
    allowed = sum(retries.take(1) for _ in range(requests + 10))
    assert allowed <= 3 + fraction * requests


def test_budget_is_restored_after_its_window():
    clock = ManualClock()
    retries = retry_policies.get("budget")(clock=clock, fraction=0.1)
    while retries.take(1):
        pass
    asyncio.run(clock.advance(11))
    assert retries.take(1)


def test_backoff_is_jittered_and_bounded():
    delays_s = [backoff_s(9, random.Random(seed)) for seed in range(50)]
    assert len(set(delays_s)) == 50
    assert 0 <= min(delays_s) and max(delays_s) <= 0.25


def test_hedge_delay_is_unset_below_the_minimum_of_samples():
    policy = hedge_policies.get("p95")()
    for number in range(100):
        policy.record(number / 1000)
        assert (policy.delay_s() is None) == (number < 19)
    assert 0.09 <= policy.delay_s() <= 0.1


class FakeSink:
    """Sink that records what is written."""

    def __init__(self):
        self.parts = []
        self.has_started = False
        self.bytes_written = 0
        self.tokens_written = 0

    async def start(self, status, headers):
        self.has_started = True

    async def write(self, data, *, tokens=0):
        self.parts.append(data)

    async def finish(self):
        self.parts.append(b"end")


def _attempt(name, wait_s, log, ran=None):
    async def attempt(attempt_sink):
        try:
            await asyncio.sleep(wait_s)
            if ran is not None:
                raise AttemptFailed(ErrorKind.NOT_RUN, name, ran=ran)
            await attempt_sink.start(200, {})
            await attempt_sink.write(name.encode())
            await attempt_sink.finish()
        except asyncio.CancelledError:
            log.append(f"{name} cancelled")
            raise

    return attempt


async def _run_hedged(first, second):
    sink = FakeSink()
    await HedgedAttempts(sink=sink).run(first, second, 0.01)
    return sink.parts


def test_first_response_is_written_and_the_other_attempt_is_cancelled():
    log = []
    slow, quick = _attempt("slow", 60, log), _attempt("quick", 0, log)
    assert asyncio.run(_run_hedged(slow, quick)) == [b"quick", b"end"]
    assert log == ["slow cancelled"]


def test_first_attempt_continues_after_a_failed_hedge():
    log = []
    first, second = _attempt("first", 0.1, log), _attempt("b", 0, log, ran=Ran.NO)
    assert asyncio.run(_run_hedged(first, second)) == [b"first", b"end"]


def test_failure_that_may_have_run_is_raised_in_preference():
    log = []
    first = _attempt("first", 0.02, log, ran=Ran.NO)
    second = _attempt("second", 0.03, log, ran=Ran.UNKNOWN)
    try:
        asyncio.run(_run_hedged(first, second))
    except AttemptFailed as exc:
        assert exc.ran is Ran.UNKNOWN
    else:
        raise AssertionError("nothing was raised")

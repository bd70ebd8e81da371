from types import SimpleNamespace

from magnoliagrade.clock import ManualClock
from magnoliagrade.platform import prompt_parts_of

from magnoliagrade_entry.direct.serving.crash_guard import (
    MAX_GROUPS,
    SERVED_LIFE_S,
    CrashGuard,
)
from magnoliagrade_entry.direct.serving.crash_suspects import (
    BLOCK_S,
    BRIEF_BLOCK_S,
    CRASHES_TO_BLOCK,
    CRASHES_TO_BLOCK_BRIEFLY,
    CRASHES_TO_BLOCK_WIDER,
    ServerCrash,
)
from magnoliagrade_entry.direct.serving.request_traits import RequestTraits, traits_of


def test_request_is_blocked_after_crashes_one_after_the_other():
    guard, clock = _guard()
    traits = _traits("r")
    for number in range(CRASHES_TO_BLOCK_BRIEFLY):
        assert not guard.blocked_for_s(traits)
        blocked = _crash(guard, clock, traits, endpoint=f"i-{number}")
        guard.record_served(_traits("other"))
    assert blocked == ["repetition-r"]
    assert guard.blocked_for_s(traits) == BRIEF_BLOCK_S
    clock._time += BRIEF_BLOCK_S + 1.0
    assert not guard.blocked_for_s(traits)
    blocked = _crash(guard, clock, traits, endpoint="i-last")
    assert blocked == ["repetition-r", "request-r"]
    assert guard.blocked_for_s(traits) == BLOCK_S
    assert not guard.blocked_for_s(_traits("other"))
    clock._time += BLOCK_S + 1.0
    assert guard.blocked_for_s(traits) == 0.0
    _crash(guard, clock, _traits("another"))
    assert not guard.has_blocks


def test_servers_that_end_within_a_moment_of_retries_count_each():
    guard, clock = _guard()
    traits = _traits("r")
    for number in range(CRASHES_TO_BLOCK):
        blocked = _crash(guard, clock, traits, endpoint=f"i-{number}", lasted_s=0.05)
    assert blocked == ["repetition-r", "request-r"]


def test_brief_block_is_not_extended_by_reports_of_the_same_crashes():
    guard, clock = _guard()
    traits = _traits("r")
    for number in range(CRASHES_TO_BLOCK_BRIEFLY):
        _crash(guard, clock, traits, endpoint=f"i-{number}")
    clock._time += 20.0
    for crash in guard.crashes():
        assert not guard.record_crashes([crash])
    assert guard.blocked_for_s(traits) == BRIEF_BLOCK_S - 20.0


def test_served_request_is_no_longer_blocked_after_two_crashes():
    guard, clock = _guard()
    traits = _traits("r")
    for _ in range(CRASHES_TO_BLOCK_BRIEFLY):
        _crash(guard, clock, traits)
    # Another entry, which did not know of the crashes yet, has served it.
    assert guard.record_served(traits)
    assert not guard.blocked_for_s(traits)


def test_requests_with_other_prompts_are_not_blocked_after_two_crashes():
    guard, clock = _guard()
    for number in range(CRASHES_TO_BLOCK_BRIEFLY):
        crash_under = _traits("r", variant=f"r{number}")
        assert not _crash(guard, clock, crash_under, endpoint=f"i-{number}")


def test_servers_that_end_at_one_moment_count_once():
    # All attempts began before the first server ended.
    guard, clock = _guard()
    now = clock.monotonic()
    for number in range(3 * CRASHES_TO_BLOCK):
        crash = ServerCrash(
            endpoint_id=f"i-{number}",
            traits=_traits("r"),
            began_at=now - 0.1,
            crashed_at=now + 0.01 * number,
            responded_at=now + 0.01 * number,
        )
        assert not guard.record_crashes([crash])


def test_servers_that_fall_silent_together_count_once():
    # Attempts at one after the other, while none of the service responds.
    guard, clock = _guard()
    responded_at = clock.monotonic() - 0.2
    for number in range(3 * CRASHES_TO_BLOCK):
        assert not _crash(
            guard,
            clock,
            _traits("r"),
            endpoint=f"i-{number}",
            responded_at=responded_at,
        )
    responded_at = clock.monotonic() + 0.1
    blocked = _crash(guard, clock, _traits("r"), responded_at=responded_at)
    assert blocked == ["repetition-r"]
    responded_at = clock.monotonic() + 0.1
    blocked = _crash(guard, clock, _traits("r"), responded_at=responded_at)
    assert blocked == ["repetition-r", "request-r"]


def test_complete_response_clears_a_request_that_a_crash_met_by_chance():
    guard, clock = _guard()
    traits = _traits("r", parts=("a",))
    for _ in range(3 * CRASHES_TO_BLOCK):
        assert not _crash(guard, clock, traits)
        assert guard.is_suspected(traits)
        assert guard.record_served(traits)
        assert not guard.is_suspected(traits)


def test_request_that_was_served_during_the_attempt_is_not_suspected():
    guard, clock = _guard()
    guard.expect_crash()
    clock._time += 1.0
    guard.record_served(_traits("r"))
    clock._time += 0.1
    crash = ServerCrash(
        endpoint_id="i-1",
        traits=_traits("r"),
        began_at=50.9,
        crashed_at=51.05,
        responded_at=51.05,
    )
    assert not guard.record_crashes([crash])
    assert not guard.is_suspected(_traits("r"))


def test_part_of_prompts_is_blocked_for_the_caller_whose_requests_crash_servers():
    guard, clock = _guard()
    for number in range(CRASHES_TO_BLOCK):
        traits = _traits(f"r{number}", parts=("f", "a"))
        blocked = _crash(guard, clock, traits)
        guard.record_served(_traits("sound", parts=("f", "b")))
    assert blocked == ["part-a-org"]
    assert guard.blocked_for_s(_traits("new", parts=("a",)))
    assert not guard.blocked_for_s(_traits("new", parts=("a",), caller="org-2"))
    blocked = _crash(guard, clock, _traits("n", parts=("a",), caller="org-2"))
    assert blocked == ["part-a"]
    assert guard.blocked_for_s(_traits("new", parts=("a",), caller="org-3"))


def test_repetitions_of_one_request_block_no_part_of_its_prompt():
    guard, clock = _guard()
    traits = _traits("r", parts=("a",))
    for number in range(2 * CRASHES_TO_BLOCK):
        _crash(guard, clock, traits, endpoint=f"i-{number}")
    assert guard.blocked_for_s(traits)
    assert not guard.blocked_for_s(_traits("new", parts=("a",)))


def test_wider_part_is_not_blocked_if_nothing_is_served_between_crashes():
    # Guards against a block of the first part of sound prompts: "f" is in all of them.
    guard, clock = _guard()
    _arrive(guard, parts=("f", "b"), count=20)
    _arrive(guard, parts=("f", "c"), count=20)
    for number in range(CRASHES_TO_BLOCK):
        _arrive(guard, parts=("f", "a"))
        blocked = _crash(
            guard,
            clock,
            _traits(f"r{number}", parts=("f", "a")),
            endpoint=f"i-{number}",
            in_flight=[
                _traits(f"s{number}", parts=("f", "b")),
                _traits(f"t{number}", parts=("f", "c"), caller="org-2"),
            ],
        )
    assert blocked == ["part-a-org"]
    for part in ("b", "c"):
        for caller in ("org", "org-2"):
            sound = _traits("new", parts=("f", part), caller=caller)
            assert not guard.blocked_for_s(sound)
    assert guard.blocked_for_s(_traits("new", parts=("f", "a")))


def test_wider_part_is_blocked_by_the_fifth_crash_if_a_narrower_one_is_not_to_blame():
    guard, clock = _guard()
    _arrive(guard, parts=("f", "b"), count=20)
    for number in range(CRASHES_TO_BLOCK_WIDER):
        parts = ("f", "a") if number < CRASHES_TO_BLOCK else ("f", "b")
        _arrive(guard, parts=parts)
        traits = _traits(f"r{number}", parts=parts)
        assert not guard.blocked_for_s(_traits("new", parts=("f", "c")))
        blocked = _crash(guard, clock, traits, endpoint=f"i-{number}")
    assert blocked == ["part-f-org"]
    assert guard.blocked_for_s(_traits("new", parts=("f", "c")))


def test_parts_that_always_come_together_are_both_blocked():
    guard, clock = _guard()
    for number in range(CRASHES_TO_BLOCK):
        _arrive(guard, parts=("f", "a"))
        blocked = _crash(guard, clock, _traits(f"r{number}", parts=("f", "a")))
    assert blocked == ["part-a-org", "part-f-org"]
    # A sound request with one of them tells the parts apart.
    _arrive(guard, parts=("f", "b"))
    assert not guard.blocked_for_s(_traits("new", parts=("f", "b")))
    assert guard.lift_explained(blocked) == ["part-f-org"]
    assert guard.blocked_for_s(_traits("new", parts=("f", "a")))


def test_repeated_request_in_flight_at_crashes_is_released_with_the_block_of_a_part():
    # Guards against a minute's block of a request that was only in flight.
    guard, clock = _guard()
    _arrive(guard, parts=("f", "b"), count=20)
    in_flight = [_traits("s", parts=("f", "b"))]
    for number in range(CRASHES_TO_BLOCK):
        traits = _traits(f"r{number}", parts=("f", "a"))
        _arrive(guard, parts=traits.parts)
        is_last = number == CRASHES_TO_BLOCK - 1
        blocked = _crash(
            guard,
            clock,
            traits,
            endpoint=f"i-{number}",
            in_flight=[] if is_last else in_flight,
        )
        if number == CRASHES_TO_BLOCK_BRIEFLY - 1:
            assert blocked == ["repetition-s"]
    assert blocked == ["part-a-org"]
    assert not guard.blocked_for_s(in_flight[0])


def test_part_that_the_store_lists_is_not_blocked_if_a_narrower_one_explains_it():
    # An entry that has seen no sound request with "f" has published it.
    guard, clock = _guard()
    _arrive(guard, parts=("f", "b"), count=20)
    for number in range(CRASHES_TO_BLOCK):
        _crash(guard, clock, _traits(f"r{number}", parts=("f", "a")))
    guard.published = {"part-f-org", "part-a-org"}
    assert not guard.blocked_for_s(_traits("new", parts=("f", "b")))
    assert guard.blocked_for_s(_traits("new", parts=("f", "a")))


def test_crash_told_by_several_peers_counts_once():
    guard, clock = _guard()
    other = CrashGuard(clock=clock)
    traits = _traits("r")
    _crash(guard, clock, traits, endpoint="i-1")
    for _ in range(3):
        clock._time += 0.05
        for crash in guard.crashes():
            assert not other.record_crashes([crash])
    assert other.crashes() == guard.crashes()


def test_group_that_the_store_lists_is_blocked():
    guard, _ = _guard()
    guard.published = {"request-r"}
    assert guard.has_blocks
    assert guard.blocked_for_s(_traits("r")) == BLOCK_S
    assert not guard.blocked_for_s(_traits("s"))


def test_number_of_remembered_groups_is_limited():
    guard, clock = _guard()
    for number in range(MAX_GROUPS + 100):
        guard.record_served(_traits(f"s{number}"))
        _crash(guard, clock, _traits(f"r{number}"), lasted_s=0.001)
    assert len(guard.crashes()) <= MAX_GROUPS
    assert len(guard._served_at_by_key) <= MAX_GROUPS
    clock._time += BLOCK_S + SERVED_LIFE_S
    _crash(guard, clock, _traits("r"))
    guard.record_served(_traits("r"))
    assert guard.is_idle


def test_traits_tell_requests_apart_by_method_path_caller_and_body():
    requests = [
        _request(),
        _request(method="POST"),
        _request(target="/a?b"),
        _request(organisation=SimpleNamespace(name="org-2")),
        _request(organisation=None),
        _request(body=b"x"),
        _request(method="GE", target="T/a"),
    ]
    assert len({traits_of(request).request for request in requests}) == len(requests)
    assert traits_of(_request()) == traits_of(_request())
    prompts = [_request(prompt_ids=ids) for ids in ("a:1,b:2", "a:1,c:2")]
    assert len({traits_of(request).variant for request in prompts}) == 2
    assert len({traits_of(request).request for request in prompts}) == 1


def test_last_part_and_malformed_ids_are_not_shared_parts():
    header = "X-Magnoliagrade-Prompt-Prefix"
    assert prompt_parts_of({header: "5c1e07a2:800, 91bd3f06:410,e4402b7d:250"}) == (
        "5c1e07a2",
        "91bd3f06",
    )
    for value in ("", "5c1e07a2:800", "../x:1,zz:2,:3,ff:4"):
        assert prompt_parts_of({header: value}) == ()
    assert prompt_parts_of({}) == ()


def _request(**fields):
    defaults = {
        "method": "GET",
        "target": "/a",
        "organisation": SimpleNamespace(name="org"),
        "body": None,
        "prompt_ids": "",
        "prompt_parts": (),
    }
    return SimpleNamespace(**defaults | fields)


def _traits(request, *, parts=(), caller="org", variant=None):
    return RequestTraits(
        request=request, variant=variant or request, caller=caller, parts=parts
    )


def _arrive(guard, *, parts, count=1):
    """Record that requests with some parts of a prompt have arrived."""
    for _ in range(count):
        guard.record_arrival(parts)


def _crash(
    guard,
    clock,
    traits,
    *,
    endpoint="i-1",
    lasted_s=0.5,
    responded_at=None,
    in_flight=(),
):
    """Record a crash under attempts that begin now; return what it blocks."""
    began_at = clock.monotonic()
    clock._time += lasted_s
    return guard.record_crashes(
        [
            ServerCrash(
                endpoint_id=endpoint,
                traits=each,
                began_at=began_at,
                crashed_at=clock.monotonic(),
                responded_at=responded_at or clock.monotonic(),
            )
            for each in (traits, *in_flight)
        ]
    )


def _guard():
    clock = ManualClock(start=50.0)
    return CrashGuard(clock=clock), clock

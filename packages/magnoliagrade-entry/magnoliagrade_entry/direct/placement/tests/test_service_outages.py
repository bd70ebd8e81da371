"""One of two groups that serve a service loses a rank for seconds."""

import random
from types import SimpleNamespace

from magnoliagrade.world.site import RankGroup, SiteEndpoint

from magnoliagrade_entry.direct.placement.endpoint_table import EndpointTable
from magnoliagrade_entry.direct.placement.fault_domains import FaultDomain
from magnoliagrade_entry.direct.placement.group_notices import GroupNotices

RANKS, SLOTS = 4, 5
LOST = FaultDomain(service="s", group="g-0")
SOUND_IDS = [f"i-1-{rank}" for rank in range(RANKS)]
SOUND = FaultDomain(service="s", group="g-1")


def test_one_lost_group_leaves_the_service_available_and_gets_no_requests():
    table = _table(knows_groups=True)
    assert not table.outages.record_broken_group(table.by_id["i-0-0"], now=0.0)
    assert table.outages.record_broken_group(table.by_id["i-0-1"], now=0.0)
    assert not table.outages.is_unavailable("s")
    assert not table.outages.should_reject("s", now=0.0)
    assert _fill(table, now=0.0) == {"g-1": RANKS * SLOTS}


def test_responses_of_one_group_do_not_end_the_outage_of_another():
    table = _table(knows_groups=True)
    table.outages.begin(LOST, now=0.0)
    assert not table.outages.end(SOUND)
    assert table.outages.is_domain_unavailable(LOST)
    table.by_id["i-0-3"].ejected_until = table.by_id["i-1-3"].ejected_until = 9.0
    assert table.outages.end(LOST)
    assert table.by_id["i-0-3"].ejected_until < 0.0
    assert table.by_id["i-1-3"].ejected_until == 9.0


def test_service_without_any_group_left_lets_probes_through_only():
    table = _table(knows_groups=True)
    for domain in (LOST, SOUND):
        table.outages.begin(domain, now=0.0)
    assert table.outages.is_unavailable("s")
    assert table.outages.should_reject("s", now=0.1)
    assert not table.outages.should_reject("s", now=1.0)
    assert table.select_endpoint("s", now=1.0) is not None


def test_replay_of_an_outage_of_one_group():
    """Requests rejected although the sound group has a free slot, in 8 s.

    20 requests per second that take 0.6 s; half of the slots suffice for them. An
    endpoint of the broken group rejects a request after 0.1 s.
    """
    before = _replay(knows_groups=False)
    after = _replay(knows_groups=True)
    assert before["rejected with a free slot"] > 0.15 * before["requests"]
    assert after["rejected with a free slot"] == 0
    assert after["sent to the broken group"] <= 4


def test_notices_begin_and_end_an_outage_once():
    table = _table(knows_groups=True)
    watched = []
    node = SimpleNamespace(
        endpoint_table=table,
        clock=SimpleNamespace(monotonic=lambda: 0.0),
        start_recovery_watch=watched.append,
    )
    notices = GroupNotices(node=node)
    notices.apply([_group(0), _group(1)])
    assert not watched
    notices.apply([_group(0, is_open=False), _group(1)])
    assert table.outages.is_domain_unavailable(LOST) and watched == [LOST]
    # The entry has a response since: the same notice says nothing new.
    table.outages.end(LOST)
    notices.apply([_group(0, is_open=False), _group(1)])
    assert not table.outages.is_domain_unavailable(LOST)
    table.outages.begin(LOST, now=0.0)
    notices.apply([_group(0, epoch=2), _group(1)])
    assert not table.outages.is_domain_unavailable(LOST)


def test_notice_of_unknown_endpoints_waits_until_they_are_known():
    table = EndpointTable(data_centre="dc-0", rng=random.Random(5))
    node = SimpleNamespace(
        endpoint_table=table,
        clock=SimpleNamespace(monotonic=lambda: 0.0),
        start_recovery_watch=lambda _domain: None,
    )
    notices = GroupNotices(node=node)
    broken = _group(0, is_open=False)
    notices.apply([broken])
    table.update(_endpoints())
    table.update_groups([broken])
    notices.apply([broken])
    assert table.outages.is_domain_unavailable(LOST)


def _replay(*, knows_groups):
    table = _table(knows_groups=knows_groups)
    rng = random.Random(7)
    kinds = ("requests", "rejected with a free slot", "sent to the broken group")
    counts = dict.fromkeys(kinds, 0)
    running = []
    for tick in range(800):
        now = tick / 100
        for load, ends_at, is_broken in [r for r in running if r[1] <= now]:
            running.remove((load, ends_at, is_broken))
            load.local_in_flight -= 1
            if is_broken:
                table.outages.record_broken_group(load, now=now)
            else:
                table.outages.end(load.fault_domain)
        if rng.random() >= 0.2:
            continue
        counts["requests"] += 1
        is_rejected = table.outages.should_reject("s", now=now)
        load = None if is_rejected else table.select_endpoint("s", now=now)
        if load is None:
            used = sum(table.by_id[i].local_in_flight for i in SOUND_IDS)
            counts["rejected with a free slot"] += used < RANKS * SLOTS
            continue
        load.local_in_flight += 1
        is_broken = load.endpoint.id.startswith("i-0")
        counts["sent to the broken group"] += is_broken
        running.append((load, now + (0.1 if is_broken else 0.6), is_broken))
    return counts


def _fill(table, *, now):
    number_by_group = {}
    while (load := table.select_endpoint("s", now=now)) is not None:
        load.local_in_flight += 1
        number_by_group[load.group] = number_by_group.get(load.group, 0) + 1
    return number_by_group


def _table(*, knows_groups):
    table = EndpointTable(data_centre="dc-0", rng=random.Random(5))
    table.update(_endpoints())
    if knows_groups:
        table.update_groups([_group(0), _group(1)])
    return table


def _endpoints():
    return [
        SiteEndpoint(
            id=f"i-{group}-{rank}",
            service="s",
            address=f"10.0.{group}.{rank}:80",
            data_centre="dc-0",
            slots=SLOTS,
        )
        for group in range(2)
        for rank in range(RANKS)
    ]


def _group(number, *, epoch=1, is_open=True):
    return RankGroup(
        name=f"g-{number}",
        epoch=epoch,
        is_open=is_open,
        addresses=tuple(f"10.0.{number}.{rank}:80" for rank in range(RANKS)),
    )

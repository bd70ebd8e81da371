from magnoliagrade.world import Instance, InstanceState, Role

from magnoliagrade_entry.membership import select_links


def _instance(name, role=Role.ENTRY, state=InstanceState.LIVE):
    return Instance(
        name=name,
        role=role,
        data_centre=name[0],
        control_address=f"{name}:1",
        state=state,
    )


def _fleet(data_centres="abcdefghij", entries=39):
    return [_instance(f"{d}{i:02}") for d in data_centres for i in range(entries)]


def _names(instances, name, **options):
    chosen = select_links(instances, name=name, data_centre=name[0], **options)
    return [i.name for i in chosen]


def test_agents_of_remote_data_centres_are_not_dialled():
    agents = [_instance("a-agent", Role.AGENT), _instance("b-agent", Role.AGENT)]
    assert _names(agents, "a00") == ["a-agent"]


def test_only_the_first_by_name_of_two_local_entries_dials():
    fleet = _fleet("a", 3)
    assert _names(fleet, "a00") == ["a01", "a02"]
    assert _names(fleet, "a02") == []


def test_number_of_remote_links_is_independent_of_the_fleet_size():
    for entries in (5, 39, 200):
        remote = [n for n in _names(_fleet(entries=entries), "a00") if n[0] != "a"]
        assert sorted(n[0] for n in remote) == list("bcdefghij")


def test_remote_links_are_evenly_distributed():
    fleet = _fleet()
    dialled = {}
    for i in range(39):
        for name in _names(fleet, f"a{i:02}"):
            if name[0] == "b":
                dialled[name] = dialled.get(name, 0) + 1
    assert max(dialled.values()) <= 5
    assert len(dialled) >= 39 // 2


def test_unreachable_and_leaving_entries_are_not_selected():
    fleet = _fleet("ab", 8)
    first = [n for n in _names(fleet, "a00") if n[0] == "b"]
    rest = [n for n in _names(fleet, "a00", unreachable={first[0]}) if n[0] == "b"]
    assert first[0] not in rest and first[1] in rest
    with_leaving = [
        _instance(i.name, state=InstanceState.LEAVING) if i.name == first[0] else i
        for i in fleet
    ]
    assert first[0] not in _names(with_leaving, "a00")

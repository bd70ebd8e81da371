from types import SimpleNamespace

from magnoliagrade_entry.watcher_election import WatcherElection


class _Link:
    def __init__(self, name, data_centre="d"):
        self.peer_instance = name
        self.hello = SimpleNamespace(role="entry", data_centre=data_centre)
        self.sent = []

    def send(self, message):
        self.sent.append(message)


def _make_elections(names):
    election_by_name = {}
    for name in names:
        links = [_Link(n) for n in names if n != name] + [_Link("remote", "other")]
        node = SimpleNamespace(
            identity=SimpleNamespace(instance=name, data_centre="d"),
            links=SimpleNamespace(of_role=lambda role, links=links: links),
        )
        election_by_name[name] = WatcherElection(node=node)
    return election_by_name


def _watchers(election_by_name):
    return {
        name for name, election in election_by_name.items() if election.is_watcher()
    }


def _set_store_failing(election_by_name, name, is_failing):
    election_by_name[name].set_store_failing(is_failing)
    for other, election in election_by_name.items():
        if other != name:
            election.record_peer_state(name, is_store_available=not is_failing)


def test_two_entries_watch_and_two_others_take_over_while_the_store_fails_for_them():
    election_by_name = _make_elections([f"entry-{i}" for i in range(7)])
    first = _watchers(election_by_name)
    assert len(first) == 2
    for name in first:
        _set_store_failing(election_by_name, name, True)
    assert first < _watchers(election_by_name) and len(_watchers(election_by_name)) == 4
    for name in first:
        _set_store_failing(election_by_name, name, False)
    assert _watchers(election_by_name) == first


def test_two_entries_probe_a_store_that_fails_for_all_entries():
    election_by_name = _make_elections([f"entry-{i}" for i in range(7)])
    first = _watchers(election_by_name)
    for name in election_by_name:
        _set_store_failing(election_by_name, name, True)
    assert _watchers(election_by_name) == first


def test_single_entry_watches_and_only_local_peers_are_notified_of_failures():
    assert _watchers(_make_elections(["entry-0"])) == {"entry-0"}
    election = _make_elections(["entry-0", "entry-1"])["entry-0"]
    election.set_store_failing(True)
    local, remote = election._node.links.of_role(None)
    assert [m.is_watching for m in local.sent] == [False] and remote.sent == []

from types import SimpleNamespace

from magnoliagrade_entry.watcher_election import WatcherElection


class _Link:
    def __init__(self, name, data_centre="d"):
        self.peer_instance = name
        self.hello = SimpleNamespace(role="entry", data_centre=data_centre)
        self.sent = []

    def send(self, message):
        self.sent.append(message)


def _duties(names):
    duty_by_name = {}
    for name in names:
        links = [_Link(n) for n in names if n != name] + [_Link("far", "other")]
        node = SimpleNamespace(
            identity=SimpleNamespace(instance=name, data_centre="d"),
            links=SimpleNamespace(of_role=lambda role, links=links: links),
        )
        duty_by_name[name] = WatcherElection(node=node)
    return duty_by_name


def _watchers(duty_by_name):
    return {
        name
        for name, watcher_election in duty_by_name.items()
        if watcher_election.is_watcher()
    }


def _fail(duty_by_name, name, is_failing):
    duty_by_name[name].set_failing(is_failing)
    for other, watcher_election in duty_by_name.items():
        if other != name:
            watcher_election.record_peer_state(name, is_store_available=not is_failing)


def test_two_watch_and_others_take_over_while_the_store_does_not_answer_them():
    duty_by_name = _duties([f"entry-{i}" for i in range(7)])
    first = _watchers(duty_by_name)
    assert len(first) == 2
    for name in first:
        _fail(duty_by_name, name, True)
    assert first < _watchers(duty_by_name) and len(_watchers(duty_by_name)) == 4
    for name in first:
        _fail(duty_by_name, name, False)
    assert _watchers(duty_by_name) == first


def test_store_that_answers_nobody_is_probed_by_two():
    duty_by_name = _duties([f"entry-{i}" for i in range(7)])
    first = _watchers(duty_by_name)
    for name in duty_by_name:
        _fail(duty_by_name, name, True)
    assert _watchers(duty_by_name) == first


def test_entry_on_its_own_watches_and_only_colleagues_hear_of_failures():
    assert _watchers(_duties(["entry-0"])) == {"entry-0"}
    watcher_election = _duties(["entry-0", "entry-1"])["entry-0"]
    watcher_election.set_failing(True)
    near, far = watcher_election._node.links.of_role(None)
    assert [m.is_watching for m in near.sent] == [False] and far.sent == []

import os
import tempfile
from dataclasses import dataclass

from magnoliagrade.configuration import InvalidDocument, read_settings, setting


@dataclass(slots=True, kw_only=True)
class Example:
    name: str = setting(section="instance", doc="name")
    port: str = setting(section="listen", doc="p", address=True, default="h:1")
    count: int = setting(section="listen", doc="c", default=3, low=1, high=9)
    level: str = setting(section="logs", doc="l", default="A", choices=("A", "B"))


def _read(text, environ=None):
    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, "x.ini")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return read_settings(Example, path, environ=environ or {})


def test_values_of_the_file_override_defaults():
    settings = _read("[instance]\nname = x\n[listen]\ncount = 4\n")
    assert (settings.name, settings.port, settings.count) == ("x", "h:1", 4)


def test_every_problem_is_reported_at_once():
    text = "[listen]\nport = nowhere\ncount = 10\nother = 1\n[logs]\nlevel = C\n[z]\n"
    try:
        _read(text)
    except InvalidDocument as exc:
        locations = {(p.section, p.key) for p in exc.problems}
    assert locations == {
        ("instance", "name"),
        ("listen", "port"),
        ("listen", "count"),
        ("listen", "other"),
        ("logs", "level"),
        ("z", ""),
    }

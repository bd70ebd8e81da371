"""Both binaries as people call them."""

import configparser
import os
import pathlib
import subprocess
import tempfile

import magnoliagrade
from magnoliagrade_standins.harness import binary_command

ROOT = pathlib.Path(__file__).parent.parent
BINARIES = ("magnoliagrade", "magnoliagrade-agent")
FIVE_MISTAKES = """
[instance]
name = a
data_centre = vernon
{required}
[listen]
admin_address = nowhere
admin_adress = 127.0.0.1:1
[logs]
log_level = LOUD
[traces]
sampling = 2
[trace]
"""


def _run(binary, *arguments, **environ):
    return subprocess.run(
        binary_command(binary, *arguments),
        capture_output=True,
        text=True,
        env={**os.environ, **environ},
    )


def test_two_console_scripts():
    scripts = []
    for project in ROOT.glob("packages/*/pyproject.toml"):
        text = project.read_text()
        if "[project.scripts]" in text:
            section = text.partition("[project.scripts]")[2].partition("[")[0]
            parser = configparser.ConfigParser(delimiters="=")
            parser.read_string(f"[scripts]{section}")
            scripts += parser.options("scripts")
    assert sorted(scripts) == sorted(BINARIES)


def test_help_and_version_and_unknown_commands():
    for binary in BINARIES:
        shown = _run(binary, "--help")
        assert shown.returncode == 0 and shown.stderr == ""
        assert "  check " in shown.stdout and "  serve " in shown.stdout
        assert _run(binary, "serve", "--help").stdout.startswith(
            f"usage: {binary} serve FILE"
        )
        version = _run(binary, "--version")
        assert version.stdout == f"{binary} {magnoliagrade.__version__}\n"
        unknown = _run(binary, "sevre")
        assert (unknown.returncode, unknown.stdout) == (2, "")
        assert "'sevre'" in unknown.stderr


def test_check_names_all_of_five_mistakes():
    required_by_binary = {
        "magnoliagrade": "[platform]\nstore_url = http://s\ninstances_url = http://s",
        "magnoliagrade-agent": "[endpoint]\nurl = http://e",
    }
    places = (
        "[listen] admin_address: 'nowhere' is not a host:port",
        "[listen] admin_adress: unknown key",
        "[logs] log_level: 'LOUD' is not one of DEBUG",
        "[traces] sampling: '2' is not a number from 0 to 1",
        "[trace]: unknown section",
    )
    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, "x.ini")
        for binary, required in required_by_binary.items():
            text = FIVE_MISTAKES.format(required=required)
            pathlib.Path(path).write_text(text, encoding="utf-8")
            for command in ("check", "serve"):
                done = _run(binary, command, path)
                assert done.returncode == 2, done
                lines = done.stderr.splitlines()
                assert len(lines) == 5, lines
                for place in places:
                    assert any(f"{path}: {place}" in x for x in lines), lines


def test_impossible_combinations_and_overrides():
    required = "[platform]\nstore_url = http://s\ninstances_url = http://s\n"
    text = f"[instance]\nname = a\ndata_centre = b\n{required}"
    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, "x.ini")
        pathlib.Path(path).write_text(text, encoding="utf-8")
        good = _run("magnoliagrade", "check", path)
        assert (good.returncode, good.stdout) == (0, f"{path}: ok\n"), good
        clash = _run(
            "magnoliagrade",
            *("check", path),
            MAGNOLIAGRADE_CALLER_ADDRESS="127.0.0.1:8080",
            MAGNOLIAGRADE_ADMIN_ADDRESS="127.0.0.1:8080",
        )
        assert clash.returncode == 2
        both = "admin_address and caller_address are both 127.0.0.1:8080"
        assert both in clash.stderr
        empty = _run("magnoliagrade", "check", path, MAGNOLIAGRADE_INSTANCE="")
        assert "[instance] name: '' is not a non-empty text" in empty.stderr

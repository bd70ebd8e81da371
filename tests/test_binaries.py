"""Command lines, output and exit codes of both console scripts."""

import configparser
import os
import pathlib
import subprocess
import tempfile

import magnoliagrade
from magnoliagrade_standins.harness import binary_command

ROOT = pathlib.Path(__file__).parent.parent
BINARIES = ("magnoliagrade", "magnoliagrade-agent")
SETTINGS_WITH_FIVE_ERRORS = """
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


def test_packages_declare_exactly_two_console_scripts():
    scripts = []
    for project in ROOT.glob("packages/*/pyproject.toml"):
        text = project.read_text()
        if "[project.scripts]" in text:
            section = text.partition("[project.scripts]")[2].partition("[")[0]
            parser = configparser.ConfigParser(delimiters="=")
            parser.read_string(f"[scripts]{section}")
            scripts += parser.options("scripts")
    assert sorted(scripts) == sorted(BINARIES)


def test_help_and_version_exit_0_and_an_unknown_command_exits_2():
    for binary in BINARIES:
        help_result = _run(binary, "--help")
        assert help_result.returncode == 0 and help_result.stderr == ""
        assert "  check " in help_result.stdout and "  serve " in help_result.stdout
        assert _run(binary, "serve", "--help").stdout.startswith(
            f"usage: {binary} serve FILE"
        )
        version = _run(binary, "--version")
        assert version.stdout == f"{binary} {magnoliagrade.__version__}\n"
        unknown = _run(binary, "sevre")
        assert (unknown.returncode, unknown.stdout) == (2, "")
        assert "'sevre'" in unknown.stderr


def test_check_and_serve_report_all_five_errors_of_a_settings_file():
    required_by_binary = {
        "magnoliagrade": "[platform]\nstore_url = http://s\ninstances_url = http://s",
        "magnoliagrade-agent": "[endpoint]\nurl = http://e",
    }
    expected_errors = (
        "[listen] admin_address: 'nowhere' is not a host:port",
        "[listen] admin_adress: unknown key",
        "[logs] log_level: 'LOUD' is not one of DEBUG",
        "[traces] sampling: '2' is not a number from 0 to 1",
        "[trace]: unknown section",
    )
    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, "x.ini")
        for binary, required in required_by_binary.items():
            text = SETTINGS_WITH_FIVE_ERRORS.format(required=required)
            pathlib.Path(path).write_text(text, encoding="utf-8")
            for command in ("check", "serve"):
                result = _run(binary, command, path)
                assert result.returncode == 2, result
                lines = result.stderr.splitlines()
                assert len(lines) == 5, lines
                for expected in expected_errors:
                    assert any(f"{path}: {expected}" in x for x in lines), lines


def test_check_rejects_equal_addresses_and_an_empty_name_from_the_environment():
    required = "[platform]\nstore_url = http://s\ninstances_url = http://s\n"
    text = f"[instance]\nname = a\ndata_centre = b\n{required}"
    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, "x.ini")
        pathlib.Path(path).write_text(text, encoding="utf-8")
        valid = _run("magnoliagrade", "check", path)
        assert (valid.returncode, valid.stdout) == (0, f"{path}: ok\n"), valid
        clash = _run(
            "magnoliagrade",
            *("check", path),
            MAGNOLIAGRADE_CALLER_ADDRESS="127.0.0.1:8080",
            MAGNOLIAGRADE_ADMIN_ADDRESS="127.0.0.1:8080",
        )
        assert clash.returncode == 2
        message = "admin_address and caller_address are both 127.0.0.1:8080"
        assert message in clash.stderr
        empty = _run("magnoliagrade", "check", path, MAGNOLIAGRADE_INSTANCE="")
        assert "[instance] name: '' is not a non-empty text" in empty.stderr

"""Folders of libraries that were installed on another kind of machine.

The tests guard against processes that end whenever they start, because the compiled
libraries beside them are of another kind of machine or version of Python.
"""

import os
import pathlib
import shutil
import subprocess
import tempfile

ROOT = pathlib.Path(__file__).parent.parent
# Stands in for Python: tells the kind of machine, and records what is installed.
PYTHON = """#!/bin/sh
case "$1 $2" in
"-c "*) echo "$KIND" ;;
"-m venv") mkdir -p .venv/bin; cp "$0" .venv/bin/python ;;
"-m pip") mkdir -p target/deps; echo "$*" >> installed ;;
esac
"""


def test_build_installs_libraries_again_on_another_kind_of_machine():
    _assert_installed_once_for_each_kind(
        "sh deploy/build.sh", "deploy/requirements.lock"
    )


def test_setup_installs_libraries_again_on_another_kind_of_machine():
    _assert_installed_once_for_each_kind("bash .ci/setup", "requirements.lock")


def _assert_installed_once_for_each_kind(command, lock):
    with tempfile.TemporaryDirectory() as folder:
        root = pathlib.Path(folder)
        python = root / "bin" / "python3"
        python.parent.mkdir()
        python.write_text(PYTHON)
        python.chmod(0o755)
        script = command.split()[1]
        (root / script).parent.mkdir()
        shutil.copy(ROOT / script, root / script)
        (root / lock).write_text("library==1\n")
        for package in ("magnoliagrade", "magnoliagrade-entry", "magnoliagrade-agent"):
            module = root / "packages" / package / package.replace("-", "_")
            module.mkdir(parents=True)
            (module / "__init__.py").write_text("")
        counts = []
        for kind in ("one", "one", "two", "two", "one"):
            environment = {
                "KIND": kind,
                "PATH": f"{python.parent}{os.pathsep}{os.environ['PATH']}",
            }
            subprocess.run(command.split(), cwd=root, env=environment, check=True)
            calls = (root / "installed").read_text().splitlines()
            counts.append(sum(f"-r {lock}" in call for call in calls))
        assert counts == [1, 1, 2, 2, 3], counts

"""Runs the doctests of all modules and the example scripts."""

import doctest
import importlib
import pathlib
import pkgutil
import runpy

PACKAGES = (
    "magnoliagrade",
    "magnoliagrade_agent",
    "magnoliagrade_entry",
    "magnoliagrade_standins",
)
EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"


def _modules():
    for name in PACKAGES:
        package = importlib.import_module(name)
        for found in pkgutil.walk_packages(package.__path__, prefix=f"{name}."):
            if ".tests" not in found.name and not found.name.endswith("__main__"):
                yield importlib.import_module(found.name)


def test_docstring_examples_give_the_documented_output():
    attempted = 0
    for module in _modules():
        results = doctest.testmod(module, verbose=False)
        assert results.failed == 0, module.__name__
        attempted += results.attempted
    assert attempted > 0


def test_example_scripts_run_without_error():
    scripts = sorted(EXAMPLES.glob("plot_*.py")) + sorted(EXAMPLES.glob("show_*.py"))
    assert scripts
    for script in scripts:
        runpy.run_path(str(script), run_name="__main__")

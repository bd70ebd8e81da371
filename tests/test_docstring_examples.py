"""Runs the examples in docstrings and those of the gallery."""

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
GALLERY = pathlib.Path(__file__).parent.parent / "examples"


def _modules():
    for name in PACKAGES:
        package = importlib.import_module(name)
        for found in pkgutil.walk_packages(package.__path__, prefix=f"{name}."):
            if ".tests" not in found.name and not found.name.endswith("__main__"):
                yield importlib.import_module(found.name)


def test_docstring_examples():
    attempted = 0
    for module in _modules():
        results = doctest.testmod(module, verbose=False)
        assert results.failed == 0, module.__name__
        attempted += results.attempted
    assert attempted > 0


def test_gallery():
    scripts = sorted(GALLERY.glob("plot_*.py")) + sorted(GALLERY.glob("show_*.py"))
    assert scripts
    for script in scripts:
        runpy.run_path(str(script), run_name="__main__")

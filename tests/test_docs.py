"""Pages of the documentation: links that lead somewhere, text made from code."""

import pathlib
import re

from magnoliagrade_standins.pages import metrics_page, pages

ROOT = pathlib.Path(__file__).parent.parent
LINK = re.compile(r"\]\(([^)#:]+)\)")
BOUNDED_LABELS = frozenset(
    "allowed application door group outcome phase policy pool purpose reason result "
    "role source verb".split()
)
UNITS = ("_seconds", "_bytes", "_cost", "_tokens", "_changes")


def test_links_lead_to_files():
    found = [*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md")]
    assert len(found) > 10
    for page in found:
        for target in LINK.findall(page.read_text(encoding="utf-8")):
            assert (page.parent / target).exists(), f"{page}: {target}"


def test_paths_in_architecture_exist():
    text = (ROOT / "docs" / "ARCHITECTURE.md").read_text(encoding="utf-8")
    paths = re.findall(r"`(magnoliagrade(?:_entry|_agent)?/[^`]*)`", text)
    assert len(paths) > 6
    for path in paths:
        assert list(ROOT.glob(f"packages/*/{path}")), path


def test_pages_made_from_code_are_up_to_date():
    for name, text in pages().items():
        page = (ROOT / "docs" / name).read_text(encoding="utf-8")
        assert page == text, f"{name}: run python -m magnoliagrade_standins pages"


def test_metrics_name_their_units_and_have_bounded_labels():
    rows = [r.split("|") for r in metrics_page().splitlines() if "| magnolia" in r]
    assert len(rows) > 20
    for _, name, kind, labels, *_ in rows:
        name, kind = name.strip(), kind.strip()
        assert set(labels.replace(",", " ").split()) <= BOUNDED_LABELS, name
        if kind == "counter":
            assert name.endswith("_total"), name
        if kind == "histogram":
            assert name.endswith(UNITS), name

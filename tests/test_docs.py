"""Links and paths in the documentation exist; generated pages match the code."""

import pathlib
import re

from magnoliagrade_standins.pages import metrics_page, pages

ROOT = pathlib.Path(__file__).parent.parent
LINK = re.compile(r"\]\(([^)#:]+)\)")
BOUNDED_LABELS = frozenset(
    "allowed application door group outcome phase policy pool priority purpose reason "
    "result role source verb".split()
)
UNITS = ("_seconds", "_bytes", "_cost", "_tokens", "_changes")


def test_relative_links_point_to_existing_files():
    page_paths = [*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md")]
    assert len(page_paths) > 10
    for page in page_paths:
        for target in LINK.findall(page.read_text(encoding="utf-8")):
            assert (page.parent / target).exists(), f"{page}: {target}"


def test_source_paths_in_the_architecture_page_exist():
    text = (ROOT / "docs" / "ARCHITECTURE.md").read_text(encoding="utf-8")
    paths = re.findall(r"`(magnoliagrade(?:_entry|_agent)?/[^`]*)`", text)
    assert len(paths) > 6
    for path in paths:
        assert list(ROOT.glob(f"packages/*/{path}")), path


def test_generated_pages_match_the_code():
    for name, text in pages().items():
        page = (ROOT / "docs" / name).read_text(encoding="utf-8")
        assert page == text, f"{name}: run python -m magnoliagrade_standins pages"


def test_metric_names_end_in_units_and_labels_are_bounded():
    rows = [r.split("|") for r in metrics_page().splitlines() if "| magnolia" in r]
    assert len(rows) > 20
    for _, name, kind, labels, *_ in rows:
        name, kind = name.strip(), kind.strip()
        assert set(labels.replace(",", " ").split()) <= BOUNDED_LABELS, name
        if kind == "counter":
            assert name.endswith("_total"), name
        if kind == "histogram":
            assert name.endswith(UNITS), name

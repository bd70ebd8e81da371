"""Pages of the documentation that are made from code."""

from magnoliagrade.configuration import describe_settings
from magnoliagrade_agent import AgentSettings
from magnoliagrade_entry.settings import EntrySettings

__all__ = ["settings_page"]

HEAD = """\
# Settings

Made by `python -m magnoliagrade_standins settings_page` from the settings' own
descriptions; a test keeps the page and the code together.

Each process reads one INI file. Where an environment variable is named, it overrides
the file. Unknown sections and keys, bad values and impossible combinations are
refused at start: every problem is printed with file, section, key and what is
allowed, and the exit code is 2. `magnoliagrade check FILE` and
`magnoliagrade-agent check FILE` do the same without starting. Listeners with the
same fixed address are an impossible combination; so are a group without a rank and
a group without a store.
"""


def settings_page():
    """Return the text of docs/SETTINGS.md.

    Returns
    -------
    text : str
        Markdown with one table for each binary.
    """
    parts = [HEAD]
    for binary, cls in (
        ("magnoliagrade", EntrySettings),
        ("magnoliagrade-agent", AgentSettings),
    ):
        rows = "\n".join(describe_settings(cls))
        parts.append(f"## {binary}\n\n{rows}\n")
    return "\n".join(parts)

"""Problems found in files of settings or configuration."""

from dataclasses import dataclass

from magnoliagrade.errors import MagnoliagradeError

__all__ = ["InvalidDocument", "Problem"]


@dataclass(frozen=True, slots=True, kw_only=True)
class Problem:
    """One problem found in a file.

    Parameters
    ----------
    file : str
        Name of the file.
    line : int
        Line number from 1, or 0 if the problem has no line.
    section : str
        Name of the section, or empty.
    key : str
        Name of the key, or empty.
    allowed : str
        What was found and what is allowed.
    """

    file: str = ""
    line: int = 0
    section: str = ""
    key: str = ""
    allowed: str = ""

    def __str__(self):
        """Return the problem on one line."""
        place = f"{self.file}:{self.line}" if self.line else self.file
        where = f"[{self.section}]" if self.section else ""
        if self.key:
            where = f"{where} {self.key}"
        return ": ".join(part for part in (place, where.strip(), self.allowed) if part)


class InvalidDocument(MagnoliagradeError):
    """Raised for a file with problems; holds all of them.

    Parameters
    ----------
    kind : ErrorKind
        `SETTINGS_INVALID` or `CONFIGURATION_INVALID`.
    problems : list of Problem
        All problems found.
    """

    def __init__(self, kind, problems):
        super().__init__(kind, "; ".join(str(p) for p in problems))
        self.problems = problems

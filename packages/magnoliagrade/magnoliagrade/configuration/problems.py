"""Problems found in a settings or configuration file."""

from dataclasses import dataclass

from magnoliagrade.errors import MagnoliagradeError

__all__ = ["InvalidDocument", "Problem"]


@dataclass(frozen=True, slots=True, kw_only=True)
class Problem:
    """One thing that is wrong with a file.

    Parameters
    ----------
    file : str
        Name of the file.
    line : int
        Line from 1, or 0 where none applies.
    section : str
        Section, or empty.
    key : str
        Key, or empty.
    allowed : str
        What would have been allowed.
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
    """A file has one or more problems; all are reported at once.

    Parameters
    ----------
    kind : ErrorKind
        `SETTINGS_INVALID` or `CONFIGURATION_INVALID`.
    problems : list of Problem
        What is wrong.
    """

    def __init__(self, kind, problems):
        super().__init__(kind, "; ".join(str(p) for p in problems))
        self.problems = problems

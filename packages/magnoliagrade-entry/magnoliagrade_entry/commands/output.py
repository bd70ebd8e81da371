"""Output of commands: tables for people, JSON for scripts."""

import json

__all__ = ["print_rows"]


def print_rows(rows, columns, *, is_json, extra=None):
    """Print rows as a table, or as JSON.

    Parameters
    ----------
    rows : list of dict
        Value by column name.
    columns : sequence of str
        Column names, in order.
    is_json : bool
        Whether to print JSON.
    extra : dict, optional
        Values beside the rows; printed in JSON only.

    Examples
    --------
    >>> print_rows([{"a": 1, "b": "x"}], ["a", "b"], is_json=False)
    A  B
    1  x
    """
    if is_json:
        print(json.dumps({**(extra or {}), "rows": rows}))
        return
    table = [[c.upper().replace("_", " ") for c in columns]]
    table += [[_cell_text(row.get(c)) for c in columns] for row in rows]
    widths = [max(len(line[i]) for line in table) for i in range(len(columns))]
    for line in table:
        cells = (t.ljust(w) for t, w in zip(line, widths, strict=True))
        print("  ".join(cells).rstrip())


def _cell_text(value):
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value)

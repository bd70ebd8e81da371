"""Lazy re-exports of a package, imported when they are first used."""

import importlib

__all__ = ["lazy_exports"]


def lazy_exports(package, module_by_name):
    """Return a `__getattr__` for a package that imports its re-exports on first use.

    Parameters
    ----------
    package : str
        Name of the package.
    module_by_name : dict of str to str
        Module that each re-exported name is imported from, by name.

    Notes
    -----
    Direct processes need only a small part of their packages, and listen before they
    import it: libraries take memory and most of the start-up time.

    Examples
    --------
    >>> lazy_exports("example", {"sqrt": "math"})("sqrt")(4.0)
    2.0
    """

    def import_export(name):
        if name not in module_by_name:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        return getattr(importlib.import_module(module_by_name[name]), name)

    return import_export

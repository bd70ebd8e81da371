"""Registries of interchangeable behaviour, filled by decorators."""

__all__ = ["Registry"]


class Registry:
    """Named variants of one behaviour.

    Parameters
    ----------
    family : str
        What the variants are variants of, for error messages.

    Examples
    --------
    >>> shapes = Registry(family="shape")
    >>> @shapes.register("square")
    ... def area(side):
    ...     return side * side
    >>> shapes.get("square")(3)
    9
    """

    __slots__ = ("by_name", "family")

    def __init__(self, *, family):
        self.family = family
        self.by_name = {}

    def register(self, name):
        """Return a decorator that files its argument under a name.

        Parameters
        ----------
        name : str
            Name used in settings and configuration.

        Raises
        ------
        ValueError
            If the name is taken.
        """

        def file_under_name(variant):
            if name in self.by_name:
                raise ValueError(f"{self.family} {name!r} is registered already")
            self.by_name[name] = variant
            return variant

        return file_under_name

    def get(self, name):
        """Return the variant of a name.

        Raises
        ------
        KeyError
            If there is no such variant.
        """
        if name not in self.by_name:
            known = ", ".join(sorted(self.by_name))
            raise KeyError(f"unknown {self.family} {name!r}; known: {known}")
        return self.by_name[name]

    def names(self):
        """Return the registered names in order."""
        return sorted(self.by_name)

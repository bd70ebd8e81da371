"""Registries of interchangeable implementations, filled by decorators."""

__all__ = ["Registry"]


class Registry:
    """Implementations of one kind of behaviour, by name.

    Parameters
    ----------
    family : str
        Kind of behaviour, as named in error messages.

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
        """Return a decorator that registers an implementation under a name.

        Parameters
        ----------
        name : str
            Name of the implementation in settings and configuration.

        Raises
        ------
        ValueError
            If the name is already registered.
        """

        def register_implementation(implementation):
            if name in self.by_name:
                raise ValueError(f"{self.family} {name!r} is already registered")
            self.by_name[name] = implementation
            return implementation

        return register_implementation

    def get(self, name):
        """Return the implementation that is registered under a name.

        Raises
        ------
        KeyError
            If no implementation has the name.
        """
        if name not in self.by_name:
            known = ", ".join(sorted(self.by_name))
            raise KeyError(f"unknown {self.family} {name!r}; known: {known}")
        return self.by_name[name]

    def names(self):
        """Return the registered names in alphabetical order."""
        return sorted(self.by_name)

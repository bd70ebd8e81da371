"""Changes that operators make, as objects that can be tried again."""

import copy
import dataclasses
from dataclasses import dataclass, field

from magnoliagrade.configuration.fields import NAME_PATTERN
from magnoliagrade.configuration.ini import parse_configuration
from magnoliagrade.configuration.ini_writer import format_configuration
from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.world import DataCentre

__all__ = ["ReplaceAll", "SetLabels", "change_from_fields", "change_to_fields"]


@dataclass(slots=True, kw_only=True, frozen=True)
class ReplaceAll:
    """Replaces the whole configuration.

    Parameters
    ----------
    text : str
        INI text.
    file : str
        Name of the file for problems.
    """

    text: str
    file: str = "configuration"

    def make(self, configuration):
        """Return the configuration after the change."""
        return parse_configuration(self.text, file=self.file)

    def touched(self, configuration):
        """Return what must not have changed meanwhile: everything."""
        return format_configuration(configuration)

    def summary(self, before, after):
        """Return what the change does, for the history."""
        return "apply"


@dataclass(slots=True, kw_only=True, frozen=True)
class SetLabels:
    """Sets and removes labels of one endpoint or data centre.

    Parameters
    ----------
    kind : str
        `endpoint`, `data_centre` or `organisation`.
    name : str
        Name of the object.
    value_by_label : dict of str to str
        Labels to set.
    removed : list of str
        Labels to remove.
    """

    kind: str
    name: str
    value_by_label: dict = field(default_factory=dict)
    removed: list = field(default_factory=list)

    def make(self, configuration):
        """Return the configuration after the change.

        Raises
        ------
        MagnoliagradeError
            `INVALID_REQUEST` if the kind has no labels, the object does not exist
            or a label is not allowed.
        """
        self._check()
        after = _copy(configuration)
        labels = dict(_labels_of(after, self.kind, self.name))
        for label in self.removed:
            labels.pop(label, None)
        labels.update(self.value_by_label)
        _LABEL_WRITERS[self.kind](after, self.name, labels)
        after.index()
        return after

    def touched(self, configuration):
        """Return the values of the labels that the change is about."""
        labels = _labels_of(configuration, self.kind, self.name)
        names = [*self.value_by_label, *self.removed]
        return {name: labels.get(name) for name in names}

    def summary(self, before, after):
        """Return what the change does, for the history."""
        words = [f"{k}={v}" for k, v in sorted(self.value_by_label.items())]
        words += [f"{label}-" for label in self.removed]
        return f"label {self.kind} {self.name} {' '.join(words)}"

    def _check(self):
        if self.kind not in _LABEL_WRITERS:
            kinds = ", ".join(sorted(_LABEL_WRITERS))
            _refuse(f"kind {self.kind!r} has no labels; known: {kinds}")
        if not NAME_PATTERN.fullmatch(self.name):
            _refuse(f"name {self.name!r} is not allowed")
        for label, value in self.value_by_label.items():
            if not NAME_PATTERN.fullmatch(label):
                _refuse(f"label {label!r} is not allowed")
            if "," in value or value != " ".join(value.split()):
                _refuse(f"value {value!r} of label {label!r} is not allowed")
        both = set(self.value_by_label) & set(self.removed)
        if both:
            _refuse(f"label {min(both)!r} is both set and removed")


_CHANGE_BY_NAME = {"replace": ReplaceAll, "labels": SetLabels}


def change_to_fields(change):
    """Return a change as a mapping ready for JSON."""
    for name, cls in _CHANGE_BY_NAME.items():
        if isinstance(change, cls):
            return {"change": name, **dataclasses.asdict(change)}
    raise TypeError(f"{type(change).__name__} is no change")


def change_from_fields(fields):
    """Return the change that a mapping describes.

    Raises
    ------
    MagnoliagradeError
        `INVALID_REQUEST` if it describes none.

    Examples
    --------
    >>> change_from_fields({"change": "replace", "text": ""}).text
    ''
    """
    try:
        rest = dict(fields)
        cls = _CHANGE_BY_NAME[rest.pop("change")]
        change = cls(**rest)
        for column in dataclasses.fields(change):
            value = getattr(change, column.name)
            if not isinstance(value, column.type):
                raise TypeError(f"{column.name} is no {column.type.__name__}")
        texts = [
            *getattr(change, "removed", ()),
            *getattr(change, "value_by_label", {}).values(),
        ]
        if not all(isinstance(text, str) for text in texts):
            raise TypeError("a label is no text")
    except (KeyError, TypeError, ValueError) as exc:
        detail = f"the body describes no change: {exc}"
        raise MagnoliagradeError(ErrorKind.INVALID_REQUEST, detail) from exc
    return change


def _refuse(detail):
    raise MagnoliagradeError(ErrorKind.INVALID_REQUEST, detail)


def _copy(configuration):
    after = copy.copy(configuration)
    for column in dataclasses.fields(configuration):
        value = getattr(configuration, column.name)
        if isinstance(value, dict):
            setattr(after, column.name, dict(value))
    return after


def _labels_of(configuration, kind, name):
    if kind == "endpoint":
        return configuration.endpoint_labels_by_name.get(name, {})
    item = getattr(configuration, f"{kind}_by_name").get(name)
    return item.labels if item is not None else {}


def _write_endpoint(configuration, name, labels):
    configuration.endpoint_labels_by_name[name] = labels
    if not labels:
        del configuration.endpoint_labels_by_name[name]


def _write_data_centre(configuration, name, labels):
    item = configuration.data_centre_by_name.get(name) or DataCentre(name=name)
    item = dataclasses.replace(item, labels=labels)
    configuration.data_centre_by_name[name] = item


def _write_organisation(configuration, name, labels):
    item = configuration.organisation_by_name.get(name)
    if item is None:
        _refuse(f"organisation {name!r} does not exist")
    configuration.organisation_by_name[name] = dataclasses.replace(item, labels=labels)


_LABEL_WRITERS = {
    "data_centre": _write_data_centre,
    "endpoint": _write_endpoint,
    "organisation": _write_organisation,
}

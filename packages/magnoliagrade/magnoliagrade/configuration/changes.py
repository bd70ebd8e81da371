"""Changes of the configuration, as objects that can be applied repeatedly."""

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
        Name of the file, used in reported problems.
    """

    text: str
    file: str = "configuration"

    def apply_to(self, configuration):
        """Return the configuration after the change."""
        return parse_configuration(self.text, file=self.file)

    def affected_values(self, configuration):
        """Return the values that a concurrent change must not alter: all of them."""
        return format_configuration(configuration)

    def summary(self, before, after):
        """Return what the change does, for the history."""
        return "apply"


@dataclass(slots=True, kw_only=True, frozen=True)
class SetLabels:
    """Sets and removes labels of one endpoint, data centre or organisation.

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

    def apply_to(self, configuration):
        """Return the configuration after the change.

        Raises
        ------
        MagnoliagradeError
            `INVALID_REQUEST` if the kind has no labels, the organisation does not
            exist, or a name, label or value is invalid.
        """
        self._check()
        after = _copy(configuration)
        labels = dict(_labels_of(after, self.kind, self.name))
        for label in self.removed:
            labels.pop(label, None)
        labels.update(self.value_by_label)
        _LABEL_WRITER_BY_KIND[self.kind](after, self.name, labels)
        after.index()
        return after

    def affected_values(self, configuration):
        """Return the values that a concurrent change must not alter: its labels."""
        labels = _labels_of(configuration, self.kind, self.name)
        names = [*self.value_by_label, *self.removed]
        return {name: labels.get(name) for name in names}

    def summary(self, before, after):
        """Return what the change does, for the history."""
        words = [f"{k}={v}" for k, v in sorted(self.value_by_label.items())]
        words += [f"{label}-" for label in self.removed]
        return f"label {self.kind} {self.name} {' '.join(words)}"

    def _check(self):
        if self.kind not in _LABEL_WRITER_BY_KIND:
            kinds = ", ".join(sorted(_LABEL_WRITER_BY_KIND))
            _reject(f"kind {self.kind!r} has no labels; allowed: {kinds}")
        if not NAME_PATTERN.fullmatch(self.name):
            _reject(f"name {self.name!r} does not match {NAME_PATTERN.pattern}")
        for label, value in self.value_by_label.items():
            if not NAME_PATTERN.fullmatch(label):
                _reject(f"label {label!r} does not match {NAME_PATTERN.pattern}")
            if "," in value or value != " ".join(value.split()):
                _reject(
                    f"value {value!r} of label {label!r} has a comma, or white space "
                    "other than single spaces between words"
                )
        conflicting = set(self.value_by_label) & set(self.removed)
        if conflicting:
            _reject(f"label {min(conflicting)!r} is both set and removed")


_CHANGE_CLASS_BY_NAME = {"replace": ReplaceAll, "labels": SetLabels}


def change_to_fields(change):
    """Return a change as a dictionary that can be written as JSON."""
    for name, cls in _CHANGE_CLASS_BY_NAME.items():
        if isinstance(change, cls):
            return {"change": name, **dataclasses.asdict(change)}
    raise TypeError(f"{type(change).__name__} is not a known class of changes")


def change_from_fields(fields):
    """Return the change described by a dictionary from `change_to_fields`.

    Raises
    ------
    MagnoliagradeError
        `INVALID_REQUEST` if the dictionary does not describe a change.

    Examples
    --------
    >>> change_from_fields({"change": "replace", "text": ""}).text
    ''
    """
    try:
        rest = dict(fields)
        cls = _CHANGE_CLASS_BY_NAME[rest.pop("change")]
        change = cls(**rest)
        for attribute in dataclasses.fields(change):
            value = getattr(change, attribute.name)
            if not isinstance(value, attribute.type):
                raise TypeError(
                    f"{attribute.name} must be a {attribute.type.__name__}, "
                    f"got a {type(value).__name__}"
                )
        texts = [
            *getattr(change, "removed", ()),
            *getattr(change, "value_by_label", {}).values(),
        ]
        if not all(isinstance(text, str) for text in texts):
            raise TypeError("the values of labels and the removed labels must be texts")
    except (KeyError, TypeError, ValueError) as exc:
        detail = (
            f"the body is not a valid change (field 'change' must be one of "
            f"{', '.join(_CHANGE_CLASS_BY_NAME)}): {exc!r}"
        )
        raise MagnoliagradeError(ErrorKind.INVALID_REQUEST, detail) from exc
    return change


def _reject(detail):
    raise MagnoliagradeError(ErrorKind.INVALID_REQUEST, detail)


def _copy(configuration):
    after = copy.copy(configuration)
    for attribute in dataclasses.fields(configuration):
        value = getattr(configuration, attribute.name)
        if isinstance(value, dict):
            setattr(after, attribute.name, dict(value))
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
        _reject(f"organisation {name!r} is not defined in the configuration")
    configuration.organisation_by_name[name] = dataclasses.replace(item, labels=labels)


_LABEL_WRITER_BY_KIND = {
    "data_centre": _write_data_centre,
    "endpoint": _write_endpoint,
    "organisation": _write_organisation,
}

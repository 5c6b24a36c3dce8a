"""Selectors over labels.

A selector is a comma-separated list of requirements, all of which must hold::

    role=drafting, site in (north, south), !retired
"""

import re
from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

from cowslipcourse.exceptions import SelectorError

__all__ = ["Requirement", "Selector", "parse_selector"]

_NAME = r"[A-Za-z0-9][A-Za-z0-9_.\-/]*"
_SPLIT = re.compile(r",(?![^(]*\))")
_IN = re.compile(rf"({_NAME})\s+(in|notin)\s+\(([^()]*)\)")
_EQUALS = re.compile(rf"({_NAME})\s*(==|=|!=)\s*({_NAME})")
_EXISTS = re.compile(rf"(!?)\s*({_NAME})")


class Operator(StrEnum):
    """How a requirement compares a label."""

    IN = "in"
    NOT_IN = "notin"
    EXISTS = "exists"
    ABSENT = "absent"


class Requirement(NamedTuple):
    """One condition on one label.

    :param key: label name.
    :param operator: comparison.
    :param values: accepted or refused values, empty for existence tests.
    """

    key: str
    operator: Operator
    values: tuple[str, ...] = ()

    def holds(self, labels):
        """Return whether the labels meet this requirement."""
        match self.operator:
            case Operator.IN:
                return labels.get(self.key) in self.values
            case Operator.NOT_IN:
                return labels.get(self.key) not in self.values
            case Operator.EXISTS:
                return self.key in labels
        return self.key not in labels


class Selector(NamedTuple):
    """A parsed selector.

    :param text: the selector as it was written.
    :param requirements: conditions that must all hold.
    """

    text: str
    requirements: tuple[Requirement, ...]

    def matches(self, labels: Mapping[str, str]):
        """Return whether the labels meet every requirement."""
        return all(requirement.holds(labels) for requirement in self.requirements)


def _parse_requirement(text):
    if found := _IN.fullmatch(text):
        key, word, listed = found.groups()
        values = tuple(value.strip() for value in listed.split(","))
        if not all(re.fullmatch(_NAME, value) for value in values):
            raise SelectorError(f"bad value list in {text!r}")
        return Requirement(key, Operator(word), values)
    if found := _EQUALS.fullmatch(text):
        key, sign, value = found.groups()
        operator = Operator.NOT_IN if sign == "!=" else Operator.IN
        return Requirement(key, operator, (value,))
    if found := _EXISTS.fullmatch(text):
        negated, key = found.groups()
        return Requirement(key, Operator.ABSENT if negated else Operator.EXISTS)
    raise SelectorError(f"cannot read {text!r}; expected e.g. role=drafting")


def parse_selector(text):
    """Parse a selector.

    :param text: comma-separated requirements.
    :returns: :class:`Selector`
    :raises SelectorError: if the text is empty or malformed.
    """
    if not isinstance(text, str) or not text.strip():
        raise SelectorError("an empty selector would select everything")
    parts = [part.strip() for part in _SPLIT.split(text)]
    return Selector(text, tuple(_parse_requirement(part) for part in parts))

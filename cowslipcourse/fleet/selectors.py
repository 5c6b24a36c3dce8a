"""Label selectors.

A selector is a comma-separated list of requirements, all of which must be met::

    role=drafting, site in (north, south), !retired
"""

import re
from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

from cowslipcourse.exceptions import SelectorError

__all__ = ["Requirement", "Selector", "parse_selector"]

_NAME = r"[A-Za-z0-9][A-Za-z0-9_.\-/]*"
_SEPARATOR = re.compile(r",(?![^(]*\))")
_SET_REQUIREMENT = re.compile(rf"({_NAME})\s+(in|notin)\s+\(([^()]*)\)")
_EQUALITY_REQUIREMENT = re.compile(rf"({_NAME})\s*(==|=|!=)\s*({_NAME})")
_EXISTENCE_REQUIREMENT = re.compile(rf"(!?)\s*({_NAME})")


class Operator(StrEnum):
    """Comparison of a requirement."""

    IN = "in"
    NOT_IN = "notin"
    EXISTS = "exists"
    ABSENT = "absent"


class Requirement(NamedTuple):
    """A condition on one label.

    :param key: label name.
    :param operator: comparison.
    :param values: accepted or excluded values; empty for existence tests.
    """

    key: str
    operator: Operator
    values: tuple[str, ...] = ()

    def is_met_by(self, labels):
        """Return whether labels meet this requirement."""
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

    :param text: text from which the selector was parsed.
    :param requirements: :class:`Requirement`, all of which must be met.
    """

    text: str
    requirements: tuple[Requirement, ...]

    def matches(self, labels: Mapping[str, str]):
        """Return whether labels meet every requirement."""
        return all(requirement.is_met_by(labels) for requirement in self.requirements)


def _parse_requirement(text):
    if match := _SET_REQUIREMENT.fullmatch(text):
        key, operator_text, values_text = match.groups()
        values = tuple(value.strip() for value in values_text.split(","))
        if not all(re.fullmatch(_NAME, value) for value in values):
            raise SelectorError(f"invalid value list in {text!r}")
        return Requirement(key, Operator(operator_text), values)
    if match := _EQUALITY_REQUIREMENT.fullmatch(text):
        key, operator_sign, value = match.groups()
        operator = Operator.NOT_IN if operator_sign == "!=" else Operator.IN
        return Requirement(key, operator, (value,))
    if match := _EXISTENCE_REQUIREMENT.fullmatch(text):
        negated, key = match.groups()
        return Requirement(key, Operator.ABSENT if negated else Operator.EXISTS)
    raise SelectorError(
        f"invalid requirement {text!r}; expected for example role=drafting"
    )


def parse_selector(text):
    """Parse a selector.

    :param text: comma-separated requirements.
    :returns: :class:`Selector`
    :raises SelectorError: the text is empty or malformed.
    """
    if not isinstance(text, str) or not text.strip():
        raise SelectorError("an empty selector would select everything")
    parts = [part.strip() for part in _SEPARATOR.split(text)]
    return Selector(text, tuple(_parse_requirement(part) for part in parts))

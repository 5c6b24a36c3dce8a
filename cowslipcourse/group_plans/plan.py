"""The plan of a fabric domain, stored as one row.

An engine belongs to one domain and a domain has one row, so a conditional replacement
of the row by version is enough to keep an engine out of two groups.
"""

from typing import Annotated, NamedTuple

import msgspec

from cowslipcourse.decoding import decode_untrusted
from cowslipcourse.exceptions import MalformedResponse
from cowslipcourse.ports import UNKNOWN_INCARNATION

__all__ = ["DomainPlan", "PlannedGroup", "decode_plan", "encode_plan"]


_Name = Annotated[str, msgspec.Meta(min_length=1)]
_Positive = Annotated[int, msgspec.Meta(ge=1)]


class PlannedGroup(NamedTuple):
    """A planned group.

    :param name: unique; never reused for another group.
    :param model: model that it serves.
    :param epoch: one more than the version of the row that was replaced to give it
        these members. Only one transaction replaces a row, so it is unique.
    :param members: ids of the engines, the head first.
    :param is_retired: whether it is to end; its members are free once its head cannot
        be serving.
    :param incarnations: planned incarnations of the members, in their order. An engine
        that has restarted since knows nothing of the group and is no member.
    :param successor: model that its engines are reassigned to once they are free; empty
        if none.
    """

    name: _Name
    model: _Name
    epoch: _Positive
    members: Annotated[tuple[_Name, ...], msgspec.Meta(min_length=1)]
    is_retired: bool = False
    incarnations: tuple[int, ...] = ()
    successor: str = ""

    @property
    def head(self):
        """Id of the engine that takes the group's requests."""
        return self.members[0]

    def incarnation_of(self, engine):
        """Return a member's incarnation, or ``UNKNOWN_INCARNATION`` for any."""
        incarnations = dict(zip(self.members, self.incarnations, strict=False))
        return incarnations.get(engine, UNKNOWN_INCARNATION)

    def has_member(self, engine, incarnation):
        """Whether an incarnation of an engine is a member.

        :param engine: id of the engine.
        :param incarnation: incarnation to look up.
        """
        planned = self.incarnation_of(engine)
        return engine in self.members and planned in (UNKNOWN_INCARNATION, incarnation)


class DomainPlan(NamedTuple):
    """All groups of a fabric domain.

    :param domain: name of the domain.
    :param version: store version of the row; 0 if there is none.
    :param groups: tuple of :class:`PlannedGroup`.
    :param decided_at: next epoch of the plan that these groups replaced. A row that is
        rewritten after the store has lost it keeps this value.
    :param absent_at_version: store version at which there was no row; 0 if
        there is one.
    """

    domain: str
    version: int = 0
    groups: tuple[PlannedGroup, ...] = ()
    decided_at: int = 0
    absent_at_version: int = 0

    @property
    def next_epoch(self):
        """Epoch of new or changed groups in the plan that replaces this one."""
        return max(self.version, self.absent_at_version) + 1

    def group_of(self, engine, incarnation):
        """Return the :class:`PlannedGroup` of an engine's incarnation, or ``None``.

        :param engine: id of the engine.
        :param incarnation: incarnation to look up.
        """
        for group in self.groups:
            if group.has_member(engine, incarnation):
                return group
        return None

    def contains_engine(self, engine):
        """Whether any incarnation of an engine is in a group."""
        return any(engine in group.members for group in self.groups)


_Groups = tuple[PlannedGroup, ...]


class _Row(msgspec.Struct):
    groups: _Groups
    decided_at: Annotated[int, msgspec.Meta(ge=0)]


# Earlier releases write the groups without ``decided_at``.
_decoder = msgspec.json.Decoder(_Row | _Groups)


def encode_plan(groups, decided_at):
    """Return the bytes of a row.

    :param groups: tuple of :class:`PlannedGroup`
    :param decided_at: see :class:`DomainPlan`.
    """
    return msgspec.json.encode(_Row(groups, decided_at))


def decode_plan(domain, content, version):
    """Return the :class:`DomainPlan` in a row.

    :raises MalformedResponse: it cannot be read.
    """
    row = decode_untrusted(_decoder, content, f"plan of {domain}")
    if not isinstance(row, _Row):
        row = _Row(row, 0)
    groups = row.groups
    planned = [(m, group.incarnation_of(m)) for group in groups for m in group.members]
    if len(set(planned)) != len(planned):
        raise MalformedResponse(
            f"unreadable plan of {domain}: an engine is planned twice"
        )
    return DomainPlan(domain, version, groups, row.decided_at)

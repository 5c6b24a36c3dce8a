"""Membership with one mechanism disabled, to show that the oracle detects it."""

from cowslipcourse.membership.acceptance import AcceptanceRule

__all__ = ["VARIANTS"]


def _skip_eviction_wait(node):
    """Count members as past a revision as soon as they have acknowledged."""
    node._acceptance_rule._times = node.times._replace(eviction_s=0.0)


def _count_newest_list_only(node):
    """Require a majority of the newest member list only."""
    rule = node._acceptance_rule

    def accepted(number, revision, last_accepted, now):
        newest = revision._replace(lists=revision.lists[-1:])
        return AcceptanceRule._is_accepted(rule, number, newest, last_accepted, now)

    rule._is_accepted = accepted


def _accept_half_as_majority(node):
    """Accept half of a member list where more than half is needed."""
    rule = node._acceptance_rule

    def cannot_be_served(identities, number, revision, now):
        moved_before = now - node.times.eviction_s
        gone = sum(
            rule._has_moved_past(identity, number, revision, moved_before)
            for identity in identities.values()
        )
        return 2 * gone >= len(identities)

    rule._cannot_be_served = cannot_be_served


def _serve_without_contact(node):
    """Serve without contact to the table or a majority."""
    node._serving_rule._in_contact = lambda now: True


def _count_peers_without_learning(node):
    """Count members that have a newer revision without learning it from them."""
    contacts = node._contacts
    confirms_revision = contacts.confirms_revision
    contacts.confirms_revision = lambda member, revision, now, max_age_s: (
        confirms_revision(member, 10**9, now, max_age_s)
    )
    node._with_configuration = lambda revision: None


VARIANTS = {
    "no wait after the acknowledgements": _skip_eviction_wait,
    "only the newest member list counted": _count_newest_list_only,
    "half of a member list as a majority": _accept_half_as_majority,
    "serving without contact": _serve_without_contact,
    "peers counted without learning from them": _count_peers_without_learning,
}

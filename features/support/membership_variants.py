"""Membership rules with one mechanism switched off, to show that the check can fail."""

from cowslipcourse.membership.acceptance import AcceptanceRule

__all__ = ["VARIANTS"]


def _no_wait(node):
    """Count members as past a revision as soon as they have acknowledged."""
    node._acceptance._times = node.times._replace(eviction_s=0.0)


def _shrunk_list(node):
    """Look at the newest member list only."""
    rule = node._acceptance

    def accepted(number, revision, last_accepted, now):
        newest = revision._replace(lists=revision.lists[-1:])
        return AcceptanceRule._is_accepted(rule, number, newest, last_accepted, now)

    rule._is_accepted = accepted


def _exactly_half(node):
    """Be content with half of a list where more than half is needed."""
    rule = node._acceptance

    def cannot_be_served(identities, number, revision, now):
        moved_before = now - node.times.eviction_s
        gone = sum(
            rule._has_moved_past(identity, number, revision, moved_before)
            for identity in identities.values()
        )
        return 2 * gone >= len(identities)

    rule._cannot_be_served = cannot_be_served


def _serving_on(node):
    """Serve on without contact."""
    node._rule._in_contact = lambda now: True


def _counting_newer(node):
    """Count members that know a newer revision, and learn nothing from them."""
    contacts = node._contacts
    counted = contacts.confirms_revision
    contacts.confirms_revision = lambda member, revision, now, max_age_s: counted(
        member, 10**9, now, max_age_s
    )
    node._with_configuration = lambda revision: None


VARIANTS = {
    "no wait after the acknowledgements": _no_wait,
    "only the newest member list counted": _shrunk_list,
    "half of a list instead of more": _exactly_half,
    "serving on without contact": _serving_on,
    "peers do not tell and are counted all the same": _counting_newer,
}

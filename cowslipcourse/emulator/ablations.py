"""Policies of experiments: each disables one mechanism of the production code."""

import contextlib

from cowslipcourse.entry import coordinator, silence_detector
from cowslipcourse.exceptions import ConfigurationError, Problem
from cowslipcourse.group_plans import revision
from cowslipcourse.group_plans.domain_assignment import MIXED_ASSIGNMENT
from cowslipcourse.load_balancing import target_selection

__all__ = ["POLICIES", "active_policy"]


@contextlib.contextmanager
def _patched(owner, name, value):
    original = getattr(owner, name)
    setattr(owner, name, value)
    try:
        yield
    finally:
        setattr(owner, name, original)


def _as_is():
    return contextlib.nullcontext()


def _without_group_opened_updates():
    """Do not broadcast opened groups; daemons learn of them from the list alone."""
    return _patched(coordinator.Coordinator, "_on_group_opened", lambda *args: None)


def _without_group_ended_updates():
    """Do not broadcast which groups have ended."""
    return _patched(coordinator, "_ended_group_updates", lambda plan, groups: ())


def _without_reinstatement():
    """Do not reinstate retired groups."""
    return _patched(revision._Revision, "_reinstate_retired", lambda self: None)


def _mixed_domains():
    """Assign all models to each domain, with two spares."""
    return _patched(coordinator, "assign_domain", lambda *args: MIXED_ASSIGNMENT)


def _without_member_replacement():
    """Do not replace members that are loading or slow."""
    return _patched(revision._Revision, "_replace_loading_members", lambda self: None)


def _least_loaded():
    """Compare all groups for each request instead of two."""
    return _patched(target_selection.choose_group, "__defaults__", (1000, False))


def _without_silence_detection():
    """Detect failed streams only by what the engine itself reports."""
    return _patched(silence_detector.SilenceDetector, "check", lambda self, now: None)


def _without_urgency():
    """Give all requests the same urgency, so that engines run them in arrival order."""
    from cowslipcourse.emulator import connections

    return _patched(connections, "urgency", lambda *args: 5)


def _without_warmup():
    """Do not warm up spares before they are needed in a group."""
    return _patched(coordinator, "warmup_step", lambda *args: None)


POLICIES = {
    "as-is": _as_is,
    "without-practice": _without_warmup,
    "without-opened-news": _without_group_opened_updates,
    "without-ended-news": _without_group_ended_updates,
    "without-revival": _without_reinstatement,
    "mixed-domains": _mixed_domains,
    "without-swaps": _without_member_replacement,
    "least-loaded-of-all": _least_loaded,
    "without-silence-watch": _without_silence_detection,
    "without-urgency": _without_urgency,
}


def active_policy(name):
    """Return a context manager that applies a policy.

    :raises ConfigurationError: there is no such policy.
    """
    if name not in POLICIES:
        known = ", ".join(sorted(POLICIES))
        raise ConfigurationError([Problem("policies", f"no {name!r}; known: {known}")])
    return POLICIES[name]()

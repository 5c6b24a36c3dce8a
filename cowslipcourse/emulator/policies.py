"""Mechanisms that an experiment can switch off, one by one."""

import contextlib

from cowslipcourse.entry import choosing, coordinator, silence
from cowslipcourse.exceptions import ConfigurationError, Problem
from cowslipcourse.groups import revision
from cowslipcourse.groups.shape import MIXED_ASSIGNMENT

__all__ = ["POLICIES", "active_policy"]


@contextlib.contextmanager
def _replaced(owner, name, value):
    before = getattr(owner, name)
    setattr(owner, name, value)
    try:
        yield
    finally:
        setattr(owner, name, before)


def _as_is():
    return contextlib.nullcontext()


def _without_news():
    """Let daemons learn from the list alone."""
    return _replaced(coordinator.Coordinator, "_on_group_opened", lambda *args: None)


def _without_endings():
    """Do not tell which groups have ended."""
    return _replaced(coordinator, "_ended_group_updates", lambda plan, groups: ())


def _without_revival():
    """Leave given-up groups to end."""
    return _replaced(revision._Revision, "_reinstate_retired", lambda self: None)


def _mixed_domains():
    """Let each domain serve all models, with two spares."""
    return _replaced(coordinator, "assign_domain", lambda *args: MIXED_ASSIGNMENT)


def _without_swaps():
    """Leave members that load or are slow in their groups."""
    return _replaced(revision._Revision, "_replace_loading_members", lambda self: None)


def _least_loaded():
    """Compare all groups for each request, in place of two."""
    return _replaced(choosing.choose_group, "__defaults__", (1000,))


def _without_silence():
    """Wait for the engine's own word that a stream has failed."""
    return _replaced(silence.SilenceDetector, "check", lambda self, now: None)


def _without_urgency():
    """Let engines take requests in the order of their arrival."""
    from cowslipcourse.emulator import connections

    return _replaced(connections, "urgency", lambda *args: 5)


def _without_practice():
    """Let spares join a group for the first time when they are needed."""
    return _replaced(coordinator, "warmup_step", lambda *args: None)


POLICIES = {
    "as-is": _as_is,
    "without-practice": _without_practice,
    "without-opened-news": _without_news,
    "without-ended-news": _without_endings,
    "without-revival": _without_revival,
    "mixed-domains": _mixed_domains,
    "without-swaps": _without_swaps,
    "least-loaded-of-all": _least_loaded,
    "without-silence-watch": _without_silence,
    "without-urgency": _without_urgency,
}


def active_policy(name):
    """Return a context manager in which a policy is in force.

    :raises ConfigurationError: there is no such policy.
    """
    if name not in POLICIES:
        known = ", ".join(sorted(POLICIES))
        raise ConfigurationError([Problem("policies", f"no {name!r}; known: {known}")])
    return POLICIES[name]()

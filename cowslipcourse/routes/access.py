"""Which callers a configuration lets in.

A configuration that declares no workspaces, one whose workspaces hold no key, and one
whose workspaces cannot be decoded are three different things.
"""

from typing import NamedTuple, Protocol

from cowslipcourse.exceptions import ConfigurationUnreadable, NotAuthorised

__all__ = ["OPEN_ACCESS", "Access", "KeyedAccess", "Workspace"]


class Workspace(NamedTuple):
    """A customer.

    :param name: workspace name.
    :param priority: overrides the route's priority, if given.
    """

    name: str
    priority: int | None = None


class Access(Protocol):
    """Decides which callers may use a route."""

    @property
    def priorities(self) -> frozenset:
        """Priorities of the workspaces; ``None`` stands for that of the route."""

    def workspace(self, route, key):
        """Return the :class:`Workspace` of a key, or ``None`` where none is needed.

        :param route: :class:`~cowslipcourse.routes.Route` of the request.
        :param key: key that the caller sent, or ``None``.
        :raises NotAuthorised: a key is needed and this one does not exist.
        :raises ConfigurationUnreadable: it is not known whether the key exists.
        """


class _OpenAccess:
    """Implements :class:`Access` for a configuration that declares no workspaces."""

    priorities = frozenset((None,))

    def workspace(self, route, key):
        """Return that no workspace is needed."""


OPEN_ACCESS = _OpenAccess()


class KeyedAccess:
    """Implements :class:`Access` for a configuration that declares workspaces.

    :param workspaces: :class:`Workspace` by key; empty if nobody has a key.
    :param is_complete: whether all declared workspaces could be decoded.
    """

    def __init__(self, workspaces, is_complete=True):
        self._workspaces = dict(workspaces)
        self._is_complete = is_complete

    @property
    def priorities(self):
        """See :class:`Access`."""
        priorities = {workspace.priority for workspace in self._workspaces.values()}
        return frozenset(priorities or (None,))

    def workspace(self, route, key):
        """See :class:`Access`."""
        workspace = self._workspaces.get(key)
        if workspace is not None or route.is_public:
            return workspace
        if not self._is_complete:
            raise ConfigurationUnreadable(
                "not all keys of the configuration can be read"
            )
        raise NotAuthorised("the key is not known")

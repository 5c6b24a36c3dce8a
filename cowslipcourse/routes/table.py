"""Lookup table of routes, services and keys of one configuration version.

A configuration that declares no workspaces, one whose workspaces hold no key, and one
whose workspaces cannot be decoded are three different things.
"""

from enum import StrEnum
from typing import NamedTuple, Protocol

from cowslipcourse.exceptions import (
    ConfigurationUnreadable,
    NotAuthorised,
    UnknownRoute,
)

__all__ = [
    "OPEN_ACCESS",
    "Access",
    "CallerLimits",
    "KeyedAccess",
    "RequestKind",
    "Route",
    "RouteTable",
    "Workspace",
]


class RequestKind(StrEnum):
    """Retry semantics of a route's requests."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class Route(NamedTuple):
    """Where requests for a host and path prefix go.

    :param name: route name.
    :param host: value of the ``Host`` header.
    :param prefix: path prefix; begins and ends with a slash.
    :param kind: see :class:`RequestKind`.
    :param services: ``(service name, weight)`` pairs.
    :param timeout_s: longest time that a request may be kept waiting.
    :param objective_s: longest time of an answer that meets the objective.
    :param priority: 0 is the most urgent.
    :param max_attempts: most targets that one request may be sent to.
    :param is_public: whether no key is needed.
    :param is_resumable: whether a stream may be resumed at another target.
    :param pause_limit_s: longest pause between events that meets the objective.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    services: tuple[tuple[str, float], ...]
    timeout_s: float
    objective_s: float
    priority: int = 1
    max_attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False
    pause_limit_s: float = 0.0

    @property
    def is_retryable(self):
        """Whether a request may run more than once."""
        if self.kind is RequestKind.STREAMING:
            return self.is_resumable
        return self.kind is RequestKind.IDEMPOTENT


class CallerLimits(NamedTuple):
    """Bounds on what callers send.

    :param header_bytes: longest request head.
    :param body_bytes: longest request body.
    :param header_s: longest time for the head to arrive.
    :param idle_s: longest time that a connection may stay idle.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_s: float = 3.0
    idle_s: float = 15.0


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


class RouteTable:
    """One version of the configuration.

    :param version: grows with every change.
    :param routes: iterable of :class:`Route`.
    :param services: iterable of :class:`~cowslipcourse.routes.ServiceSpec`.
    :param limits: :class:`CallerLimits`
    :param access: :class:`~cowslipcourse.routes.Access`
    :param unreadable_places: ``(host, prefix)`` of routes that cannot be decoded.
    :param has_unreadable_services: whether services were left out because they cannot
        be decoded.
    """

    def __init__(
        self,
        version,
        routes,
        services,
        limits,
        access=OPEN_ACCESS,
        unreadable_places=(),
        has_unreadable_services=False,
    ):
        self.version = version
        self.services = {service.name: service for service in services}
        self.limits = limits
        self._access = access
        self._routes = {(route.host, route.prefix): route for route in routes}
        self._unreadable_places = frozenset(unreadable_places)
        self._has_unreadable_services = has_unreadable_services
        self._priorities = self._priorities_by_service()

    def __len__(self):
        return len(self._routes)

    def find(self, host, path):
        """Return the route with the longest prefix of a path.

        :raises UnknownRoute: no route of the host matches.
        :raises ConfigurationUnreadable: the route that matches cannot be decoded.
        """
        end = path.rfind("/")
        while end >= 0:
            place = host, path[: end + 1]
            if place in self._unreadable_places:
                raise ConfigurationUnreadable("the route of this path cannot be read")
            route = self._routes.get(place)
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        raise UnknownRoute("no route for this host and path")

    def check_service(self, name):
        """Check that a service is not one of those that cannot be decoded.

        Its limits are not known, so nothing may be sent to it.

        :param name: name of the service.
        :raises ConfigurationUnreadable: it may be one of those.
        """
        if self._has_unreadable_services and name not in self.services:
            raise ConfigurationUnreadable(f"the service {name} cannot be read")

    def priorities(self, service):
        """Return the priorities that requests to a service may have.

        :param service: name of the service.
        """
        return self._priorities.get(service, frozenset())

    def _priorities_by_service(self):
        overrides = self._access.priorities
        priorities = {}
        for route in self._routes.values():
            applied = overrides | {None} if route.is_public else overrides
            for service, _ in route.services:
                priorities.setdefault(service, set()).update(
                    route.priority if each is None else each for each in applied
                )
        return {name: frozenset(each) for name, each in priorities.items()}

    def workspace(self, route, key):
        """See :class:`~cowslipcourse.routes.Access`."""
        return self._access.workspace(route, key)

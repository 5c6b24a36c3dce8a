"""Lookup table of routes, services and keys of one configuration version."""

from enum import StrEnum
from typing import NamedTuple

from cowslipcourse.exceptions import NotAuthorised, UnknownRoute

__all__ = ["CallerLimits", "RequestKind", "Route", "RouteTable", "Workspace"]


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


class RouteTable:
    """One version of the configuration.

    :param version: grows with every change.
    :param routes: iterable of :class:`Route`.
    :param services: iterable of :class:`~cowslipcourse.routes.ServiceSpec`.
    :param limits: :class:`CallerLimits`
    :param keys: :class:`Workspace` by key; empty if callers need no key.
    """

    def __init__(self, version, routes, services, limits, keys):
        self.version = version
        self.services = {service.name: service for service in services}
        self.limits = limits
        self._keys = dict(keys)
        self._routes = {(route.host, route.prefix): route for route in routes}
        self._priorities = self._priorities_by_service()

    def __len__(self):
        return len(self._routes)

    def find(self, host, path):
        """Return the route with the longest prefix of a path.

        :raises UnknownRoute: no route of the host matches.
        """
        end = path.rfind("/")
        while end >= 0:
            route = self._routes.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        raise UnknownRoute("no route for this host and path")

    def priorities(self, service):
        """Return the priorities that requests to a service may have.

        :param service: name of the service.
        """
        return self._priorities.get(service, frozenset())

    def _priorities_by_service(self):
        overrides = {workspace.priority for workspace in self._keys.values()}
        priorities = {}
        for route in self._routes.values():
            applied = overrides | {None} if route.is_public else overrides or {None}
            for service, _ in route.services:
                priorities.setdefault(service, set()).update(
                    route.priority if each is None else each for each in applied
                )
        return {name: frozenset(each) for name, each in priorities.items()}

    def workspace(self, route, key):
        """Return the workspace of a key, or ``None`` where none is needed.

        :param route: route of the request.
        :param key: key that the caller sent, or ``None``.
        :raises NotAuthorised: a key is needed and this one is not known.
        """
        if not self._keys:
            return None
        workspace = self._keys.get(key)
        if workspace is None and not route.is_public:
            raise NotAuthorised("the key is not known")
        return workspace

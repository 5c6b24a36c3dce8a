"""Admission and routing of model requests at this gateway."""

import random

from cowslipcourse.admission import (
    AdmissionControl,
    AdmissionLimits,
    CapacityView,
)
from cowslipcourse.daemon import now
from cowslipcourse.exceptions import NoTargetAvailable, UnknownModel
from cowslipcourse.routing import (
    InFlight,
    LeastExpectedWait,
    PrefixMap,
    StragglerFilter,
    TargetView,
    prefix_hashes,
)

__all__ = ["GroupChooser"]

ANSWER_SMOOTHING = 0.1
FIRST_ANSWER_S = 1.0
NO_GROUP_RETRY_S = 2.0
STRAGGLER_LOOK_S = 1.0


class GroupChooser:
    """Lets requests in and chooses their groups.

    :param view: :class:`~cowslipcourse.gateway.fleet_view.FleetView`
    :param agent: :class:`~cowslipcourse.daemon.Agent`
    :param rng: :class:`random.Random`
    """

    def __init__(self, view, agent, rng=None):
        self._view = view
        self._agent = agent
        self._rng = rng or random.Random()
        self._policy = LeastExpectedWait()
        self._admission = AdmissionControl(AdmissionLimits(), self._rng)
        self._stragglers = StragglerFilter()
        self._stragglers_at = 0.0
        self._prefixes = PrefixMap()
        self._in_flight = InFlight()
        self._in_flight_by_workspace = {}
        self._reported = 0
        self._answer_s = FIRST_ANSWER_S

    @property
    def in_flight(self):
        """:class:`~cowslipcourse.routing.InFlight` by group."""
        return self._in_flight

    @property
    def in_flight_by_workspace(self):
        """Requests in flight by workspace."""
        return self._in_flight_by_workspace

    def record_reported(self):
        """Note that the requests in flight were reported to the other gateways."""
        self._reported = sum(self._in_flight_by_workspace.values())

    def admit(self, call, model):
        """Let a request in.

        :param call: :class:`~cowslipcourse.gateway.callers.Call`
        :param model: model name.
        :returns: names of the group declarations that may serve it.
        :raises UnknownModel: the model is not placed for the workspace.
        :raises AdmissionError: it is not let in now.
        """
        declarations = self._view.resolved.declarations_for(call.workspace, model)
        if not declarations:
            raise UnknownModel(f"no model {model!r} is placed for {call.workspace}")
        grants = self._view.group_grants(declarations)
        capacity = self._capacity(grants)
        remaining_s = call.remaining_s()
        self._admission.admit(call.workspace, call.priority, remaining_s, capacity)
        return declarations

    def record_admitted(self, workspace):
        """Note that a request of a workspace was let in; returns its start time."""
        self._in_flight_by_workspace[workspace] = (
            self._in_flight_by_workspace.get(workspace, 0) + 1
        )
        return now()

    def record_finished(self, workspace, entered_at, completed):
        """Note that a request of a workspace ended."""
        self._in_flight_by_workspace[workspace] -= 1
        if not self._in_flight_by_workspace[workspace]:
            del self._in_flight_by_workspace[workspace]
        if completed:
            took_s = now() - entered_at
            self._answer_s += ANSWER_SMOOTHING * (took_s - self._answer_s)

    def choose(self, declarations, hashes, tried):
        """Choose a group.

        :param declarations: names of group declarations.
        :param hashes: prefix hashes of the prompt.
        :param tried: group ids that failed this request; used only if all did.
        :returns: :class:`~cowslipcourse.fleet.GroupSpec`
        :raises NoTargetAvailable: none may serve now.
        """
        grants = self._view.group_grants(declarations)
        if not grants:
            raise NoTargetAvailable("no group serves this model now", NO_GROUP_RETRY_S)
        by_name = {grant.report.spec.group: grant for grant in grants}
        views = self._views(grants, hashes)
        views = [view for view in views if view.name not in tried] or views
        self._watch_stragglers(grants)
        views = self._stragglers.without_stragglers(views, now())
        chosen = self._policy.choose(views, self._rng)
        self._prefixes.add(chosen.name, hashes, now())
        return by_name[chosen.name].report.spec

    def prefix_hashes(self, prompt):
        """Return the prefix hashes of a prompt."""
        return prefix_hashes(prompt)

    def record_cached_prefixes(self, report):
        """Take in which prefixes a group lately cached."""
        if report.cached_prefixes:
            self._prefixes.add(report.spec.group, report.cached_prefixes, now())

    def forget_cached_prefixes(self, group):
        """Drop what was known of a group's cache."""
        self._prefixes.remove_target(group)

    def _views(self, grants, hashes):
        at = now()
        peers, _ = self._view.peers_in_flight()
        cached = self._prefixes.cached_tokens(hashes, at)
        own_centre = self._agent.member.data_centre
        views = []
        for grant in grants:
            spec = grant.report.spec
            views.append(
                TargetView(
                    name=spec.group,
                    load=grant.report.load,
                    load_age_s=at - grant.observed_at,
                    own_in_flight=self._in_flight.count(spec.group),
                    own_unreported=self._in_flight.count_since(
                        spec.group, grant.observed_at
                    ),
                    peers_in_flight=peers.get(spec.group, 0),
                    distance=int(spec.data_centre != own_centre),
                    prefix_tokens=cached.get(spec.group, 0),
                )
            )
        return views

    def _capacity(self, grants):
        _, in_flight = self._view.peers_in_flight()
        for name, count in self._in_flight_by_workspace.items():
            in_flight[name] = in_flight.get(name, 0) + count
        workspaces = self._view.configuration.workspace
        views = self._views(grants, ())
        waits = [self._policy.expected_wait_s(view) for view in views]
        return CapacityView(
            slots=sum(grant.report.load.batch_limit for grant in grants),
            in_flight=in_flight,
            weights={name: w.share for name, w in workspaces.items()},
            mean_answer_s=self._answer_s,
            wait_s=min(waits, default=0.0),
            estimated_unreported=self._unseen(),
        )

    def _unseen(self):
        """Requests that the other gateways let in unseen, if they do as this one."""
        grown = sum(self._in_flight_by_workspace.values()) - self._reported
        return max(0, grown) * self._view.other_gateway_count

    def _watch_stragglers(self, grants):
        if now() - self._stragglers_at < STRAGGLER_LOOK_S:
            return
        self._stragglers_at = now()
        times = {g.report.spec.group: g.report.load.token_s for g in grants}
        self._stragglers.observe(times, now())

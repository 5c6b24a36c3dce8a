"""Admission and routing of model requests at this gateway."""

import random

from cowslipcourse.admission import (
    AdmissionControl,
    AdmissionLimits,
    CapacityView,
)
from cowslipcourse.daemon import now
from cowslipcourse.exceptions import NoTargetAvailable, UnknownModel
from cowslipcourse.load_balancing import (
    InFlight,
    LeastExpectedWait,
    PrefixMap,
    StragglerFilter,
    TargetView,
    prefix_hashes,
)

__all__ = ["GroupChooser"]

RESPONSE_TIME_SMOOTHING = 0.1
INITIAL_RESPONSE_TIME_S = 1.0
NO_GROUP_RETRY_AFTER_S = 2.0
STRAGGLER_CHECK_INTERVAL_S = 1.0


class GroupChooser:
    """Admits model requests and chooses the group for each attempt.

    :param fleet_view: :class:`~cowslipcourse.gateway.fleet_view.FleetView`
    :param agent: :class:`~cowslipcourse.daemon.Agent`
    :param rng: :class:`random.Random`
    """

    def __init__(self, fleet_view, agent, rng=None):
        self._fleet_view = fleet_view
        self._agent = agent
        self._rng = rng or random.Random()
        self._policy = LeastExpectedWait()
        self._admission = AdmissionControl(AdmissionLimits(), self._rng)
        self._stragglers = StragglerFilter()
        self._stragglers_checked_at = 0.0
        self._prefixes = PrefixMap()
        self._in_flight = InFlight()
        self._in_flight_by_workspace = {}
        self._reported_in_flight = 0
        self._mean_response_time_s = INITIAL_RESPONSE_TIME_S

    @property
    def in_flight(self):
        """:class:`~cowslipcourse.load_balancing.InFlight` by group."""
        return self._in_flight

    @property
    def in_flight_by_workspace(self):
        """Number of requests in flight by workspace."""
        return self._in_flight_by_workspace

    def record_reported(self):
        """Record that the requests in flight were reported to the other gateways."""
        self._reported_in_flight = sum(self._in_flight_by_workspace.values())

    def admit(self, call, model):
        """Admit a request or refuse it.

        :param call: :class:`~cowslipcourse.gateway.callers.Call`
        :param model: model name.
        :returns: names of the group declarations that may serve it.
        :raises UnknownModel: the model is not placed for the workspace.
        :raises AdmissionError: it is not admitted now.
        """
        declarations = self._fleet_view.resolved.declarations_for(call.workspace, model)
        if not declarations:
            raise UnknownModel(f"no model {model!r} is placed for {call.workspace}")
        grants = self._fleet_view.group_grants(declarations)
        capacity = self._capacity_view(grants)
        remaining_s = call.remaining_s()
        self._admission.admit(call.workspace, call.priority, remaining_s, capacity)
        return declarations

    def record_admitted(self, workspace):
        """Record that a request of a workspace was admitted; return the loop time."""
        self._in_flight_by_workspace[workspace] = (
            self._in_flight_by_workspace.get(workspace, 0) + 1
        )
        return now()

    def record_finished(self, workspace, admitted_at, completed):
        """Record that a request of a workspace ended.

        :param workspace: workspace name.
        :param admitted_at: loop time that :meth:`record_admitted` returned.
        :param completed: whether its response was complete.
        """
        self._in_flight_by_workspace[workspace] -= 1
        if not self._in_flight_by_workspace[workspace]:
            del self._in_flight_by_workspace[workspace]
        if completed:
            response_time_s = now() - admitted_at
            self._mean_response_time_s += RESPONSE_TIME_SMOOTHING * (
                response_time_s - self._mean_response_time_s
            )

    def choose(self, declarations, prompt_hashes, tried_groups):
        """Choose the group to send a request to.

        :param declarations: names of group declarations.
        :param prompt_hashes: prefix hashes of the prompt.
        :param tried_groups: ids of groups at which this request failed; chosen again
            only if it failed at all groups.
        :returns: :class:`~cowslipcourse.fleet.GroupSpec`
        :raises NoTargetAvailable: none may serve now.
        """
        grants = self._fleet_view.group_grants(declarations)
        if not grants:
            raise NoTargetAvailable(
                "no group serves this model now", NO_GROUP_RETRY_AFTER_S
            )
        grants_by_group = {grant.report.spec.group: grant for grant in grants}
        target_views = self._target_views(grants, prompt_hashes)
        target_views = [
            view for view in target_views if view.name not in tried_groups
        ] or target_views
        self._update_stragglers(grants)
        target_views = self._stragglers.without_stragglers(target_views, now())
        chosen_view = self._policy.choose(target_views, self._rng)
        self._prefixes.add(chosen_view.name, prompt_hashes, now())
        return grants_by_group[chosen_view.name].report.spec

    def prefix_hashes(self, prompt):
        """Return the prefix hashes of a prompt."""
        return prefix_hashes(prompt)

    def record_cached_prefixes(self, report):
        """Record which prompt prefixes a group recently cached.

        :param report: :class:`~cowslipcourse.daemon.reports.GroupReport`
        """
        if report.cached_prefixes:
            self._prefixes.add(report.spec.group, report.cached_prefixes, now())

    def forget_cached_prefixes(self, group):
        """Forget which prefixes a group has cached."""
        self._prefixes.remove_target(group)

    def _target_views(self, grants, prompt_hashes):
        current_time = now()
        peers_by_group, _ = self._fleet_view.peers_in_flight()
        cached_tokens_by_group = self._prefixes.cached_tokens(
            prompt_hashes, current_time
        )
        own_data_centre = self._agent.member.data_centre
        target_views = []
        for grant in grants:
            spec = grant.report.spec
            target_views.append(
                TargetView(
                    name=spec.group,
                    load=grant.report.load,
                    load_age_s=current_time - grant.observed_at,
                    own_in_flight=self._in_flight.count(spec.group),
                    own_unreported=self._in_flight.count_since(
                        spec.group, grant.observed_at
                    ),
                    peers_in_flight=peers_by_group.get(spec.group, 0),
                    distance=int(spec.data_centre != own_data_centre),
                    prefix_tokens=cached_tokens_by_group.get(spec.group, 0),
                )
            )
        return target_views

    def _capacity_view(self, grants):
        _, in_flight = self._fleet_view.peers_in_flight()
        for name, count in self._in_flight_by_workspace.items():
            in_flight[name] = in_flight.get(name, 0) + count
        workspaces = self._fleet_view.configuration.workspace
        target_views = self._target_views(grants, ())
        expected_waits_s = [self._policy.expected_wait_s(view) for view in target_views]
        return CapacityView(
            slots=sum(grant.report.load.batch_limit for grant in grants),
            in_flight=in_flight,
            weights={name: w.share for name, w in workspaces.items()},
            mean_answer_s=self._mean_response_time_s,
            wait_s=min(expected_waits_s, default=0.0),
            estimated_unreported=self._estimate_unreported(),
        )

    def _estimate_unreported(self):
        """Estimate the requests that the other gateways have not reported yet.

        Each is assumed to have admitted as many as this gateway.
        """
        unreported = (
            sum(self._in_flight_by_workspace.values()) - self._reported_in_flight
        )
        return max(0, unreported) * self._fleet_view.other_gateway_count

    def _update_stragglers(self, grants):
        if now() - self._stragglers_checked_at < STRAGGLER_CHECK_INTERVAL_S:
            return
        self._stragglers_checked_at = now()
        token_s_by_group = {g.report.spec.group: g.report.load.token_s for g in grants}
        self._stragglers.observe(token_s_by_group, now())

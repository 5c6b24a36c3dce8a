"""Objects shared by the components of a daemon."""

from contextlib import contextmanager, nullcontext

from cowslipcourse.admission import MIN_DAEMON_COUNT
from cowslipcourse.entry.graceful_stop import GracefulStop
from cowslipcourse.entry.settings import BalancingSettings
from cowslipcourse.entry.target_placing import TargetPlacing
from cowslipcourse.entry.unloaded_components import AlwaysReachable, NoRelays
from cowslipcourse.http_framing import AnswerHold, HeldAnswers
from cowslipcourse.load_balancing.target_speeds import UnobservedRequest

__all__ = ["DaemonContext"]

MAX_DROPPED_SERVICES = 100
"""Services that are remembered after a configuration has dropped them."""


class DaemonContext:
    """The views, helpers and configuration that components of a daemon share.

    :param settings: :class:`~cowslipcourse.entry.settings.EntrySettings`
    :param fleet: :class:`~cowslipcourse.entry.fleet_view.FleetView`
    :param attempt_sender: :class:`~cowslipcourse.entry.attempts.AttemptSender`
    :param retry_budget: :class:`~cowslipcourse.admission.SharedRetryBudget`
    :param silence_detector:
        :class:`~cowslipcourse.entry.silence_detector.SilenceDetector`
    :param conditions:
        :class:`~cowslipcourse.entry.target_conditions.TargetConditions`
    :param quarantine: :class:`~cowslipcourse.quarantine_runtime.Quarantine`
    :param rng: :class:`random.Random`
    :param placing: :class:`~cowslipcourse.entry.target_placing.TargetPlacing`; by
        default one that compares requests in flight.
    """

    def __init__(
        self,
        settings,
        fleet,
        attempt_sender,
        retry_budget,
        silence_detector,
        conditions,
        quarantine,
        rng,
        placing=None,
    ):
        self.data_centre = settings.data_centre
        self.admission = settings.admission
        self.answers = settings.answers
        self.held_answers = HeldAnswers(settings.answers.max_held_bytes)
        self.fleet = fleet
        self.attempt_sender = attempt_sender
        self.retry_budget = retry_budget
        self.silence_detector = silence_detector
        self.conditions = conditions
        self.quarantine = quarantine
        self.rng = rng
        self.placing = placing or TargetPlacing(
            BalancingSettings(), fleet, conditions, settings.data_centre
        )
        self.reachability = AlwaysReachable()
        """:class:`~cowslipcourse.entry.unloaded_components.Reachability`"""
        self.relays = NoRelays()
        """:class:`~cowslipcourse.entry.unloaded_components.RelayService`"""
        self.stop = GracefulStop()
        self.daemon_count = MIN_DAEMON_COUNT
        """Number of daemons, as far as it is known."""
        self._table = None
        self._dropped_services = {}
        self.metrics = None
        self.withheld_counts = {}
        self.hedge_counts = {}
        self.retry_counts = {}

    @property
    def table(self):
        """:class:`~cowslipcourse.routes.RouteTable` in force; ``None`` without one."""
        return self._table

    @table.setter
    def table(self, table):
        if self._table is not None and table is not None:
            self._remember_dropped_services(table.services)
        self._table = table

    def _remember_dropped_services(self, services):
        """Keep the services that are no longer configured, for accepted requests."""
        for name, spec in self._table.services.items():
            if name not in services:
                self._dropped_services[name] = spec
        while len(self._dropped_services) > MAX_DROPPED_SERVICES:
            del self._dropped_services[next(iter(self._dropped_services))]

    @property
    def configuration_version(self):
        """Version of the configuration in force; 0 without one."""
        return 0 if self.table is None else self.table.version

    def choose_service(self, route):
        """Return the name of a service of a route, drawn at random by weight."""
        if len(route.services) == 1:
            return route.services[0][0]
        names = [name for name, _ in route.services]
        weights = [weight for _, weight in route.services]
        return self.rng.choices(names, weights)[0]

    def open_attempt(self, call, run, last_event_id=None):
        """Send a request to the target or the relay of a run.

        See :meth:`~cowslipcourse.entry.attempts.AttemptSender.open`.
        """
        sender = self.relays if run.is_relayed else self.attempt_sender
        return sender.open(call, run, last_event_id)

    @contextmanager
    def holding_answers(self):
        """Yield an :class:`~cowslipcourse.http_framing.AnswerHold` for one request."""
        hold = AnswerHold(self.held_answers)
        try:
            yield hold
        finally:
            hold.release()

    def observing(self, call, run):
        """Observe the time of a request, unless another daemon does.

        See :meth:`~cowslipcourse.entry.target_placing.TargetPlacing.observing`.
        """
        if run.is_relayed:
            return nullcontext(UnobservedRequest())
        return self.placing.observing(call, run.entry)

    def count_withheld(self, service):
        """Count a request that was not sent to a chosen target of a service."""
        self.withheld_counts[service] = self.withheld_counts.get(service, 0) + 1

    def count_hedge(self, outcome):
        """Count a hedge by its outcome, ``"won"`` or ``"lost"``."""
        self.hedge_counts[outcome] = self.hedge_counts.get(outcome, 0) + 1

    def count_retry(self, service, outcome):
        """Count a retry at a service as ``"taken"``, ``"refused"`` or ``"free"``."""
        key = service, outcome
        self.retry_counts[key] = self.retry_counts.get(key, 0) + 1

    def has_priorities(self, service):
        """Whether requests to a service wait by priority and differ in it."""
        if self.admission.order != "priority" or self.table is None:
            return False
        return len(self.table.priorities(service)) > 1

    def service_spec(self, name):
        """Return the :class:`~cowslipcourse.routes.ServiceSpec` of a service.

        A request may still be sent to a service after a configuration has dropped it.
        """
        spec = self.table.services.get(name)
        return self._dropped_services[name] if spec is None else spec

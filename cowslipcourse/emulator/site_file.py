"""Experiments as files: a site, its load, its faults, policies and seeds."""

from typing import Literal

from pydantic import Field

from cowslipcourse.settings_file import Seconds, Section

__all__ = ["ExperimentSettings", "FaultSettings", "KindSettings", "SiteSettings"]


class ModelSettings(Section):
    """A model that the engines serve."""

    name: str
    size: int = Field(ge=1)
    share: float = Field(gt=0)
    pace: float = Field(default=1.0, gt=0)
    load_s: Seconds
    warm_s: Seconds


class KindSettings(Section):
    """A kind of request.

    :param per_s: requests a second.
    :param spread: standard deviation of prompts and answers, as a share of their mean.
    :param worth: worth of an answer on time.
    :param late_worth: worth of a late one.
    """

    name: str
    model: str
    per_s: float = Field(gt=0)
    prompt_tokens: float = Field(gt=0)
    events: float = Field(gt=0)
    spread: float = Field(default=0.9, gt=0)
    aim_s: Seconds
    pause_s: Seconds
    deadline_s: Seconds
    retries: int = Field(default=1, ge=0)
    worth: float = Field(default=1.0, gt=0)
    late_worth: float = Field(default=0.25, ge=0)


class SiteSettings(Section):
    """Engines, daemons and load.

    :param domains: data centre of each fabric domain, by domain.
    :param engines_a_domain: engines in each at the start.
    :param list_lag_s: age of the list of targets when daemons read it.
    :param lapse_s: silence after which an engine is dropped from the list.
    :param message_loss: share of messages between daemons that are lost.
    :param message_late_s: longest time that one takes.
    :param lead_s: seconds before the traffic starts; loads take a tenth then.
    :param register_s: time over which the domains' engines are listed at the start.
    """

    domains: dict[str, str]
    engines_a_domain: int = Field(ge=1)
    daemons: int = Field(default=7, ge=1)
    slots: int = Field(default=13, ge=1)
    step_s: Seconds = 0.00595
    step_per_request_s: float = Field(default=0.000089, ge=0)
    steps_per_event: int = Field(default=7, ge=1)
    prefill_tokens_per_s: float = Field(default=50_700.0, gt=0)
    chunk_tokens: int = Field(default=2048, ge=1)
    loads_per_s: float = Field(default=4.5, gt=0)
    list_lag_s: float = Field(default=0.8, ge=0)
    lapse_s: Seconds = 3.6
    message_loss: float = Field(default=0.0, ge=0, lt=1)
    message_late_s: float = Field(default=0.003, ge=0)
    lead_s: Seconds = 12.0
    register_s: float = Field(default=0.0, ge=0)
    models: tuple[ModelSettings, ...]
    kinds: tuple[KindSettings, ...]


class FaultSettings(Section):
    """Something that happens, once or again and again.

    :param kind: ``lose`` engines of groups for good, ``end`` their processes, which
        start again after a while, make them ``restart`` under their ids, darken a whole
        ``domain`` for a while, after which its engines come back under other ids,
        ``add`` empty engines, let a ``burst`` of requests come, ``crash`` engines by
        one request that comes at ``count`` daemons each time, ``silence`` daemons
        towards the others, or let them ``forget`` what they know of such requests, as
        in a new start.
    :param at_s: first time, from the start of the traffic.
    :param every_s: time between two; 0 for once.
    :param until_s: no more after that.
    :param count: engines or domains that are struck, or engines that are added.
    :param for_s: how long it lasts, where it lasts.
    :param factor: of a burst.
    :param request: kind of request of a burst or crash; empty for all or the first.
    :param model: only domains are darkened whose groups serve it; empty for any.
    """

    kind: Literal[
        "lose", "restart", "domain", "add", "burst", "crash", "silence", "forget", "end"
    ]
    at_s: float = Field(ge=0)
    every_s: float = Field(default=0.0, ge=0)
    until_s: float = Field(default=0.0, ge=0)
    count: int = Field(default=1, ge=1)
    for_s: float = Field(default=1.0, ge=0)
    factor: float = Field(default=1.0, gt=0)
    request: str = ""
    model: str = ""

    def times(self):
        """Return the times at which it begins, in seconds."""
        if not self.every_s:
            return [self.at_s]
        number = int(max(0.0, self.until_s - self.at_s) / self.every_s) + 1
        return [self.at_s + each * self.every_s for each in range(number)]


class ExperimentSettings(Section):
    """File of an experiment.

    :param seconds: length of the traffic.
    :param seeds: number of runs of each policy; run N of each has the same luck.
    :param policies: names from :mod:`cowslipcourse.emulator.policies`.
    """

    name: str
    seconds: Seconds = 34.0
    seeds: int = Field(default=5, ge=1, le=1000)
    policies: tuple[str, ...] = ("as-is",)
    site: SiteSettings
    faults: tuple[FaultSettings, ...] = ()

    def problems(self):
        """See :class:`~cowslipcourse.settings_file.Section`."""
        models = {model.name for model in self.site.models}
        wrong = [
            ("faults.model", f"no model {fault.model!r}")
            for fault in self.faults
            if fault.model not in {"", *models}
        ]
        return wrong + [
            ("site.kinds.model", f"no model {kind.model!r}")
            for kind in self.site.kinds
            if kind.model not in models
        ]

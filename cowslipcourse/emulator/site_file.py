"""Settings of experiments: the site, its load, faults, policies and seeds."""

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

    :param per_s: mean arrival rate in requests per second.
    :param events: mean number of events of an answer.
    :param spread: standard deviation of the sizes of prompts and answers, as a fraction
        of their means.
    :param aim_s: objective for the time to the first event.
    :param pause_s: objective for the longest pause between events.
    :param subjects: number of subjects, each a part that the prompts about it share;
        if 0, requests state no parts.
    :param shared_parts: number of parts of a prompt that others share: the subject,
        then that of the kind, then themes that several subjects share.
    :param worth: credit for an answer on time.
    :param late_worth: credit for a late answer.
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
    subjects: int = Field(default=0, ge=0)
    shared_parts: int = Field(default=2, ge=1, le=4)
    worth: float = Field(default=1.0, gt=0)
    late_worth: float = Field(default=0.25, ge=0)


class SiteSettings(Section):
    """Engines, daemons and load.

    :param domains: data centre by fabric domain.
    :param engines_a_domain: number of engines in each domain at the start.
    :param list_lag_s: age of the list of targets when daemons read it.
    :param lapse_s: time after which an unreachable engine is dropped from the list.
    :param message_loss: fraction of messages between daemons that are lost.
    :param message_late_s: maximum delay of a message between daemons.
    :param lead_s: time before the traffic starts, during which loads take a tenth of
        their usual time.
    :param register_s: time over which the engines of the domains are listed at the
        start; all are listed at once if 0.
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
    """A fault or another event, which occurs once or repeatedly.

    :param kind: ``lose`` removes engines of groups for good. ``end`` crashes their
        processes, which restart after a while. ``restart`` restarts them under the same
        ids. ``domain`` makes a whole domain unreachable for a while, after which its
        engines return under new ids. ``add`` adds engines without weights. ``burst``
        raises the request rate. ``crash`` sends a request that crashes engines to
        ``count`` daemons. ``silence`` isolates daemons from the others. ``forget``
        makes daemons discard what they know of such requests, as a restart does.
        ``limit`` makes heads of groups state a rate limit for a while. ``pause`` makes
        them refuse all requests for a while and ask for a pause each time. ``leave``
        makes them state that they leave; they stop after a while. ``crash_part`` sends
        ``count`` different requests with a part that crashes engines to daemons.
    :param at_s: first occurrence, from the start of the traffic.
    :param every_s: interval between occurrences; 0 for a single one.
    :param until_s: latest time of an occurrence.
    :param count: number of engines, domains or daemons affected, or of engines added.
    :param for_s: duration, for kinds that last.
    :param factor: factor of a burst on the request rate.
    :param request: kind of request of a burst or crash; if empty, all kinds for a
        burst and the first kind for a crash.
    :param model: restricts ``domain``, ``limit``, ``pause`` and ``leave`` to groups
        that serve this model; empty for any.
    :param limit_per_s: rate limit in requests per second.
    :param pause_s: duration of the pauses.
    :param part: id of the part that crashes engines, from the first occurrence on.
    :param is_first_part: whether it is the first part of the prompts of these requests,
        in place of the last one that is shared.
    :param crash_form: how far engines get with an answer under which they crash.
    """

    kind: Literal[
        "lose",
        "restart",
        "domain",
        "add",
        "burst",
        "crash",
        "silence",
        "forget",
        "end",
        "limit",
        "pause",
        "leave",
        "crash_part",
    ]
    at_s: float = Field(ge=0)
    every_s: float = Field(default=0.0, ge=0)
    until_s: float = Field(default=0.0, ge=0)
    count: int = Field(default=1, ge=1)
    for_s: float = Field(default=1.0, ge=0)
    factor: float = Field(default=1.0, gt=0)
    request: str = ""
    model: str = ""
    limit_per_s: float = Field(default=1.0, gt=0)
    pause_s: Seconds = 3.0
    part: str = ""
    is_first_part: bool = False
    crash_form: Literal["before-head", "head", "first-event", "events"] = "head"

    def times(self):
        """Return the times of all occurrences, in seconds."""
        if not self.every_s:
            return [self.at_s]
        occurrence_count = int(max(0.0, self.until_s - self.at_s) / self.every_s) + 1
        return [self.at_s + index * self.every_s for index in range(occurrence_count)]


class ExperimentSettings(Section):
    """Settings of an experiment.

    :param seconds: duration of the traffic.
    :param seeds: number of runs of each policy; run N of every policy has seed N.
    :param policies: names from :mod:`cowslipcourse.emulator.ablations`.
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
        model_problems = [
            ("faults.model", f"no model {fault.model!r}")
            for fault in self.faults
            if fault.model not in {"", *models}
        ]
        return model_problems + [
            ("site.kinds.model", f"no model {kind.model!r}")
            for kind in self.site.kinds
            if kind.model not in models
        ]

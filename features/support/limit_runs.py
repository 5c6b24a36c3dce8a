"""Emulated runs with engines that state rate limits, in virtual time."""

import tomllib

from cowslipcourse.emulator.clock import run_in_virtual_time
from cowslipcourse.emulator.site import simulate
from cowslipcourse.emulator.site_file import ExperimentSettings
from features.support.emulated_site import SITE

__all__ = ["limit_settings", "simulate_limits"]

DAEMON_COUNT = 8


def limit_settings(duration_s, faults, **site_overrides):
    """Return the :class:`ExperimentSettings` of a run.

    :param duration_s: duration of the run in seconds.
    :param faults: tables of faults.
    :param site_overrides: settings that replace those of the site.
    """
    tables = tomllib.loads('name = "limits"\n' + SITE)
    tables["site"] |= {"daemons": DAEMON_COUNT} | site_overrides
    tables |= {"seconds": duration_s, "faults": faults}
    return ExperimentSettings.model_validate(tables)


def simulate_limits(settings, seed):
    """Return the :class:`~cowslipcourse.emulator.site.SiteResult` of a run."""
    return run_in_virtual_time(simulate(settings, seed))

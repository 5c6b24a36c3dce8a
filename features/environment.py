"""Hooks of behave that clean up the resources of each scenario."""

import contextlib
import logging
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))


def before_all(context):
    """Suppress the log events of daemons in the test output."""
    logging.getLogger("cowslipcourse").setLevel(logging.CRITICAL)


def before_scenario(context, scenario):
    """Give each scenario an exit stack for its resources."""
    context.resources = contextlib.ExitStack()
    context.site = None


def after_scenario(context, scenario):
    """Release the resources of the scenario."""
    context.resources.close()

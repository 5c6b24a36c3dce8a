"""Hooks of behave: every scenario ends what it started."""

import contextlib
import logging
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))


def before_all(context):
    """Keep the daemons' events out of the tests' output."""
    logging.getLogger("cowslipcourse").setLevel(logging.CRITICAL)


def before_scenario(context, scenario):
    """Give each scenario a stack of things to clean up."""
    context.resources = contextlib.ExitStack()
    context.site = None


def after_scenario(context, scenario):
    """End processes and remove folders."""
    context.resources.close()

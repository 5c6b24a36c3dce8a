"""Runtime shared by gateways and controllers: event loop, membership and revisions."""

from cowslipcourse.daemon.agent import Agent
from cowslipcourse.daemon.revisions import RevisionTable
from cowslipcourse.daemon.runtime import now, run_daemon
from cowslipcourse.daemon.tasks import run_forever

__all__ = ["Agent", "RevisionTable", "now", "run_daemon", "run_forever"]

"""Steps for the links between daemons and targets of a test site."""

import asyncio

from behave import given, then, when

from features.support.partitioned_site import PartitionedSite
from harness.ports import free_ports

DAEMON = "a1"


@given("a site whose daemons reach targets over links")
def step_site(context):
    context.runner = asyncio.Runner()
    context.resources.callback(context.runner.close)
    context.site = PartitionedSite()
    context.target_address = f"127.0.0.1:{free_ports(1)[0]}"


async def _give_up(site, target_address):
    connecting = asyncio.create_task(site.link_address(DAEMON, target_address))
    await asyncio.sleep(0)
    connecting.cancel()
    await asyncio.gather(connecting, return_exceptions=True)


@when("the first connection over a link is given up while the link is set up")
def step_given_up(context):
    context.runner.run(_give_up(context.site, context.target_address))


async def _connect(site, target_address):
    address = await site.link_address(DAEMON, target_address)
    host, port = address.rsplit(":", 1)
    _, writer = await asyncio.open_connection(host, int(port))
    writer.close()


@then("the next connection over it is made")
def step_connected(context):
    context.runner.run(_connect(context.site, context.target_address))


@then("the site can be stopped")
def step_stopped(context):
    context.runner.run(context.site.stop())

"""What a gateway leaves behind at a planned stop: the outcomes of keyed requests."""

import asyncio

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.exceptions import OutcomeUnknown, StoreError
from cowslipcourse.requests.outcomes import encode_outcomes

__all__ = ["read_stored_outcomes", "store_outcomes"]

TRIES = 5
PAUSE_S = 1.0
STORE_RETRY_S = 5.0

log = get_logger(__name__)


def _name(gateway, incarnation):
    return f"outcomes/{gateway}.{incarnation}"


async def store_outcomes(context):
    """Finish what runs, take nothing new, and store all outcomes.

    If the object store is down, repeats are told that the outcome is unknown.

    :param context: :class:`~cowslipcourse.gateway.tools.GatewayContext`
    """
    context.outcomes.close()
    await context.outcomes.wait_until_finished()
    member = context.agent.member
    name = _name(member.name, member.incarnation)
    for _ in range(TRIES):
        try:
            await context.object_store.put(name, encode_outcomes(context.outcomes))
            return
        except StoreError as error:
            log.warning("not-sealed", code=error.code)
            await asyncio.sleep(PAUSE_S)


async def read_stored_outcomes(context, home):
    """Return what a home that is gone left behind.

    :param context: :class:`~cowslipcourse.gateway.tools.GatewayContext`
    :param home: has ``gateway`` and ``incarnation``.
    :raises OutcomeUnknown: nothing, or it cannot be read now.
    """
    try:
        content = await context.object_store.get(_name(home.gateway, home.incarnation))
    except StoreError as error:
        detail = "the home of the key is gone and the object store is down"
        raise OutcomeUnknown(detail, STORE_RETRY_S) from error
    if content is None:
        raise OutcomeUnknown("the home of the key is gone; not run again")
    return content

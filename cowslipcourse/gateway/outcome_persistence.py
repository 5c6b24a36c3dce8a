"""Storage of the outcomes of keyed requests at a planned stop of their home gateway."""

import asyncio

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.exceptions import OutcomeUnknown, StoreError
from cowslipcourse.requests.outcomes import encode_outcomes

__all__ = ["read_stored_outcomes", "store_outcomes"]

MAX_STORE_ATTEMPTS = 5
STORE_RETRY_INTERVAL_S = 1.0
STORE_RETRY_AFTER_S = 5.0

log = get_logger(__name__)


def _object_name(gateway, incarnation):
    return f"outcomes/{gateway}.{incarnation}"


async def store_outcomes(context):
    """Refuse new requests, wait for running ones, and store all outcomes.

    If they cannot be stored, repeated requests get the error "outcome unknown".

    :param context: :class:`~cowslipcourse.gateway.context.GatewayContext`
    """
    context.outcomes.close()
    await context.outcomes.wait_until_finished()
    member = context.agent.member
    object_name = _object_name(member.name, member.incarnation)
    for _ in range(MAX_STORE_ATTEMPTS):
        try:
            await context.object_store.put(
                object_name, encode_outcomes(context.outcomes)
            )
            return
        except StoreError as error:
            log.warning("not-sealed", code=error.code)
            await asyncio.sleep(STORE_RETRY_INTERVAL_S)


async def read_stored_outcomes(context, home):
    """Return the encoded outcomes that a stopped home gateway stored.

    :param context: :class:`~cowslipcourse.gateway.context.GatewayContext`
    :param home: :class:`~cowslipcourse.requests.MintedKey` or
        :class:`~cowslipcourse.gateway.claims.Claim`
    :raises OutcomeUnknown: there are none, or they cannot be read now.
    """
    try:
        content = await context.object_store.get(
            _object_name(home.gateway, home.incarnation)
        )
    except StoreError as error:
        detail = "the key's home gateway is gone and the object store is unavailable"
        raise OutcomeUnknown(detail, STORE_RETRY_AFTER_S) from error
    if content is None:
        raise OutcomeUnknown(
            "the key's home gateway is gone; the request is not run again"
        )
    return content

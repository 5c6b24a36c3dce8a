"""Requests to targets that stop at a byte of their answer, as callers see them."""

import asyncio
from typing import NamedTuple

import aiohttp

from features.support.cut_targets import KEPT_PATH, ROUTES, Cut, make_answer
from features.support.platform_site import HOST, KEY

__all__ = ["Exchange", "ask", "ask_once", "request"]

BUDGET_S = 5.0
MAX_ATTEMPTS = 10
RETRY_WAIT_S = 0.5
"""Retry-After of a daemon that found no target."""


class Exchange(NamedTuple):
    """A request and what its caller got.

    :param cut: :class:`Cut`
    :param has_arrived: whether the target has read the request.
    :param may_be_whole: whether what was sent is a whole answer by the protocol.
    :param sent_body: the part of the body that was sent, without its framing.
    :param status: status that the caller got, or ``None``.
    :param body: body that the caller got.
    :param is_whole: whether the answer that the caller got was whole.
    """

    cut: Cut
    has_arrived: bool
    may_be_whole: bool
    sent_body: bytes
    status: int | None
    body: bytes
    is_whole: bool

    @property
    def is_success(self):
        """Whether the caller takes what it got for a whole answer."""
        return self.status is not None and self.status < 300 and self.is_whole

    @property
    def is_short(self):
        """Whether the caller took something for a whole answer that was none."""
        return self.is_success and not (self.may_be_whole and self.has_arrived)

    @property
    def is_refused(self):
        """Whether the caller was told that the request has not run."""
        return self.status in (408, 421, 429, 503)

    @property
    def is_false_refusal(self):
        """Whether it was told so although the request may have run."""
        return self.is_refused and self.has_arrived


async def request(session, site, front, kind, segment):
    """Return status, body and whether the answer was whole, as its caller sees it."""
    headers = {
        "Host": HOST,
        "X-Attempt-Id": site.next_attempt_id(),
        "X-Time-Budget-Ms": str(int(BUDGET_S * 1000)),
        "Authorization": f"Bearer {KEY}",
    }
    url = f"http://{front}{ROUTES[kind.route]['prefix']}{segment}"
    status, body = None, bytearray()
    try:
        async with session.request(kind.method, url, headers=headers) as response:
            status = response.status
            async for chunk in response.content.iter_any():
                body += chunk
    except aiohttp.ClientError:
        return status, bytes(body), False
    return status, bytes(body), True


async def ask(session, site, front, kind, cut):
    """Send a request to a target that stops; return the :class:`Exchange`.

    It is sent again while it fails without having reached the target: a daemon may try
    targets that have stopped before, or a connection that is being closed.

    :param cut: :class:`Cut`
    """
    for _ in range(MAX_ATTEMPTS):
        exchange = await ask_once(session, site, front, kind, cut)
        if exchange.has_arrived or exchange.is_success:
            break
        await asyncio.sleep(RETRY_WAIT_S)
    return exchange


async def ask_once(session, site, front, kind, cut):
    """Send a request to a target that stops, once; return the :class:`Exchange`."""
    if kind.is_kept:
        await request(session, site, front, kind, f"{KEPT_PATH}-{cut.to_path()}")
    status, body, is_whole = await request(session, site, front, kind, cut.to_path())
    answer = make_answer(kind, cut.framing, b"a000000")
    sent_body = answer.sent_body(cut.cut_at)
    may_be_whole = cut.cut_at >= len(answer.content)
    if cut.framing == "neither" and answer.pieces:
        has_head = cut.cut_at >= len(answer.head)
        has_end = has_head and not cut.is_reset and not cut.exits
        is_at_event = "stream" not in kind.route or sent_body.endswith(b"\n\n")
        may_be_whole = has_end and is_at_event
    has_arrived = site.has_arrived(cut.to_path())
    return Exchange(cut, has_arrived, may_be_whole, sent_body, status, body, is_whole)

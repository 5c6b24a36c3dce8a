"""Targets that stop at a byte of their answer, and what callers of daemons get."""

import asyncio
import itertools
import socket
from typing import NamedTuple

import aiohttp

from features.support.partitioned_site import Cut as LinkCut
from features.support.partitioned_site import PartitionedSite
from features.support.platform_site import HOST, KEY, PlatformSite, route_entry
from features.support.scripted_target import ZERO_LINGER
from features.support.wire import entry_content

__all__ = [
    "KEPT_PATH",
    "KINDS",
    "Cut",
    "CutSite",
    "Exchange",
    "RelayedCutSite",
    "ask",
    "cuts",
    "exits",
    "request",
]

SERVICE = "cutting"
EVENTS = [b"id: %d\ndata: word\n\n" % number for number in range(1, 4)]
BODY = b"body"
BUDGET_S = 5.0
KEPT_PATH = "kept"
MAX_ATTEMPTS = 10
RETRY_WAIT_S = 0.5
"""Retry-After of a daemon that found no target."""
ROUTES = {
    "streams": route_entry("cs", "/cs/", "streaming", SERVICE, resumable=True),
    "streams that may not be resumed": route_entry("cn", "/cn/", "streaming", SERVICE),
    "idempotent answers": route_entry("ci", "/ci/", "idempotent", SERVICE),
    "other answers": route_entry(
        "co", "/co/", "non_idempotent", SERVICE, maxAttempts=1
    ),
}
FRAMINGS = ("length", "chunks", "neither")


class _Kind(NamedTuple):
    """A kind of exchange.

    :param route: key of :data:`ROUTES`.
    :param method: HTTP method.
    :param status: status of the answer.
    :param interim: bytes before the answer.
    :param is_kept: whether a whole answer precedes it on the connection.
    """

    route: str
    method: str = "POST"
    status: bytes = b"200 OK"
    interim: bytes = b""
    is_kept: bool = False


EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
KINDS = {
    "streams": _Kind("streams"),
    "streams that may not be resumed": _Kind("streams that may not be resumed"),
    "idempotent answers": _Kind("idempotent answers", "GET"),
    "other answers": _Kind("other answers"),
    "answers to HEAD": _Kind("idempotent answers", "HEAD"),
    "answers without content": _Kind("idempotent answers", status=b"204 No Content"),
    "answers after an interim response": _Kind(
        "idempotent answers", "GET", interim=EARLY_HINTS
    ),
    "second answers on a connection": _Kind("idempotent answers", "GET", is_kept=True),
}


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

    cut: "Cut"
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


class _Answer(NamedTuple):
    """An answer and where its body begins.

    :param head: bytes up to the body, with those of an interim response.
    :param pieces: bytes of the body with their framing, and without.
    """

    head: bytes
    pieces: tuple

    @property
    def content(self):
        return self.head + b"".join(framed for framed, _ in self.pieces)

    def sent_body(self, cut_at):
        """Return the body of which the framing lets a reader know after some bytes."""
        position, body = len(self.head), b""
        for framed, plain in self.pieces:
            available = max(0, min(len(framed), cut_at - position))
            if framed == plain:
                body += plain[:available]
            elif available == len(framed):
                body += plain
            position += len(framed)
        return body


def _answer(kind, framing, attempt_id):
    is_stream = "stream" in kind.route
    pieces = EVENTS if is_stream else [BODY]
    lines = [b"HTTP/1.1 " + kind.status, b"x-attempt-id: " + attempt_id]
    lines.append(b"x-response-seal: s")
    if is_stream:
        lines.append(b"content-type: text/event-stream")
    has_body = kind.method != "HEAD" and not kind.status.startswith(b"204")
    if framing == "length" and not kind.status.startswith(b"204"):
        lines.append(b"content-length: %d" % sum(map(len, pieces)))
    framed = [(piece, piece) for piece in pieces]
    if framing == "chunks":
        lines.append(b"transfer-encoding: chunked")
        framed = [(b"%x\r\n%s\r\n" % (len(each), each), each) for each in pieces]
        framed.append((b"0\r\n\r\n", b""))
    head = b"\r\n".join((*lines, b"", b""))
    return _Answer(kind.interim + head, tuple(framed) if has_body else ())


class Cut(NamedTuple):
    """Where and how a target ends its answer.

    :param framing: one of :data:`FRAMINGS`.
    :param cut_at: number of the bytes of the answer that it sends.
    :param is_reset: whether it resets the connection.
    :param exits: whether it stops serving connections before.
    :param keeps_port: whether its port goes on accepting connections then, which are
        closed at once.
    """

    framing: str
    cut_at: int
    is_reset: bool
    exits: bool
    keeps_port: bool = False

    def to_path(self):
        """Return the last segment of a path that asks for it."""
        flags = (self.is_reset, self.exits, self.keeps_port)
        return "-".join((self.framing, str(self.cut_at), *(f"{f:d}" for f in flags)))

    @classmethod
    def from_path(cls, segment):
        """Return what the last segment of a path asks for."""
        framing, cut_at, *flags = segment.split("-")
        return cls(framing, int(cut_at), *(flag == "1" for flag in flags))


class _CutTarget:
    """Answers requests as their paths say.

    :param kind: :class:`_Kind`
    """

    def __init__(self, kind):
        self.read_segments = set()
        """Last segments of the paths of the requests that it has read."""
        self._kind = kind
        self._server = None
        self._has_exited = False
        self._writers = set()

    async def start(self):
        """Listen; return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    def stop(self):
        """Stop listening, and end all connections."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        if self._has_exited:
            writer.close()
            return
        self._writers.add(writer)
        try:
            while await self._respond(await reader.readuntil(b"\r\n\r\n"), writer):
                """The connection is kept."""
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            return
        finally:
            writer.close()

    async def _respond(self, head, writer):
        """Answer a request; return whether the connection goes on."""
        segment = head.split()[1].decode().split("/")[-1]
        self.read_segments.add(segment)
        attempt_id = next(
            line.split(b": ")[1]
            for line in head.split(b"\r\n")
            if line.lower().startswith(b"x-attempt-id")
        )
        if segment.startswith(KEPT_PATH):
            whole = _answer(self._kind._replace(interim=b""), "length", attempt_id)
            writer.write(whole.content)
            await writer.drain()
            return True
        cut = Cut.from_path(segment)
        answer = _answer(self._kind, cut.framing, attempt_id)
        self._has_exited = cut.exits
        if cut.exits and not cut.keeps_port:
            self._server.close()
        writer.write(answer.content[: cut.cut_at])
        await writer.drain()
        if cut.is_reset:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
            writer.transport.abort()
        return False


class _CutTargets:
    """A service with one target, of a platform without groups.

    :param daemon_count: number of daemons.
    """

    def __init__(self, daemon_count):
        super().__init__(daemon_count=daemon_count, domains=("d1",), engines=0)
        self.extra_routes = list(ROUTES.values())
        self.extra_services = [SERVICE]
        self._numbers = itertools.count(1)
        self._target = None
        self._target_name = None

    @property
    def asked_addresses(self):
        """Addresses of the daemons that callers ask."""
        return list(self.front_addresses.values())

    async def start_target(self, kind):
        """Start a target in place of the last one, and wait for the daemons.

        :param kind: :class:`_Kind` of the answers.
        """
        self.stop_target()
        self._target = _CutTarget(kind)
        address = await self.published_address(await self._target.start())
        self._target_name = f"cut{next(self._numbers)}"
        content = entry_content(
            service=SERVICE, address=address, state="ready", slots=6
        )
        self.store.put("servers", self._target_name, content)

    def stop_target(self):
        """Stop the target and remove its entry."""
        if self._target is not None:
            self._target.stop()
            self.store.drop("servers", self._target_name)

    def has_arrived(self, segment):
        """Whether the present target has read a request.

        :param segment: last segment of its path.
        """
        return segment in self._target.read_segments

    def next_attempt_id(self):
        """Return a new attempt id, all of the same length."""
        return f"a{next(self._numbers):06}"


class CutSite(_CutTargets, PlatformSite):
    """Two daemons as processes."""

    def __init__(self):
        super().__init__(daemon_count=2)


class RelayedCutSite(_CutTargets, PartitionedSite):
    """Daemons of which the one that callers ask has lost its links to the target."""

    def __init__(self):
        super().__init__(daemon_count=3)

    @property
    def asked_addresses(self):
        """See :class:`_CutTargets`."""
        return [self.front_addresses["a1"]]

    def cut_links(self):
        """Cut the links of the daemon that callers ask."""
        self.cut(["a1"], LinkCut.REFUSE_NEW)

    async def link_address(self, name, address):
        """Return the address itself, as a proxy would hide resets."""
        return address


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
        exchange = await _ask_once(session, site, front, kind, cut)
        if exchange.has_arrived or exchange.is_success:
            break
        await asyncio.sleep(RETRY_WAIT_S)
    return exchange


async def _ask_once(session, site, front, kind, cut):
    if kind.is_kept:
        await request(session, site, front, kind, f"{KEPT_PATH}-{cut.to_path()}")
    status, body, is_whole = await request(session, site, front, kind, cut.to_path())
    answer = _answer(kind, cut.framing, b"a000000")
    sent_body = answer.sent_body(cut.cut_at)
    may_be_whole = cut.cut_at >= len(answer.content)
    if cut.framing == "neither" and answer.pieces:
        has_head = cut.cut_at >= len(answer.head)
        has_end = has_head and not cut.is_reset and not cut.exits
        is_at_event = "stream" not in kind.route or sent_body.endswith(b"\n\n")
        may_be_whole = has_end and is_at_event
    has_arrived = site.has_arrived(cut.to_path())
    return Exchange(cut, has_arrived, may_be_whole, sent_body, status, body, is_whole)


def cuts(kind):
    """Return a :class:`Cut` at each byte, by each end, of each framing."""
    return [
        Cut(framing, cut_at, is_reset, exits=False)
        for framing in FRAMINGS
        for cut_at in range(len(_answer(kind, framing, b"a000000").content) + 1)
        for is_reset in (False, True)
    ]


def exits(kind):
    """Return a :class:`Cut` at the end of the head and of each part of the body of an
    answer that ends with its connection, of a target that exits.
    """
    answer = _answer(kind, "neither", b"a000000")
    ends = [len(answer.head)]
    for framed, _ in answer.pieces:
        ends += [ends[-1] + len(framed) - 1, ends[-1] + len(framed)]
    return [
        Cut("neither", cut_at, is_reset, exits=True, keeps_port=keeps_port)
        for cut_at in ends
        for is_reset in (False, True)
        for keeps_port in (False, True)
    ]

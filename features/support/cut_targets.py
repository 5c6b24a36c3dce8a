"""Targets that stop at a byte of their answer, and sites with one of them."""

import asyncio
import itertools
import socket
from typing import NamedTuple

from features.support.partitioned_site import Cut as LinkCut
from features.support.partitioned_site import PartitionedSite
from features.support.platform_site import PlatformSite, route_entry
from features.support.scripted_target import ZERO_LINGER
from features.support.wire import entry_content

__all__ = [
    "KEPT_PATH",
    "KINDS",
    "ROUTES",
    "Answer",
    "Cut",
    "CutSite",
    "RelayedCutSite",
    "cuts",
    "exits",
    "make_answer",
]

SERVICE = "cutting"
EVENTS = [b"id: %d\ndata: word\n\n" % number for number in range(1, 4)]
BODY = b"body"
KEPT_PATH = "kept"
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


class Answer(NamedTuple):
    """An answer and where its body begins.

    :param head: bytes up to the body, with those of an interim response.
    :param pieces: bytes of the body with their framing, and without.
    """

    head: bytes
    pieces: tuple

    @property
    def content(self):
        """All bytes of the answer."""
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


def make_answer(kind, framing, attempt_id):
    """Return the :class:`Answer` to an exchange of a kind."""
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
    return Answer(kind.interim + head, tuple(framed) if has_body else ())


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
            whole = make_answer(self._kind._replace(interim=b""), "length", attempt_id)
            writer.write(whole.content)
            await writer.drain()
            return True
        cut = Cut.from_path(segment)
        answer = make_answer(self._kind, cut.framing, attempt_id)
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


def cuts(kind):
    """Return a :class:`Cut` at each byte, by each end, of each framing."""
    return [
        Cut(framing, cut_at, is_reset, exits=False)
        for framing in FRAMINGS
        for cut_at in range(len(make_answer(kind, framing, b"a000000").content) + 1)
        for is_reset in (False, True)
    ]


def exits(kind):
    """Return a :class:`Cut` at the end of the head and of each part of the body of an
    answer that ends with its connection, of a target that exits.
    """
    answer = make_answer(kind, "neither", b"a000000")
    ends = [len(answer.head)]
    for framed, _ in answer.pieces:
        ends += [ends[-1] + len(framed) - 1, ends[-1] + len(framed)]
    return [
        Cut("neither", cut_at, is_reset, exits=True, keeps_port=keeps_port)
        for cut_at in ends
        for is_reset in (False, True)
        for keeps_port in (False, True)
    ]

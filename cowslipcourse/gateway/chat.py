"""OpenAI-style model requests."""

import asyncio
from contextlib import aclosing

import msgspec

from cowslipcourse.adapters.answers import json_response
from cowslipcourse.adapters.log import get_logger
from cowslipcourse.adapters.web import StreamedResponse
from cowslipcourse.daemon import now
from cowslipcourse.exceptions import (
    DeadlinePassed,
    DeadlineWhileRunning,
    MalformedBody,
    RequestError,
    RequestFailed,
)
from cowslipcourse.gateway.callers import read_body
from cowslipcourse.gateway.generation import Generation
from cowslipcourse.gateway.problems import problem_event

__all__ = ["ChatHandler"]

DONE_EVENT = b"data: [DONE]\n\n"
MAX_TOKENS = 1_000_000

log = get_logger(__name__)


class Message(msgspec.Struct):
    """One message of a conversation."""

    role: str
    content: str


class ChatBody(msgspec.Struct):
    """The fields of a chat request that the gateway reads; others are passed on."""

    model: str
    messages: list[Message]
    stream: bool = False
    max_tokens: int | None = None


class _Delta(msgspec.Struct):
    content: str = ""


class _Choice(msgspec.Struct):
    delta: _Delta


class _Chunk(msgspec.Struct):
    choices: list[_Choice]


_BODY = msgspec.json.Decoder(ChatBody)
_CHUNK = msgspec.json.Decoder(_Chunk)


def parse_chat_body(body):
    """Return the :class:`ChatBody`.

    :raises MalformedBody: it is not a chat request.
    """
    try:
        parsed = _BODY.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedBody(str(error)) from error
    if not parsed.messages:
        raise MalformedBody("messages is empty")
    if parsed.max_tokens is not None and not 1 <= parsed.max_tokens <= MAX_TOKENS:
        raise MalformedBody(f"max_tokens must be 1 to {MAX_TOKENS}")
    return parsed


class ChatHandler:
    """Answers model requests, streamed or whole.

    :param context: :class:`~cowslipcourse.gateway.tools.GatewayContext`
    """

    def __init__(self, context):
        self._context = context

    async def respond(self, request, call):
        """Return the response to a model request.

        :param request: starlette request.
        :param call: :class:`~cowslipcourse.gateway.callers.Call`
        :raises RequestError: it ends without its answer.
        """
        body = await read_body(request, self._context.settings.limits.body_bytes)
        parsed = parse_chat_body(body)
        chooser = self._context.chooser
        declarations = chooser.admit(call, parsed.model)
        running = _Running(call, body, declarations, self._context)
        try:
            await running.first_piece()
            if parsed.stream:
                headers = {"x-request-id": call.request_id, "cache-control": "no-store"}
                return StreamedResponse(running.stream(), headers, "text/event-stream")
        except BaseException:
            await running.close()
            raise
        try:
            text = await running.whole_text()
        finally:
            await running.close()
        return json_response(
            _completion(call.request_id, parsed.model, text, running.tokens),
            headers={"x-request-id": call.request_id},
        )


class _Running:
    """One admitted model request."""

    def __init__(self, call, body, declarations, context):
        self._call = call
        self._context = context
        self._generation = Generation(call, body, declarations, context)
        self._pieces = self._generation.chunks()
        self._first = None
        self._entered_at = context.chooser.record_admitted(call.workspace)
        self._closed = False
        self.tokens = 0

    async def first_piece(self):
        """Wait for the first token, but not beyond the deadline."""
        try:
            async with asyncio.timeout_at(self._call.deadline):
                self._first = await anext(self._pieces, None)
        except TimeoutError:
            raise self._late() from None
        took_s = now() - self._entered_at
        self._context.metrics.timing("first_token", took_s)

    async def stream(self):
        """Yield the answer for a streaming response."""
        async with aclosing(self):
            try:
                if self._first is not None:
                    yield self._first
                async for piece in self._pieces:
                    yield piece
                yield DONE_EVENT
            except RequestError as error:
                log.info(
                    "stream-failed", request=self._call.request_id, code=error.code
                )
                yield problem_event(error)

    async def whole_text(self):
        """Return the whole answer's text."""
        texts = []
        try:
            async with asyncio.timeout_at(self._call.deadline):
                self._add_texts(texts, self._first)
                async for piece in self._pieces:
                    self._add_texts(texts, piece)
        except TimeoutError:
            raise self._late() from None
        return "".join(texts)

    async def aclose(self):
        """Close; for :func:`contextlib.aclosing`."""
        await self.close()

    async def close(self):
        """End the request; an answer that is not complete is cancelled."""
        if self._closed:
            return
        self._closed = True
        await self._pieces.aclose()
        completed = self._generation.complete
        self._context.chooser.record_finished(
            self._call.workspace, self._entered_at, completed
        )
        self._context.metrics.count(
            "requests.completed" if completed else "requests.cut"
        )

    def _late(self):
        if self._generation.attempted_groups:
            return DeadlineWhileRunning("the deadline passed", 1.0)
        return DeadlinePassed("the deadline passed", 1.0)

    def _add_texts(self, texts, piece):
        for event in (piece or b"").split(b"\n\n")[:-1]:
            try:
                chunk = _CHUNK.decode(event.removeprefix(b"data: "))
                texts.append(chunk.choices[0].delta.content)
            except (msgspec.DecodeError, IndexError) as error:
                raise RequestFailed("the engine's answer cannot be read") from error
            self.tokens += 1


def _completion(request_id, model, text, tokens):
    message = {"role": "assistant", "content": text}
    choice = {"index": 0, "message": message, "finish_reason": "stop"}
    return {
        "id": request_id,
        "object": "chat.completion",
        "model": model,
        "choices": [choice],
        "usage": {"completion_tokens": tokens},
    }

"""Model requests with the OpenAI chat completions API."""

import asyncio
from contextlib import aclosing

import msgspec

from cowslipcourse.adapters.http_server import StreamedResponse
from cowslipcourse.adapters.log import get_logger
from cowslipcourse.adapters.responses import json_response
from cowslipcourse.daemon import now
from cowslipcourse.exceptions import (
    DeadlinePassed,
    DeadlineWhileRunning,
    RequestError,
    RequestFailed,
)
from cowslipcourse.gateway.callers import read_body
from cowslipcourse.gateway.chat_body import parse_chat_body
from cowslipcourse.gateway.generation import Generation
from cowslipcourse.gateway.stream_errors import problem_event

__all__ = ["ChatHandler"]

DONE_EVENT = b"data: [DONE]\n\n"

log = get_logger(__name__)


class _Delta(msgspec.Struct):
    content: str = ""


class _Choice(msgspec.Struct):
    delta: _Delta


class _Chunk(msgspec.Struct):
    choices: list[_Choice]


_CHUNK_DECODER = msgspec.json.Decoder(_Chunk)


class ChatHandler:
    """Handles model requests, with streamed or complete responses.

    :param context: :class:`~cowslipcourse.gateway.context.GatewayContext`
    """

    def __init__(self, context):
        self._context = context

    async def respond(self, request, call):
        """Return the response to a model request.

        :param request: starlette request.
        :param call: :class:`~cowslipcourse.gateway.callers.Call`
        :raises RequestError: the request fails before its response starts.
        """
        body = await read_body(request, self._context.settings.limits.body_bytes)
        parsed = parse_chat_body(body)
        chooser = self._context.chooser
        declarations = chooser.admit(call, parsed.model)
        model_request = _ModelRequest(call, body, declarations, self._context)
        try:
            await model_request.wait_for_first_chunk()
            if parsed.stream:
                headers = {"x-request-id": call.request_id, "cache-control": "no-store"}
                return StreamedResponse(
                    model_request.stream(), headers, "text/event-stream"
                )
        except BaseException:
            await model_request.close()
            raise
        try:
            text = await model_request.collect_text()
        finally:
            await model_request.close()
        return json_response(
            _completion(call.request_id, parsed.model, text, model_request.token_count),
            headers={"x-request-id": call.request_id},
        )


class _ModelRequest:
    """One admitted model request.

    :ivar token_count: number of tokens in the collected text.
    """

    def __init__(self, call, body, declarations, context):
        self._call = call
        self._context = context
        self._generation = Generation(call, body, declarations, context)
        self._chunks = self._generation.chunks()
        self._first_chunk = None
        self._admitted_at = context.chooser.record_admitted(call.workspace)
        self._closed = False
        self.token_count = 0

    async def wait_for_first_chunk(self):
        """Wait for the first token.

        :raises RequestError: the deadline passes, or the request fails.
        """
        try:
            async with asyncio.timeout_at(self._call.deadline):
                self._first_chunk = await anext(self._chunks, None)
        except TimeoutError:
            raise self._deadline_error() from None
        elapsed_s = now() - self._admitted_at
        self._context.metrics.timing("first_token", elapsed_s)

    async def stream(self):
        """Yield the body of a streamed response; an error becomes its last event."""
        async with aclosing(self):
            try:
                if self._first_chunk is not None:
                    yield self._first_chunk
                async for chunk in self._chunks:
                    yield chunk
                yield DONE_EVENT
            except RequestError as error:
                log.info(
                    "stream-failed", request=self._call.request_id, code=error.code
                )
                yield problem_event(error)

    async def collect_text(self):
        """Return the complete text of the response.

        :raises RequestError: the deadline passes, or the request fails.
        """
        texts = []
        try:
            async with asyncio.timeout_at(self._call.deadline):
                self._append_texts(texts, self._first_chunk)
                async for chunk in self._chunks:
                    self._append_texts(texts, chunk)
        except TimeoutError:
            raise self._deadline_error() from None
        return "".join(texts)

    async def aclose(self):
        """Call :meth:`close`; for :func:`contextlib.aclosing`."""
        await self.close()

    async def close(self):
        """End the request; cancel it if the response is not complete."""
        if self._closed:
            return
        self._closed = True
        await self._chunks.aclose()
        completed = self._generation.complete
        self._context.chooser.record_finished(
            self._call.workspace, self._admitted_at, completed
        )
        self._context.metrics.count(
            "requests.completed" if completed else "requests.cut"
        )

    def _deadline_error(self):
        if self._generation.attempted_groups:
            return DeadlineWhileRunning("the deadline has passed", 1.0)
        return DeadlinePassed("the deadline has passed", 1.0)

    def _append_texts(self, texts, chunk):
        for event in (chunk or b"").split(b"\n\n")[:-1]:
            try:
                completion_chunk = _CHUNK_DECODER.decode(event.removeprefix(b"data: "))
                texts.append(completion_chunk.choices[0].delta.content)
            except (msgspec.DecodeError, IndexError) as error:
                raise RequestFailed(
                    "the engine's response cannot be decoded"
                ) from error
            self.token_count += 1


def _completion(request_id, model, text, token_count):
    message = {"role": "assistant", "content": text}
    choice = {"index": 0, "message": message, "finish_reason": "stop"}
    return {
        "id": request_id,
        "object": "chat.completion",
        "model": model,
        "choices": [choice],
        "usage": {"completion_tokens": token_count},
    }

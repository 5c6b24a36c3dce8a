"""HTTP callers for the demo, the tests and the measurements."""

import json
import time
from itertools import pairwise
from typing import NamedTuple

import aiohttp

__all__ = ["Answer", "Caller", "chat_body"]


class Answer(NamedTuple):
    """The response that a caller received.

    :param status: HTTP status; 0 if the connection broke before it arrived.
    :param text: text that was received, possibly incomplete.
    :param complete: whether the end marker was received.
    :param problem: decoded problem or error event, or ``None``.
    :param first_token_s: seconds until the first token.
    :param gaps_s: seconds between tokens.
    :param duration_s: total seconds.
    :param headers: response headers.
    """

    status: int
    text: str
    complete: bool
    problem: dict | None
    first_token_s: float
    gaps_s: list
    duration_s: float
    headers: dict

    @property
    def outcome(self):
        """``completed``, or the outcome that the response reported."""
        if self.complete:
            return "completed"
        return (self.problem or {}).get("outcome", "broken")


def chat_body(text, model="draft-large", max_tokens=24, stream=True):
    """Return the body of a model request."""
    messages = [{"role": "user", "content": text}]
    body = {"model": model, "messages": messages, "stream": stream}
    return json.dumps({**body, "max_tokens": max_tokens}).encode()


class Caller:
    """A caller with the API key of one workspace.

    :param key: API key.
    """

    def __init__(self, key):
        self._key = key
        self._session = None

    async def __aenter__(self):
        connector = aiohttp.TCPConnector(limit=0)
        timeout = aiohttp.ClientTimeout(total=120)
        self._session = aiohttp.ClientSession(connector=connector, timeout=timeout)
        return self

    async def __aexit__(self, *failure):
        await self._session.close()

    async def addresses(self, url):
        """Return the addresses that a gateway recommends."""
        async with self._session.get(f"{url}/v1/addresses") as response:
            return await response.json()

    async def chat(self, url, body, headers=None):
        """Send a model request and return its :class:`Answer`."""
        headers = {"authorization": f"Bearer {self._key}", **(headers or {})}
        started_at = time.perf_counter()
        texts, token_times, complete, problem = [], [], False, None
        status, response_headers = 0, {}
        try:
            async with self._session.post(
                f"{url}/v1/chat/completions", data=body, headers=headers
            ) as response:
                status, response_headers = response.status, dict(response.headers)
                if "event-stream" not in response.headers.get("content-type", ""):
                    content = json.loads(await response.read())
                    return _parse_answer(status, content, response_headers, started_at)
                remainder, failed = b"", False
                async for chunk in response.content.iter_any():
                    received_at = time.perf_counter()
                    *events, remainder = (remainder + chunk).split(b"\n\n")
                    for event in events:
                        if event.startswith(b"event: error"):
                            failed = True
                            data = event.partition(b"data: ")[2]
                            problem = json.loads(data)["error"]
                        elif event == b"data: [DONE]":
                            complete = not failed
                        else:
                            token = json.loads(event.removeprefix(b"data: "))
                            texts.append(token["choices"][0]["delta"]["content"])
                            token_times.append(received_at)
        except (TimeoutError, aiohttp.ClientError, OSError):
            complete = False
        gaps = [later - earlier for earlier, later in pairwise(token_times)]
        return Answer(
            status,
            "".join(texts),
            complete,
            problem,
            token_times[0] - started_at if token_times else 0.0,
            gaps,
            time.perf_counter() - started_at,
            response_headers,
        )

    async def call(self, url, service, operation, arguments, headers=None):
        """Call a plain service and return its :class:`Answer`."""
        headers = {"authorization": f"Bearer {self._key}", **(headers or {})}
        started_at = time.perf_counter()
        try:
            async with self._session.post(
                f"{url}/v1/services/{service}/{operation}",
                data=json.dumps(arguments).encode(),
                headers=headers,
            ) as response:
                answer = json.loads(await response.read() or b"{}")
                return _parse_answer(
                    response.status, answer, dict(response.headers), started_at
                )
        except (TimeoutError, aiohttp.ClientError, OSError):
            duration_s = time.perf_counter() - started_at
            return Answer(0, "", False, None, 0.0, [], duration_s, {})


def _parse_answer(status, content, headers, started_at):
    duration_s = time.perf_counter() - started_at
    complete = status == 200
    if complete and "choices" in content:
        text = content["choices"][0]["message"]["content"]
    else:
        text = json.dumps(content) if complete else ""
    problem = None if complete else content
    return Answer(status, text, complete, problem, duration_s, [], duration_s, headers)

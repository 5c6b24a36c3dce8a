"""Bodies of model requests, as far as the gateway reads them."""

import hashlib

import msgspec

from cowslipcourse.exceptions import MalformedBody

__all__ = ["ChatBody", "Message", "message_ids", "parse_chat_body"]

MAX_TOKENS = 1_000_000
MESSAGE_ID_BYTES = 16


class Message(msgspec.Struct):
    """One message of a conversation."""

    role: str
    content: str


class ChatBody(msgspec.Struct):
    """The fields of a chat request that the gateway reads.

    The body is forwarded unchanged, with all its fields.
    """

    model: str
    messages: list[Message]
    stream: bool = False
    max_tokens: int | None = None


_BODY_DECODER = msgspec.json.Decoder(ChatBody)


def parse_chat_body(body):
    """Return the :class:`ChatBody`.

    :raises MalformedBody: the body is not a valid chat request.
    """
    try:
        parsed = _BODY_DECODER.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedBody(str(error)) from error
    if not parsed.messages:
        raise MalformedBody("messages is empty")
    if parsed.max_tokens is not None and not 1 <= parsed.max_tokens <= MAX_TOKENS:
        raise MalformedBody(f"max_tokens must be 1 to {MAX_TOKENS}")
    return parsed


def message_ids(messages):
    """Return ids of the messages that other requests may share: all but the last.

    :param messages: list of :class:`Message`
    """
    return tuple(dict.fromkeys(_message_id(message) for message in messages[:-1]))


def _message_id(message):
    digest = hashlib.blake2b(digest_size=MESSAGE_ID_BYTES)
    digest.update(message.role.encode() + b"\0" + message.content.encode())
    return digest.hexdigest()

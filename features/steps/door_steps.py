"""Steps over closed doors and bad input."""

import asyncio
import datetime
import ipaddress
import json
import tempfile
import urllib.error
import urllib.request
from pathlib import Path

from behave import given, then, when
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from hypothesis import given as given_values
from hypothesis import settings
from hypothesis import strategies as st

from cowslipcourse.adapters.peer import GrpcPeerNetwork, TlsFiles
from cowslipcourse.adapters.targets import _decode_status
from cowslipcourse.config import parse_documents
from cowslipcourse.exceptions import CowslipError, PeerUnreachable
from cowslipcourse.fleet import parse_selector
from cowslipcourse.gateway.chat import parse_chat_body
from cowslipcourse.membership import Heartbeat, HeartbeatAnswer
from cowslipcourse.requests import StreamRelay, parse_minted_key
from cowslipcourse.settings import GatewaySettings
from cowslipcourse.settings_file import load_settings
from features.steps.site_steps import CREW_KEY
from harness.ports import free_ports
from harness.site import OPERATOR_TOKEN

EXAMPLES = 300
CALL_LIMIT_S = 5.0
LOOPBACK = "127.0.0.1"


def _certificate(subject, key, issuer, issuer_key, is_authority):
    now = datetime.datetime.now(datetime.UTC)
    address = x509.IPAddress(ipaddress.ip_address(LOOPBACK))
    builder = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .add_extension(x509.BasicConstraints(is_authority, None), critical=True)
        .add_extension(x509.SubjectAlternativeName([address]), critical=False)
    )
    return builder.sign(issuer_key, hashes.SHA256())


def _name(text):
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


class Authority:
    """A certificate authority of the test's own."""

    def __init__(self, text):
        self._name = _name(text)
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._own = _certificate(self._name, self._key, self._name, self._key, True)

    def issue(self, folder):
        """Write a certificate, its key and the authority into a folder."""
        key = ec.generate_private_key(ec.SECP256R1())
        made = _certificate(_name("daemon"), key, self._name, self._key, False)
        pem = serialization.Encoding.PEM
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "certificate").write_bytes(made.public_bytes(pem))
        (folder / "authority").write_bytes(self._own.public_bytes(pem))
        (folder / "key").write_bytes(
            key.private_bytes(
                pem,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        names = ("certificate", "key", "authority")
        return TlsFiles(*(folder / name for name in names))


class Answering:
    """A handler that answers every heartbeat."""

    async def heartbeat(self, heartbeat):
        """Answer."""
        return HeartbeatAnswer("i", 1, False, 0, frozenset(), None, ())


@given("a daemon that listens with mutual TLS")
def step_listening(context):
    folder = tempfile.TemporaryDirectory()
    context.folder = Path(context.resources.enter_context(folder))
    context.authority = Authority("ours")
    context.served = context.authority.issue(context.folder / "server")
    context.address = f"{LOOPBACK}:{free_ports(1)[0]}"


@when("a peer calls {how}")
def step_call(context, how):
    async def call():
        server = GrpcPeerNetwork(context.address, context.served)
        await server.listen(Answering())
        client = GrpcPeerNetwork(context.address, _files(context, how))
        try:
            if "anew" in how:
                await _heartbeat(client, context.address)
                context.authority = Authority("new")
                context.authority.issue(context.folder / "server")
                context.authority.issue(context.folder / "client")
            return await _heartbeat(client, context.address)
        finally:
            await client.close()
            await server.close()

    context.answered = asyncio.run(call())


def _files(context, how):
    if "without" in how:
        return None
    issuer = Authority("other") if "another" in how else context.authority
    return issuer.issue(context.folder / "client")


async def _heartbeat(client, address):
    heartbeat = Heartbeat("n", "i", 0, 0, "", 0, frozenset())
    try:
        answer = await client.heartbeat(address, heartbeat, CALL_LIMIT_S)
    except PeerUnreachable:
        return False
    return answer.incarnation == "i"


@then("the call is answered")
def step_answered(context):
    assert context.answered


@then("the call is refused")
def step_refused(context):
    assert not context.answered


def _status(url, key, body=b"{}"):
    """Return ``(status, decoded answer)`` of a request with a key."""
    request = urllib.request.Request(url, data=body)
    if key is not None:
        request.add_header("authorization", f"Bearer {key}")
    try:
        with urllib.request.urlopen(request, timeout=10) as response:
            return response.status, response.read()
    except urllib.error.HTTPError as error:
        return error.code, json.loads(error.read())


@then("a wrong, missing or operator's key is refused to a caller with {status:d}")
def step_caller_keys(context, status):
    url = context.site.urls["g1"] + "/v1/chat/completions"
    for key in ("wrong", None, OPERATOR_TOKEN):
        found, problem = _status(url, key)
        assert found == status, (key, found)
        assert problem["outcome"] == "not_run", problem


@then("a wrong, missing or caller's key is refused to an operator with {status:d}")
def step_operator_keys(context, status):
    for path in ("/v1/status", "/v1/edits", "/v1/audit", "/v1/configuration"):
        body = b"{}" if path == "/v1/edits" else None
        for key in ("wrong", None, CREW_KEY):
            found, _ = _status(context.site.urls["c1"] + path, key, body)
            assert found == status, (path, key, found)


@then("each kind of bad request gets its own error and the gateway goes on")
def step_bad_requests(context):
    url = context.site.urls["g1"]
    chat = url + "/v1/chat/completions"
    good = {"model": "draft-large", "messages": [{"role": "user", "content": "x"}]}
    cases = (
        (chat, b"not json", "malformed-body"),
        (chat, b'{"model": 3}', "malformed-body"),
        (chat, json.dumps({**good, "messages": []}).encode(), "malformed-body"),
        (chat, json.dumps({**good, "max_tokens": 0}).encode(), "malformed-body"),
        (chat, json.dumps({**good, "model": "none"}).encode(), "unknown-model"),
        (chat, b"x" * 2_000_000, "body-too-large"),
        (url + "/v1/services/none/book", b"{}", "unknown-service"),
        (url + "/v1/services/apron/assign", b"{}", "unknown-service"),
    )
    for target, body, code in cases:
        _, problem = _status(target, CREW_KEY, body)
        assert problem["type"].endswith(code), (code, problem)
        assert problem["outcome"] == "not_run", problem
    status, _ = _status(chat, CREW_KEY, json.dumps(good).encode())
    assert status == 200, status


def _load_text(text):
    with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
        file.write(text)
        file.flush()
        load_settings(file.name, GatewaySettings)


def _relay(content):
    relay = StreamRelay()
    relay.filter_events("a", content.split(b"\n\n"))
    relay.raise_for_malformed()


TOML_WORDS = st.sampled_from(
    ["[[group]]", "[daemon]", "name", "=", '"x"', "3", "\n", "vms", "{", "}", "[", "]"]
)
TEXTS = st.one_of(st.text(max_size=60), st.lists(TOML_WORDS, max_size=12).map(" ".join))
JSON_WORDS = st.sampled_from(
    [
        '"model"',
        '"messages"',
        '"load"',
        '"vm"',
        ":",
        ",",
        "{",
        "}",
        "[",
        "]",
        "1",
        '"a"',
    ]
)
BYTES = st.one_of(
    st.binary(max_size=60),
    st.lists(JSON_WORDS, max_size=14).map("".join).map(str.encode),
)
EVENT_WORDS = st.sampled_from(
    [b"id: a:", b"id: b:", b"0", b"1", b"\n", b"data: ", b"data: [DONE]", b"\n\n", b"x"]
)
PARSERS = {
    "operators' files": (TEXTS, lambda text: parse_documents({"f": text})),
    "selectors": (TEXTS, parse_selector),
    "idempotency keys": (
        st.one_of(TEXTS, TEXTS.map(lambda text: "cw1." + text)),
        parse_minted_key,
    ),
    "chat bodies": (BYTES, parse_chat_body),
    "engines' status": (BYTES, _decode_status),
    "engines' events": (st.lists(EVENT_WORDS, max_size=14).map(b"".join), _relay),
    "settings files": (
        TEXTS.filter(lambda text: "\r" not in text and text.isprintable()),
        _load_text,
    ),
}


@then("{parser} answers anything with a value or its own error")
def step_parser(context, parser):
    values, parse = PARSERS[parser]

    @settings(max_examples=EXAMPLES, derandomize=True, deadline=None, database=None)
    @given_values(values)
    def holds(value):
        try:
            parse(value)
        except CowslipError:
            return

    holds()

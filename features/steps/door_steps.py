"""Steps for authentication and malformed input."""

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
from cowslipcourse.gateway.chat_body import parse_chat_body
from cowslipcourse.membership import Heartbeat, HeartbeatAnswer
from cowslipcourse.requests import StreamRelay, parse_minted_key
from cowslipcourse.settings import GatewaySettings
from cowslipcourse.settings_file import load_settings
from features.steps.site_steps import CREW_KEY
from harness.ports import free_ports
from harness.site import OPERATOR_TOKEN

PARSER_EXAMPLES = 300
CALL_TIMEOUT_S = 5.0
LOOPBACK = "127.0.0.1"


def _sign_certificate(subject, key, issuer, issuer_key, is_authority):
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


def _subject_name(common_name):
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, common_name)])


class Authority:
    """A certificate authority for tests."""

    def __init__(self, common_name):
        self._name = _subject_name(common_name)
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._certificate = _sign_certificate(
            self._name, self._key, self._name, self._key, True
        )

    def issue(self, folder):
        """Write a certificate, its key and the authority's certificate to a folder."""
        key = ec.generate_private_key(ec.SECP256R1())
        certificate = _sign_certificate(
            _subject_name("daemon"), key, self._name, self._key, False
        )
        pem = serialization.Encoding.PEM
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "certificate").write_bytes(certificate.public_bytes(pem))
        (folder / "authority").write_bytes(self._certificate.public_bytes(pem))
        (folder / "key").write_bytes(
            key.private_bytes(
                pem,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        names = ("certificate", "key", "authority")
        return TlsFiles(*(folder / name for name in names))


class HeartbeatHandler:
    """A handler that answers all heartbeats."""

    async def heartbeat(self, heartbeat):
        """Return a fixed answer."""
        return HeartbeatAnswer("i", 1, False, 0, frozenset(), None, ())


@given("a daemon that listens with mutual TLS")
def step_tls_daemon(context):
    folder = tempfile.TemporaryDirectory()
    context.folder = Path(context.resources.enter_context(folder))
    context.authority = Authority("ours")
    context.server_files = context.authority.issue(context.folder / "server")
    context.address = f"{LOOPBACK}:{free_ports(1)[0]}"


@when("a peer calls {credentials}")
def step_peer_calls(context, credentials):
    async def call():
        server = GrpcPeerNetwork(context.address, context.server_files)
        await server.listen(HeartbeatHandler())
        client = GrpcPeerNetwork(context.address, _client_files(context, credentials))
        try:
            if "renewed" in credentials:
                await _heartbeat(client, context.address)
                context.authority = Authority("new")
                context.authority.issue(context.folder / "server")
                context.authority.issue(context.folder / "client")
            return await _heartbeat(client, context.address)
        finally:
            await client.close()
            await server.close()

    context.is_answered = asyncio.run(call())


def _client_files(context, credentials):
    if "without" in credentials:
        return None
    issuer = Authority("other") if "another" in credentials else context.authority
    return issuer.issue(context.folder / "client")


async def _heartbeat(client, address):
    heartbeat = Heartbeat("n", "i", 0, 0, "", 0, frozenset())
    try:
        answer = await client.heartbeat(address, heartbeat, CALL_TIMEOUT_S)
    except PeerUnreachable:
        return False
    return answer.incarnation == "i"


@then("the call is answered")
def step_answered(context):
    assert context.is_answered


@then("the call is refused")
def step_refused(context):
    assert not context.is_answered


def _request(url, key, body=b"{}"):
    """Return the status and the body of the response to a request with a key.

    The body of an error is decoded from JSON.
    """
    request = urllib.request.Request(url, data=body)
    if key is not None:
        request.add_header("authorization", f"Bearer {key}")
    try:
        with urllib.request.urlopen(request, timeout=10) as response:
            return response.status, response.read()
    except urllib.error.HTTPError as error:
        return error.code, json.loads(error.read())


@then("callers with a wrong key, none or an operator's key are refused with {status:d}")
def step_caller_keys(context, status):
    url = context.site.urls["g1"] + "/v1/chat/completions"
    for key in ("wrong", None, OPERATOR_TOKEN):
        status_code, problem = _request(url, key)
        assert status_code == status, (key, status_code)
        assert problem["outcome"] == "not_run", problem


@then("operators with a wrong key, none or a caller's key are refused with {status:d}")
def step_operator_keys(context, status):
    for path in ("/v1/status", "/v1/edits", "/v1/audit", "/v1/configuration"):
        body = b"{}" if path == "/v1/edits" else None
        for key in ("wrong", None, CREW_KEY):
            status_code, _ = _request(context.site.urls["c1"] + path, key, body)
            assert status_code == status, (path, key, status_code)


@then("each kind of bad request gets its own error, and the gateway keeps serving")
def step_bad_requests(context):
    url = context.site.urls["g1"]
    chat = url + "/v1/chat/completions"
    valid_body = {
        "model": "draft-large",
        "messages": [{"role": "user", "content": "x"}],
    }
    cases = (
        (chat, b"not json", "malformed-body"),
        (chat, b'{"model": 3}', "malformed-body"),
        (chat, json.dumps({**valid_body, "messages": []}).encode(), "malformed-body"),
        (chat, json.dumps({**valid_body, "max_tokens": 0}).encode(), "malformed-body"),
        (chat, json.dumps({**valid_body, "model": "none"}).encode(), "unknown-model"),
        (chat, b"x" * 2_000_000, "body-too-large"),
        (url + "/v1/services/none/book", b"{}", "unknown-service"),
        (url + "/v1/services/apron/assign", b"{}", "unknown-service"),
    )
    for request_url, body, error_code in cases:
        _, problem = _request(request_url, CREW_KEY, body)
        assert problem["type"].endswith(error_code), (error_code, problem)
        assert problem["outcome"] == "not_run", problem
    status, _ = _request(chat, CREW_KEY, json.dumps(valid_body).encode())
    assert status == 200, status


def _parse_settings(text):
    with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
        file.write(text)
        file.flush()
        load_settings(file.name, GatewaySettings)


def _relay_events(stream_bytes):
    relay = StreamRelay()
    relay.filter_events("a", stream_bytes.split(b"\n\n"))
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
    "engines' events": (
        st.lists(EVENT_WORDS, max_size=14).map(b"".join),
        _relay_events,
    ),
    "settings files": (
        TEXTS.filter(lambda text: "\r" not in text and text.isprintable()),
        _parse_settings,
    ),
}


@then("the parser of {parser} returns a value or raises its own error for any input")
def step_parser(context, parser):
    strategy, parse = PARSERS[parser]

    @settings(
        max_examples=PARSER_EXAMPLES, derandomize=True, deadline=None, database=None
    )
    @given_values(strategy)
    def check_value(value):
        try:
            parse(value)
        except CowslipError:
            return

    check_value()

"""Schemas of the settings files: one TOML file for each process."""

from pathlib import Path
from typing import Literal

from pydantic import Field

from cowslipcourse.settings_file import Address, LogSettings, Seconds, Section, Url

__all__ = [
    "ControllerSettings",
    "DaemonSettings",
    "GatewaySettings",
    "LimitSettings",
    "PlatformSettings",
    "StandinSettings",
    "StatsdSettings",
    "TargetSettings",
    "TimeSettings",
    "TlsSettings",
]


class TlsSettings(Section):
    """PEM files for mutual TLS between daemons.

    :param certificate: certificate of this daemon.
    :param key: private key of this daemon.
    :param authority: certificate of the authority that signs all daemons.
    """

    certificate: Path
    key: Path
    authority: Path


class DaemonSettings(Section):
    """Identity and addresses of a daemon.

    :param name: unique name, stable across restarts.
    :param data_centre: data centre in which it runs.
    :param peer_address: ``ip:port`` to listen on for other daemons.
    :param public_address: ``ip:port`` to listen on for callers or operators.
    """

    name: str = Field(pattern=r"^[a-z0-9][a-z0-9\-]{0,62}$")
    data_centre: str
    peer_address: Address
    public_address: Address


class PlatformSettings(Section):
    """Access to the platform's services.

    :param url: base URL.
    :param timeout_s: timeout of each request, in seconds.
    """

    url: Url
    timeout_s: Seconds = 2.0


class StatsdSettings(Section):
    """Statsd server to which metrics are sent; an empty host disables them."""

    host: str = ""
    port: int = Field(default=8125, gt=0, lt=65536)
    prefix: str = "cowslipcourse"


class TimeSettings(Section):
    """Intervals and timeouts between daemons; equal at all daemons of a site."""

    heartbeat_s: Seconds = 0.5
    isolation_s: Seconds = 4.0
    eviction_s: Seconds = 6.0
    table_poll_s: Seconds = 1.0
    grant_s: Seconds = 3.0
    lease_term_s: Seconds = 5.0
    lease_margin_s: Seconds = 0.5
    address_ttl_s: Seconds = 10.0
    record_keep_s: Seconds = 30.0
    drain_limit_s: Seconds = 300.0

    def problems(self):
        """See :class:`~cowslipcourse.settings_file.Section`."""
        problems_found = []
        if self.eviction_s <= self.isolation_s + 2 * self.heartbeat_s:
            message = "must exceed isolation_s by more than two heartbeats"
            problems_found.append(("time.eviction_s", message))
        if self.lease_term_s <= 2 * self.lease_margin_s:
            message = "must exceed twice lease_margin_s"
            problems_found.append(("time.lease_term_s", message))
        if self.heartbeat_s * 2 > self.grant_s:
            message = "must be at least two heartbeats"
            problems_found.append(("time.grant_s", message))
        return problems_found


class TargetSettings(Section):
    """Timeouts of requests to targets."""

    probe_timeout_s: Seconds = 0.8
    order_timeout_s: Seconds = 2.0
    connect_timeout_s: Seconds = 1.0
    token_timeout_s: Seconds = 5.0
    call_timeout_s: Seconds = 10.0


class LimitSettings(Section):
    """Resource limits of one gateway."""

    body_bytes: int = Field(default=1_048_576, ge=1024)
    connections: int = Field(default=4096, ge=8)
    keyed_outcomes: int = Field(default=100_000, ge=100)
    keyed_body_bytes: int = Field(default=65_536, ge=1024)
    key_window_s: Seconds = 120.0
    key_windows: int = Field(default=3, ge=2, le=100)
    attempts: int = Field(default=4, ge=1, le=10)
    retry_ratio: float = Field(default=0.1, ge=0, le=1)
    resume_ratio: float = Field(default=0.5, ge=0, le=1)


class OperatorSettings(Section):
    """Authentication of operators.

    :param tokens_file: file with one ``name token-sha256`` pair per line.
    """

    tokens_file: Path


class RepairSettings(Section):
    """Formation and repair of groups.

    :param probe_s: seconds between probes of a target.
    :param suspect_s: seconds without a response after which a member counts as absent.
    :param loads_at_once: maximum number of concurrent loads from the weight store.
    :param weights_bytes_per_s: throughput of the weight store.
    :param order_in_flight_s: maximum seconds that an order may be in flight to a target
        that does not check fencing tokens.
    """

    probe_s: Seconds = 1.0
    suspect_s: Seconds = 1.0
    loads_at_once: int = Field(default=16, ge=1)
    weights_bytes_per_s: float = Field(default=1e9, gt=0)
    order_in_flight_s: Seconds = 3.0


class BaseDaemonSettings(Section):
    """Sections that the settings files of gateways and controllers share."""

    daemon: DaemonSettings
    platform: PlatformSettings
    time: TimeSettings = TimeSettings()
    target: TargetSettings = TargetSettings()
    log: LogSettings = LogSettings()
    statsd: StatsdSettings = StatsdSettings()
    tls: TlsSettings | None = None

    def problems(self):
        """See :class:`~cowslipcourse.settings_file.Section`."""
        return self.time.problems()


class GatewaySettings(BaseDaemonSettings):
    """Settings file of a gateway."""

    limits: LimitSettings = LimitSettings()


class ControllerSettings(BaseDaemonSettings):
    """Settings file of a controller."""

    operators: OperatorSettings
    repair: RepairSettings = RepairSettings()


class VmGroupSettings(Section):
    """VMs that the stand-in emulates: ``count`` of them in one domain."""

    prefix: str
    count: int = Field(ge=1, le=2000)
    domain: str
    data_centre: str
    kind: Literal["engine", "service"] = "engine"
    accelerators: int = Field(default=8, ge=0)
    fenced: bool = True
    labels: dict[str, str] = Field(default_factory=dict)


class EngineSettings(Section):
    """Behaviour of the emulated engines."""

    token_s: float = Field(default=0.02, ge=0)
    prefill_tokens_per_s: float = Field(default=8000.0, gt=0)
    batch_limit: int = Field(default=32, ge=1)
    cache_prefixes: int = Field(default=200, ge=0)
    load_lag_s: float = Field(default=0.5, ge=0)
    event_lag_s: float = Field(default=0.5, ge=0)
    event_loss: float = Field(default=0.1, ge=0, le=1)


class StandinSettings(Section):
    """Settings file of the stand-in."""

    address: Address
    weights_bytes_per_s: float = Field(default=1e9, gt=0)
    vm_list_lag_s: float = Field(default=0.5, ge=0)
    writes_per_s: float = Field(default=500.0, gt=0)
    reads_per_s: float = Field(default=2000.0, gt=0)
    seed: int = 1
    engine: EngineSettings = EngineSettings()
    vms: list[VmGroupSettings] = Field(default_factory=list)
    log: LogSettings = LogSettings(level="warning")

"""Settings of ``cowslip-entry``, validated from a TOML file."""

from typing import Literal

from pydantic import Field

from cowslipcourse.settings_file import Address, LogSettings, Seconds, Section

__all__ = [
    "AdmissionSettings",
    "AnswerSettings",
    "BalancingSettings",
    "ControlSettings",
    "EntrySettings",
    "ListenSettings",
    "PeerSettings",
    "RetrySettings",
    "StopSettings",
    "StoreSettings",
]


class ListenSettings(Section):
    """Addresses that the daemon listens on.

    :param front: requests of callers.
    :param directory: look-ups of the addresses that callers may use.
    :param ready: readiness checks.
    :param peer: datagrams of other daemons, and their state reads over TCP.
    :param metrics: metrics; not served if absent.
    """

    front: Address
    directory: Address
    ready: Address
    peer: Address
    metrics: Address | None = None


class StoreSettings(Section):
    """Access to the platform's store.

    :param address: address of the store.
    :param timeout_s: time-out of a call in seconds; an answer usually takes 4 ms.
    :param feed_wait_s: seconds that the store waits for a change before it answers.
    :param feed_margin_s: seconds beyond ``feed_wait_s`` before a feed counts as dead.
    :param batch_s: seconds between two reads of a feed, so that changes are batched.
    """

    address: Address
    timeout_s: Seconds = 1.5
    feed_wait_s: Seconds = 1.0
    feed_margin_s: Seconds = 0.4
    batch_s: float = Field(default=0.25, ge=0, le=10)


class PeerSettings(Section):
    """Heartbeats between daemons.

    :param seeds: addresses of daemons to contact first.
    :param interval_s: seconds between two heartbeats.
    :param alive_s: seconds of silence after which a daemon counts as lost; four
        heartbeats.
    :param listed_s: seconds of silence after which the directory omits it.
    :param forget_s: seconds of silence after which it is sent no heartbeats.
    """

    seeds: tuple[Address, ...] = ()
    interval_s: Seconds = 0.25
    alive_s: Seconds = 1.1
    listed_s: Seconds = 0.8
    forget_s: Seconds = 60.0


class ControlSettings(Section):
    """Orders and report requests to engines.

    :param report_timeout_s: time-out of a report request in seconds. A sound engine
        answers in 5 ms, and a lost packet is sent again only after 1 s, so a second
        request is faster than a longer wait.
    :param order_timeout_s: time-out of an order in seconds.
    :param stall_s: seconds after which a group with a silent member counts as broken,
        and an engine whose host still accepts connections counts as silent.
    :param shares: whether groups are divided among models by their declared shares, or
        by shares that follow the observed work.
    """

    report_timeout_s: Seconds = 0.15
    order_timeout_s: Seconds = 0.6
    stall_s: Seconds = 4.0
    shares: Literal["declared", "observed"] = "declared"


class RetrySettings(Section):
    """Retry budget over all daemons together.

    :param ratio: retries per request.
    :param slack: additional retries per window.
    :param window_s: length of the window in seconds.
    """

    ratio: float = Field(default=0.2, ge=0, le=10)
    slack: float = Field(default=100.0, ge=0)
    window_s: Seconds = 10.0


class StopSettings(Section):
    """Graceful stop.

    :param grace_s: seconds from the signal until the process is killed.
    """

    grace_s: Seconds = 8.0


class AdmissionSettings(Section):
    """Order in which requests that wait get slots.

    :param order: by arrival, or by the priority of their routes and workspaces.
    """

    order: Literal["arrival", "priority"] = "arrival"


class BalancingSettings(Section):
    """Choice among the targets of a request.

    :param cost: what is compared: the requests in flight, or the expected time.
    """

    cost: Literal["in-flight", "expected-time"] = "in-flight"


class AnswerSettings(Section):
    """Bounds on the answers of targets; longer ones are no answers.

    :param max_bytes: largest body of an answer that is not a stream. It is held in
        memory until it is complete.
    :param max_stream_bytes: largest stream.
    :param max_held_bytes: largest memory of all answers together that are held, beside
        64 KiB each.
    """

    max_bytes: int = Field(default=4 * 1024 * 1024, ge=1024, le=64 * 1024 * 1024)
    max_stream_bytes: int = Field(default=16 * 1024 * 1024, ge=1024)
    max_held_bytes: int = Field(default=16 * 1024 * 1024, ge=1024)


class EntrySettings(Section):
    """Settings file of ``cowslip-entry``.

    :param name: unique name of the daemon.
    :param data_centre: data centre that it runs in.
    :param address_ttl_s: seconds for which callers may cache a list of addresses.
    """

    name: str = Field(min_length=1, max_length=100)
    data_centre: str
    address_ttl_s: Seconds = 1.0
    listen: ListenSettings
    store: StoreSettings
    peers: PeerSettings = PeerSettings()
    control: ControlSettings = ControlSettings()
    retries: RetrySettings = RetrySettings()
    stop: StopSettings = StopSettings()
    admission: AdmissionSettings = AdmissionSettings()
    balancing: BalancingSettings = BalancingSettings()
    answers: AnswerSettings = AnswerSettings()
    log: LogSettings = LogSettings(level="info")

"""Settings of ``cowslip-entry``: one checked TOML file."""

from pydantic import Field

from cowslipcourse.settings_file import Address, LogSettings, Seconds, Section

__all__ = [
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

    :param front: callers' requests.
    :param directory: callers that ask which addresses to use.
    :param ready: whether the daemon is ready.
    :param peer: datagrams of other daemons, and their reads over TCP.
    :param metrics: metrics as text; empty for none.
    """

    front: Address
    directory: Address
    ready: Address
    peer: Address
    metrics: Address | None = None


class StoreSettings(Section):
    """The platform's store.

    :param address: where it answers.
    :param timeout_s: longest wait for one call; its usual answer takes 4 ms.
    :param feed_wait_s: longest wait of the store for a change.
    :param feed_margin_s: more than that before a feed counts as dead.
    :param batch_s: pause between two reads of a feed, so that changes come together.
    """

    address: Address
    timeout_s: Seconds = 1.5
    feed_wait_s: Seconds = 1.0
    feed_margin_s: Seconds = 0.4
    batch_s: float = Field(default=0.25, ge=0, le=10)


class PeerSettings(Section):
    """Heartbeats between daemons.

    :param seeds: addresses of daemons that may be up.
    :param interval_s: time between two heartbeats.
    :param alive_s: silence after which a daemon counts as gone; four heartbeats.
    :param listed_s: silence after which callers are no longer sent to it.
    :param forget_s: silence after which it gets no heartbeats any more.
    """

    seeds: tuple[Address, ...] = ()
    interval_s: Seconds = 0.25
    alive_s: Seconds = 1.1
    listed_s: Seconds = 0.8
    forget_s: Seconds = 60.0


class ControlSettings(Section):
    """Orders to engines.

    :param report_timeout_s: longest wait for a report; a sound engine takes 5 ms,
        a lost packet is sent again after a second, so two questions are better.
    :param order_timeout_s: longest wait for an order's answer.
    :param stall_s: time after which a group with a silent member is broken.
    """

    report_timeout_s: Seconds = 0.15
    order_timeout_s: Seconds = 0.6
    stall_s: Seconds = 4.0


class RetrySettings(Section):
    """How often requests may be sent again, over all daemons together.

    :param ratio: repeats for each request.
    :param slack: repeats in a window beyond that.
    :param window_s: length of the window.
    """

    ratio: float = Field(default=0.2, ge=0, le=10)
    slack: float = Field(default=100.0, ge=0)
    window_s: Seconds = 10.0


class StopSettings(Section):
    """A planned stop.

    :param grace_s: time from the signal until the process is killed.
    """

    grace_s: Seconds = 8.0


class EntrySettings(Section):
    """Settings file of ``cowslip-entry``.

    :param name: unique name of the daemon.
    :param data_centre: data centre it runs in.
    :param address_ttl_s: time for which callers may keep a list of addresses.
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
    log: LogSettings = LogSettings(level="info")

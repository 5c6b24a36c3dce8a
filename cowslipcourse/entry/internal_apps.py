"""Applications beside the front: metrics, and the state that peers read."""

from cowslipcourse.adapters.responses import BufferedResponse, single_path_app

__all__ = ["metrics_app", "peer_app"]

BAD_REQUEST = 400
UNAVAILABLE = 503


def metrics_app(metrics):
    """Return the application that serves metrics.

    :param metrics: has ``render()``, which returns ``None`` as long as the metrics
        are not loaded.
    """

    def answer_metrics(query):
        content = metrics.render()
        if content is None:
            return BufferedResponse(status=UNAVAILABLE, headers={"retry-after": "1"})
        return BufferedResponse(content, media_type="text/plain")

    return single_path_app("/metrics", answer_metrics)


def peer_app(encoded_state):
    """Return the application from which peers read configuration and targets.

    :param encoded_state: callable that takes the versions of configuration and targets
        that the peer has, and that of its evacuated data centres or ``None`` if it has
        not asked for them, and returns the newer state as bytes.
    """

    def answer_state(query):
        try:
            configuration_version = int(query.get("configuration", 0))
            targets_version = int(query.get("targets", 0))
            evacuations = query.get("evacuations")
            evacuations_version = None if evacuations is None else int(evacuations)
        except ValueError:
            return BufferedResponse(
                b"versions are numbers", BAD_REQUEST, media_type="text/plain"
            )
        content = encoded_state(
            configuration_version, targets_version, evacuations_version
        )
        return BufferedResponse(content, media_type="application/msgpack")

    return single_path_app("/state", answer_state)

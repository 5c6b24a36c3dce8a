"""Retry budgets that have saved retries, as after a time without failures."""

from cowslipcourse.admission import SharedRetryBudget

__all__ = ["saved_budget"]

REQUEST_COUNT = 200


def saved_budget(settings, services, now=0.0):
    """Return the retry budget of a single daemon with many recent requests.

    :param settings: :class:`~cowslipcourse.entry.settings.RetrySettings`
    :param services: names of services.
    :param now: time of the requests.
    """
    budget = SharedRetryBudget(settings)
    budget.set_daemon_count(1, now)
    for service in services:
        for _ in range(REQUEST_COUNT):
            budget.record_answer(service, "t", now, now)
            budget.record_request(service, now)
    return budget

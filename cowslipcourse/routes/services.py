"""Services that requests are routed to, and declared properties of their engines."""

from typing import NamedTuple

__all__ = ["EngineModel", "EngineTimes", "ServiceSpec"]


class EngineModel(NamedTuple):
    """A model that the engines of a service can serve.

    :param name: model name.
    :param size: engines that one replica needs.
    :param share: the model's expected share of the work.
    :param pace: factor on all times of a replica.
    :param load_s: seconds to load the weights from the weight store.
    :param warm_s: seconds to load them from the engine's own host.
    """

    name: str
    size: int
    share: float
    pace: float
    load_s: float
    warm_s: float


class EngineTimes(NamedTuple):
    """Declared times of an engine's work.

    :param step_s: seconds of one token step.
    :param step_per_request_s: more seconds of a step for each running request.
    :param steps_per_event: token steps between two events of a stream.
    :param prefill_tokens_per_s: prompt tokens read in a second.
    :param chunk_tokens: most prompt tokens read between two steps.
    """

    step_s: float = 0.006
    step_per_request_s: float = 0.0005
    steps_per_event: int = 1
    prefill_tokens_per_s: float = 46_000.0
    chunk_tokens: int = 2048


class ServiceSpec(NamedTuple):
    """A service.

    :param name: service name.
    :param max_connections: connections that one target takes from all callers.
    :param models: models of its engines; empty for a plain service.
    :param slots: requests that one group runs at once; 0 if not declared.
    :param open_s: seconds from the open order until a group serves.
    :param loads_per_s: loads of weights that may begin in a second.
    :param times: see :class:`EngineTimes`.
    :param health_path: path of the health check of its targets; empty if they have
        none.
    :param memory_tokens: tokens that the memory of one group holds; 0 if not declared.
    :param usual_prompt_tokens: mean tokens of a prompt; 0 if not declared.
    :param usual_answer_tokens: mean tokens of an answer; 0 if not declared.
    :param cold_s: seconds after its start during which a target is cold.
    :param cold_requests_per_s: requests per second, of all daemons together, that a
        cold target tolerates; 0 for no limit.
    """

    name: str
    max_connections: int = 100
    models: tuple[EngineModel, ...] = ()
    slots: int = 0
    open_s: float = 0.0
    loads_per_s: float = 1.0
    times: EngineTimes = EngineTimes()
    health_path: str = ""
    memory_tokens: int = 0
    usual_prompt_tokens: float = 0.0
    usual_answer_tokens: float = 0.0
    cold_s: float = 0.0
    cold_requests_per_s: float = 0.0

    def model(self, name):
        """Return the :class:`EngineModel` with a name, or ``None``."""
        for model in self.models:
            if model.name == name:
                return model
        return None

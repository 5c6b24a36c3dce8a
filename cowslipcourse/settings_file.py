"""Reading and validation of settings files, and the sections that all of them have."""

import tomllib
from pathlib import Path
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from cowslipcourse.exceptions import Problem, SettingsError
from cowslipcourse.ports.addresses import ADDRESS_PATTERN

__all__ = ["Address", "LogSettings", "Seconds", "Section", "Url", "load_settings"]

Address = Annotated[str, Field(pattern=ADDRESS_PATTERN)]
Url = Annotated[str, Field(pattern=r"^https?://(\d{1,3}\.){3}\d{1,3}:\d{1,5}$")]
Seconds = Annotated[float, Field(gt=0, le=3600)]


class Section(BaseModel):
    """Base class of all sections; unknown keys are rejected."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    def problems(self):
        """Return ``(key, message)`` for each value that contradicts another one."""
        return ()


class LogSettings(Section):
    """Logging.

    :param level: lowest level that is logged.
    """

    level: Literal["debug", "info", "warning", "error"] = "info"


def _collect_keys(schema):
    keys = set(schema.model_fields)
    for field in schema.model_fields.values():
        if isinstance(field.annotation, type) and issubclass(field.annotation, Section):
            keys |= _collect_keys(field.annotation)
    return keys


def load_settings(path, schema):
    """Read and validate a settings file.

    :param path: TOML file.
    :param schema: subclass of :class:`Section`, for example
        :class:`~cowslipcourse.settings.GatewaySettings`.
    :returns: instance of the schema.
    :raises SettingsError: the file is invalid; lists all problems found.
    """
    try:
        values = tomllib.loads(Path(path).read_text())
    except OSError as error:
        raise SettingsError([Problem(str(path), error.strerror)]) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError([Problem(str(path), str(error))]) from error
    try:
        settings = schema.model_validate(values)
    except ValidationError as error:
        # Imported here, as it is needed only for invalid files.
        from cowslipcourse.validation import describe_errors

        described_problems = describe_errors(error, _collect_keys(schema))
        raise SettingsError(_problems(path, described_problems)) from error
    described_problems = settings.problems()
    if described_problems:
        raise SettingsError(_problems(path, described_problems))
    return settings


def _problems(path, described_problems):
    return [Problem(f"{path} {key}", message) for key, message in described_problems]

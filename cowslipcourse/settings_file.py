"""Settings files: how they are read and checked, and the parts that all have."""

import tomllib
from pathlib import Path
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from cowslipcourse.exceptions import Problem, SettingsError
from cowslipcourse.ports.addresses import ADDRESS_PATTERN
from cowslipcourse.validation import describe_errors

__all__ = ["Address", "LogSettings", "Seconds", "Section", "Url", "load_settings"]

Address = Annotated[str, Field(pattern=ADDRESS_PATTERN)]
Url = Annotated[str, Field(pattern=r"^https?://(\d{1,3}\.){3}\d{1,3}:\d{1,5}$")]
Seconds = Annotated[float, Field(gt=0, le=3600)]


class Section(BaseModel):
    """Base of all sections; unknown keys are refused."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    def problems(self):
        """Return ``(key, message)`` for values that do not fit together."""
        return ()


class LogSettings(Section):
    """How much is logged."""

    level: Literal["debug", "info", "warning", "error"] = "info"


def _schema_keys(schema):
    keys = set(schema.model_fields)
    for field in schema.model_fields.values():
        if isinstance(field.annotation, type) and issubclass(field.annotation, Section):
            keys |= _schema_keys(field.annotation)
    return keys


def load_settings(path, schema):
    """Read and check a settings file.

    :param path: TOML file.
    :param schema: for example :class:`GatewaySettings`.
    :returns: instance of the schema.
    :raises SettingsError: with every problem found.
    """
    try:
        tables = tomllib.loads(Path(path).read_text())
    except OSError as error:
        raise SettingsError([Problem(str(path), error.strerror)]) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError([Problem(str(path), str(error))]) from error
    try:
        settings = schema.model_validate(tables)
    except ValidationError as error:
        described = describe_errors(error, _schema_keys(schema))
        raise SettingsError(_problems(path, described)) from error
    described = settings.problems()
    if described:
        raise SettingsError(_problems(path, described))
    return settings


def _problems(path, described):
    return [Problem(f"{path} {key}", message) for key, message in described]

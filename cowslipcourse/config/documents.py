"""Parser of operators' TOML files.

A file consists of arrays of tables, with one table per object::

    [[model]]
    name = "draft-large"
    version = "3"
    weights_bytes = 120_000_000_000
"""

import re
import tomllib

from pydantic import ValidationError

from cowslipcourse.config.edits import Change
from cowslipcourse.config.objects import KINDS, ObjectRef
from cowslipcourse.exceptions import ConfigurationError, Problem
from cowslipcourse.validation import describe_errors, suggest_key

__all__ = ["parse_documents"]

_TABLE_HEADER = re.compile(r"^\s*\[\[\s*([A-Za-z_\-]+)\s*\]\]")
_SYNTAX_ERROR_LINE = re.compile(r"at line (\d+)")
_NAME = re.compile(r"[a-z0-9][a-z0-9.\-]{0,62}")


def _find_table_line(text, kind, index):
    table_index = -1
    for number, line in enumerate(text.splitlines(), start=1):
        header = _TABLE_HEADER.match(line)
        if header and header.group(1) == kind:
            table_index += 1
            if table_index == index:
                return number
    return 0


def _find_key_line(text, table_line, key):
    lines = text.splitlines()
    for number in range(table_line + 1, len(lines) + 1):
        line = lines[number - 1]
        if line.lstrip().startswith("["):
            break
        if re.match(rf"\s*{re.escape(key)}\s*[.=]", line):
            return number
    return table_line


def _parse_object(source, text, kind, index, table):
    line = _find_table_line(text, kind, index)
    name = table.pop("name", None)
    if not isinstance(name, str) or not _NAME.fullmatch(name):
        problem = Problem(
            f"{source}:{line} {kind}.name", "a lower-case name is required"
        )
        return None, [problem]
    schema = KINDS[kind]
    try:
        value = schema.model_validate(table)
    except ValidationError as error:
        problems = []
        for key, message in describe_errors(error, schema.model_fields):
            key_line = _find_key_line(text, line, key.split(".")[0])
            problems.append(
                Problem(f"{source}:{key_line} {kind}/{name} {key}", message)
            )
        return None, problems
    return Change(ObjectRef(kind, name), value), []


def _parse_document(source, text):
    try:
        tables_by_kind = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        found = _SYNTAX_ERROR_LINE.search(str(error))
        line = found.group(1) if found else "?"
        return [], [Problem(f"{source}:{line}", f"invalid TOML: {error}")]
    changes, problems = [], []
    for kind, tables in tables_by_kind.items():
        if kind not in KINDS:
            message = f"unknown kind{suggest_key(kind, KINDS)}"
            problems.append(Problem(f"{source} [[{kind}]]", message))
            continue
        if not isinstance(tables, list):
            problems.append(Problem(f"{source} {kind}", f"write [[{kind}]]"))
            continue
        for index, table in enumerate(tables):
            change, found = _parse_object(source, text, kind, index, dict(table))
            problems.extend(found)
            if change is not None:
                changes.append(change)
    return changes, problems


def parse_documents(documents):
    """Parse operators' files.

    :param documents: mapping of file name to text.
    :returns: list of :class:`~cowslipcourse.config.Change`
    :raises ConfigurationError: lists every problem of every file.
    """
    changes, problems, source_by_ref = [], [], {}
    for source, text in documents.items():
        found, document_problems = _parse_document(source, text)
        problems.extend(document_problems)
        for change in found:
            if change.ref in source_by_ref:
                message = f"already declared in {source_by_ref[change.ref]}"
                problems.append(Problem(f"{source} {change.ref}", message))
            source_by_ref[change.ref] = source
            changes.append(change)
    if problems:
        raise ConfigurationError(problems)
    return changes

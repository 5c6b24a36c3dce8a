"""Error messages for files that do not match their schema."""

__all__ = ["describe_errors", "suggest_key"]


def suggest_key(key, known_keys):
    """Return a hint at the known key most similar to a key, or an empty string."""
    # Imported here, as it is needed only for invalid files.
    import difflib

    matches = difflib.get_close_matches(key, known_keys, n=1)
    return f"; did you mean {matches[0]!r}?" if matches else ""


def describe_errors(error, known_keys):
    """Return ``(key, message)`` for each error of a pydantic validation.

    :param error: :class:`pydantic.ValidationError`
    :param known_keys: valid keys, for suggestions.
    """
    described_errors = []
    for error_details in error.errors():
        key_path = ".".join(str(part) for part in error_details["loc"])
        if error_details["type"] == "extra_forbidden":
            message = (
                f"unknown key{suggest_key(str(error_details['loc'][-1]), known_keys)}"
            )
        else:
            message = error_details["msg"].removeprefix("Value error, ")
        described_errors.append((key_path, message))
    return described_errors

"""What to tell people about files that do not fit their schema."""

__all__ = ["describe_errors", "suggest"]


def suggest(word, known):
    """Return a hint at the key that was meant, or an empty text."""
    # Only needed where something is wrong.
    import difflib

    close = difflib.get_close_matches(word, known, n=1)
    return f"; did you mean {close[0]!r}?" if close else ""


def describe_errors(error, known):
    """Return ``(key, message)`` for each error of a pydantic validation.

    :param error: :class:`pydantic.ValidationError`
    :param known: keys that exist, for suggestions.
    """
    described = []
    for item in error.errors():
        path = ".".join(str(part) for part in item["loc"])
        if item["type"] == "extra_forbidden":
            message = f"unknown key{suggest(str(item['loc'][-1]), known)}"
        else:
            message = item["msg"].removeprefix("Value error, ")
        described.append((path, message))
    return described

"""What is wrong with input that was turned down at the border."""

from dataclasses import dataclass

WHOLE_INPUT = '$'
"""Path of a problem with the input as a whole."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Problem:
    """The first thing that is wrong, and the path of its field."""

    path: str
    message: str

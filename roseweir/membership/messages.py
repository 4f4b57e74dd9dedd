"""What controllers ask one another of users and leaders."""

import msgspec


class AskTold(msgspec.Struct):
    since_s: float


class Told(msgspec.Struct):
    """The latest term known, and the jobs whose users were told of a cancel in that time; null: not known that far."""

    term: int
    cancelled: list[str] | None = None

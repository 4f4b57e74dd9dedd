"""Which instant is promised. Pure.

A business morning is the hour of a day that is neither closed nor a holiday, in local time. What landed before its
cut-off is promised for it; what landed later for the next one. The instant is worked out once, as the amendment is
taken, and kept as a time of day in milliseconds: no restart, clock or change of settings moves it.

Where daylight saving skips the hour, the promise is for the instant at which the clocks have gone on; where it comes
twice, for the first time.
"""

from datetime import UTC, date, datetime, time, timedelta, tzinfo

from roseweir.calendars import Calendar
from roseweir.promises.settings import Promise

# Closed days and holidays in a row, at the most, that are looked through.
DAYS_MOST = 400


def due_ms(landed_ms: int, promise: Promise, calendar: Calendar) -> int:
    landed = datetime.fromtimestamp(landed_ms / 1000, UTC)
    zone = calendar.zone
    day = landed.astimezone(zone).date()
    for ahead in range(DAYS_MOST):
        morning = day + timedelta(days=ahead)
        if morning.weekday() in promise.closed or calendar.is_holiday(morning):
            continue
        due = instant(morning, promise.by, zone)
        if landed < cut_off(morning, promise, zone):
            return round(due.timestamp() * 1000)
    return 0


def cut_off(morning: date, promise: Promise, zone: tzinfo) -> datetime:
    """Until when what lands is for this morning: the last time the cut-off's hour comes before it."""
    if promise.cut_off is None:
        return instant(morning, promise.by, zone)
    day = morning if promise.cut_off <= promise.by else morning - timedelta(days=1)
    return instant(day, promise.cut_off, zone)


def instant(day: date, at: time, zone: tzinfo) -> datetime:
    """A local time of a day. One that does not exist is the moment at which the clocks have gone on."""
    local = datetime.combine(day, at, zone)
    found = local.astimezone(UTC)
    if found.astimezone(zone).replace(tzinfo=None) == local.replace(tzinfo=None):
        return found
    # Skipped: between the last moment before the change and the first after it.
    low, high = found - timedelta(hours=3), found + timedelta(hours=3)
    before = low.astimezone(zone).utcoffset()
    while high - low > timedelta(seconds=1):
        middle = low + (high - low) / 2
        if middle.astimezone(zone).utcoffset() == before:
            low = middle
        else:
            high = middle
    return high.replace(microsecond=0)


def night_of(due: int, calendar: Calendar) -> str:
    """The date of the morning that ends the night."""
    return datetime.fromtimestamp(due / 1000, UTC).astimezone(calendar.zone).date().isoformat()

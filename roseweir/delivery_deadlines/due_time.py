"""Which instant is promised. Pure.

A business morning is the hour of a day that is neither closed nor a holiday, in local time. What landed before its
cut-off is promised for it; what landed later for the next one. The instant is worked out once, as the amendment is
taken, and kept as a time of day in milliseconds: no restart, clock or change of settings moves it.

Where daylight saving skips the hour, the promise is for the instant at which the clocks have gone on; where it comes
twice, for the first time.
"""

from datetime import UTC, date, datetime, time, timedelta, tzinfo

from roseweir.calendars import Calendar
from roseweir.delivery_deadlines.settings import DeadlinePolicy

# Closed days and holidays in a row, at the most, that are looked through.
MAX_DAYS_SEARCHED = 400


def compute_due_ms(landed_ms: int, policy: DeadlinePolicy, calendar: Calendar) -> int:
    landed = datetime.fromtimestamp(landed_ms / 1000, UTC)
    zone = calendar.zone
    day = landed.astimezone(zone).date()
    for days_ahead in range(MAX_DAYS_SEARCHED):
        business_day = day + timedelta(days=days_ahead)
        if business_day.weekday() in policy.closed_weekdays or calendar.is_holiday(business_day):
            continue
        due = local_instant(business_day, policy.due_time, zone)
        if landed < cutoff_instant(business_day, policy, zone):
            return round(due.timestamp() * 1000)
    return 0


def cutoff_instant(business_day: date, policy: DeadlinePolicy, zone: tzinfo) -> datetime:
    """Until when what lands is for this morning: the last time the cut-off's hour comes before it."""
    if policy.cutoff_time is None:
        return local_instant(business_day, policy.due_time, zone)
    day = business_day if policy.cutoff_time <= policy.due_time else business_day - timedelta(days=1)
    return local_instant(day, policy.cutoff_time, zone)


def local_instant(day: date, at: time, zone: tzinfo) -> datetime:
    """A local time of a day. One that does not exist is the moment at which the clocks have gone on."""
    local = datetime.combine(day, at, zone)
    utc_time = local.astimezone(UTC)
    if utc_time.astimezone(zone).replace(tzinfo=None) == local.replace(tzinfo=None):
        return utc_time
    # Skipped: between the last moment before the change and the first after it.
    low, high = utc_time - timedelta(hours=3), utc_time + timedelta(hours=3)
    offset_before = low.astimezone(zone).utcoffset()
    while high - low > timedelta(seconds=1):
        middle = low + (high - low) / 2
        if middle.astimezone(zone).utcoffset() == offset_before:
            low = middle
        else:
            high = middle
    return high.replace(microsecond=0)


def night_ending_date(due_ms: int, calendar: Calendar) -> str:
    """The date of the morning that ends the night."""
    return datetime.fromtimestamp(due_ms / 1000, UTC).astimezone(calendar.zone).date().isoformat()

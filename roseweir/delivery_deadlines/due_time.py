"""The due time of the lots of a workflow. Pure.

Lots are due at a set local time of a business day, a day that is neither closed nor a holiday. Lots that landed before
the cut-off of a business day are due on that day, later ones on the next business day. The due time is computed once,
when the amendment is accepted, and stored in milliseconds, so no restart, clock or change of settings moves it.

Where daylight saving skips the local time, lots are due at the instant of the clock change; where it occurs twice, at
its first occurrence.
"""

from datetime import UTC, date, datetime, time, timedelta, tzinfo

from roseweir.calendars import Calendar
from roseweir.delivery_deadlines.settings import DeadlinePolicy

# Number of days that are searched for a business day.
MAX_DAYS_SEARCHED = 400


def compute_due_ms(landed_ms: int, policy: DeadlinePolicy, calendar: Calendar) -> int:
    """Return when lots that landed at `landed_ms` are due; both in milliseconds since the epoch.

    Returns 0 if there is no business day within `MAX_DAYS_SEARCHED`.
    """
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
    """Return the cut-off of a business day: the last occurrence of the cut-off's local time before lots are due."""
    if policy.cutoff_time is None:
        return local_instant(business_day, policy.due_time, zone)
    day = business_day if policy.cutoff_time <= policy.due_time else business_day - timedelta(days=1)
    return local_instant(day, policy.cutoff_time, zone)


def local_instant(day: date, local_time: time, zone: tzinfo) -> datetime:
    """Return the UTC time of a local time; for one that daylight saving skips, the instant of the clock change."""
    local = datetime.combine(day, local_time, zone)
    utc_time = local.astimezone(UTC)
    if utc_time.astimezone(zone).replace(tzinfo=None) == local.replace(tzinfo=None):
        return utc_time
    # The local time is skipped: bisect to the first second after the clock change.
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
    """Return the local date (ISO 8601) on which lots are due: it identifies the night that ends on that morning."""
    return datetime.fromtimestamp(due_ms / 1000, UTC).astimezone(calendar.zone).date().isoformat()

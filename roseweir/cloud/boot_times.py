"""How long machines take to boot, relative to the catalog's boot durations. Pure: no I/O, and no clock."""

from datetime import datetime

from roseweir.scheduler.cluster_state import ClusterState

# Factors on the catalog's boot duration. Machines usually boot within 1.5 times that duration; some take several times
# as long.
LATE_BOOT_FACTOR = 2.0
FAILED_BOOT_FACTOR = 4.0
# Boots of a type count as slow when at least this many machines are late and outnumber those that were on time.
MIN_SLOW_BOOTS = 3
# Slowdown assumed for such boots until some of the late machines have booted.
SLOW_BOOT_FACTOR = 2.0


def boot_slowdown(cluster_state: ClusterState, now: datetime) -> dict[str, float]:
    """Return by which factor boots of each machine type are slower than the catalog's duration; at least 1.0.

    Late machines always make up most of those still booting, so their number is compared with the number of recent
    boots that were on time. If late machines outnumber those, replacements would be late too, and replacing all late
    machines would rent everything twice.
    """
    late_boot_counts: dict[str, int] = {}
    for machine in cluster_state.machines.values():
        if (
            machine.is_booting
            and machine.is_autoscaled
            and now - machine.scaled_out_at > machine.machine_type.boot_duration * LATE_BOOT_FACTOR
        ):
            late_boot_counts[machine.machine_type.name] = late_boot_counts.get(machine.machine_type.name, 0) + 1
    slowdown: dict[str, float] = {}
    for name, machine_type in cluster_state.catalog.items():
        recent_ratios = sorted(cluster_state.recent_boot_ratios(machine_type, now))
        typical_slowdown = (
            max(1.0, recent_ratios[len(recent_ratios) // 2]) if len(recent_ratios) >= MIN_SLOW_BOOTS else 1.0
        )
        is_outnumbered = late_boot_counts.get(name, 0) > sum(
            boot_ratio <= LATE_BOOT_FACTOR for boot_ratio in recent_ratios
        )
        slowdown[name] = max(
            typical_slowdown, SLOW_BOOT_FACTOR if is_outnumbered and late_boot_counts[name] >= MIN_SLOW_BOOTS else 1.0
        )
    return slowdown

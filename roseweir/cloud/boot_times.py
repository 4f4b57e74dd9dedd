"""How long machines take to boot, measured against the catalog's figures. Pure."""

from datetime import datetime

from roseweir.scheduler.cluster_state import ClusterState

# Machines usually come up within 1.5 times the catalog's figure; some take several times as long.
LATE_BOOT_FACTOR = 2.0
FAILED_BOOT_FACTOR = 4.0
# Boots of a type are slow when at least this many machines are late and outnumber those on time.
MIN_SLOW_BOOTS = 3
# How many times slower such boots are assumed to be until some have come up.
SLOW_BOOT_FACTOR = 2.0


def boot_slowdown(cluster_state: ClusterState, now: datetime) -> dict[str, float]:
    """By which factor boots of each type are slower than the catalog says; 1.0 if they are as usual.

    The machines that are late always make up most of those still booting, so they are held against
    those that came up on time of late. When they outnumber these, others would be as late: ordering all
    of them again would buy everything twice.
    """
    late_boots: dict[str, int] = {}
    for machine in cluster_state.machines.values():
        if (
            machine.is_booting
            and machine.is_autoscaled
            and now - machine.scaled_out_at > machine.machine_type.boot_duration * LATE_BOOT_FACTOR
        ):
            late_boots[machine.machine_type.name] = late_boots.get(machine.machine_type.name, 0) + 1
    slowdown: dict[str, float] = {}
    for name, machine_type in cluster_state.catalog.items():
        recent = sorted(cluster_state.recent_boot_ratios(machine_type, now))
        typical_slowdown = max(1.0, recent[len(recent) // 2]) if len(recent) >= MIN_SLOW_BOOTS else 1.0
        is_outnumbered = late_boots.get(name, 0) > sum(boot_ratio <= LATE_BOOT_FACTOR for boot_ratio in recent)
        slowdown[name] = max(
            typical_slowdown, SLOW_BOOT_FACTOR if is_outnumbered and late_boots[name] >= MIN_SLOW_BOOTS else 1.0
        )
    return slowdown

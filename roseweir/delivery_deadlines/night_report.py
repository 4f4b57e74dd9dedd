"""The report of one night: how many lots were due on the morning that ends it, and how many were on time. Pure."""

from dataclasses import dataclass, field
from typing import Any

from roseweir.delivery_deadlines.lot_deliveries import delivered_lots
from roseweir.workflows.model import Workflow


@dataclass(slots=True)
class NightReport:
    """Counts of the lots that were due on one morning."""

    due_lots: int = 0
    on_time_lots: int = 0
    late_lots: int = 0
    superseded_lots: int = 0
    max_lateness_s: int = 0
    # Late lots, by the class of the step that delayed them.
    late_lots_by_step_class: dict[str, int] = field(default_factory=dict)

    def add(self, workflow: Workflow, late_step_class: str, now_ms: int) -> None:
        """Add the lots of a workflow, as delivered or not at `now_ms`; `late_step_class`: the class that delayed it."""
        lot_count = len(workflow.lots)
        self.due_lots += lot_count
        if workflow.state == "superseded":
            self.superseded_lots += lot_count
            return
        on_time_count = len(delivered_lots(workflow, workflow.due_ms))
        self.on_time_lots += on_time_count
        if now_ms > workflow.due_ms and on_time_count < lot_count:
            self.late_lots += lot_count - on_time_count
            delivered_ms = max((s.ended_ms for s in workflow.steps if s.is_delivery), default=0)
            late_until_ms = delivered_ms if workflow.is_ended and delivered_ms else now_ms
            self.max_lateness_s = max(self.max_lateness_s, round((late_until_ms - workflow.due_ms) / 1000))
            self.late_lots_by_step_class[late_step_class or "unknown"] = (
                self.late_lots_by_step_class.get(late_step_class or "unknown", 0) + lot_count - on_time_count
            )

    def encode(self) -> list[Any]:
        """Return the value to store."""
        return [
            self.due_lots,
            self.on_time_lots,
            self.late_lots,
            self.superseded_lots,
            self.max_lateness_s,
            self.late_lots_by_step_class,
        ]

    @classmethod
    def decode(cls, value: Any) -> "NightReport":
        """Return the report in a value that `encode` returned.

        Raises:
            AttributeError, TypeError, ValueError: the value does not have that form.
        """
        *counts, late_lots_by_step_class = value
        due_lots, on_time_lots, late_lots, superseded_lots, max_lateness_s = map(int, counts)
        return cls(
            due_lots,
            on_time_lots,
            late_lots,
            superseded_lots,
            max_lateness_s,
            {str(step_class): int(n) for step_class, n in late_lots_by_step_class.items()},
        )

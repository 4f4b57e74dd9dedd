"""The lots of a workflow that are delivered to the viewer. Pure: from durable ends alone, never from a forecast."""

from roseweir.workflows.model import Workflow


def delivered_lots(workflow: Workflow, by_ms: int | None = None) -> list[str]:
    """Return the lots whose delivery steps are all done, in the workflow's order.

    Args:
        workflow: the workflow.
        by_ms: count only steps done by this time, in milliseconds since the epoch; None: all done steps.
    """
    undelivered: set[str] = set()
    lots_with_delivery: set[str] = set()
    for step in workflow.steps:
        if not step.is_delivery:
            continue
        lots = workflow.lots_of(step)
        lots_with_delivery.update(lots)
        if step.outcome != "done" or (by_ms is not None and step.ended_ms > by_ms):
            undelivered.update(lots)
    return [lot for lot in workflow.lots if lot in lots_with_delivery and lot not in undelivered]


def last_delivery_ms(workflow: Workflow) -> int:
    """Return the end, in milliseconds since the epoch, of the last delivery step that is done; 0: there is none."""
    return max((s.ended_ms for s in workflow.steps if s.is_delivery and s.outcome == "done"), default=0)

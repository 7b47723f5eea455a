"""Prints the demo's results from the run's own reports."""

from typing import Any

_OTHER_OUTCOMES = ("cut", "not_sent", "unfinished", "wrong_answers")


def print_classes(report: dict[str, Any]) -> None:
    """Prints one line for each class of work."""
    for work in report["classes"]:
        _print_counts(work["name"], "other outcomes", {k: work[k] for k in _OTHER_OUTCOMES})
        _print_counts(work["name"], "refused", work["refused_by_id"])
        _print_counts(work["name"], "other errors", work["other_by_id"])
        _print_latency(work)
    for work in report["classes"]:
        print(
            f"class {work['name']} sent {work['sent']} "
            f"answered-whole {work['answered_whole']} "
            f"refused-not-run {work['refused_not_run']} "
            f"outcome-unknown {work['outcome_unknown']} "
            f"false-refusals {work['false_refusals']}"
        )


def summary_line(findings: dict[str, Any]) -> str:
    """Returns the last line of the output."""
    return (
        f"demo: overspend {findings['overspend']} tokens, "
        f"billed twice {findings['billed_twice']}, "
        f"ran twice {findings['ran_twice']}, "
        f"wrong answers {findings['wrong_answers']}"
    )


def was_clean(report: dict[str, Any], findings: dict[str, Any]) -> bool:
    """Returns whether the audit found nothing and some request was answered."""
    answered = sum(work["answered_whole"] for work in report["classes"])
    return bool(findings["clean"]) and answered > 0


def _print_counts(name: str, what: str, counts: dict[str, int]) -> None:
    shown = ", ".join(f"{key} {count}" for key, count in counts.items() if count)
    if shown:
        print(f"  {name}: {what}: {shown}")


def _print_latency(work: dict[str, Any]) -> None:
    for name, quantiles in work["latency_ms"].items():
        if quantiles is None:
            continue
        shown = ", ".join(f"{q} {quantiles[q]:.0f}" for q in ("p50", "p99", "max"))
        print(f"  {work['name']}: {name} ms {shown}")

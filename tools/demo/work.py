"""The demo's load: what Boleteria's callers send in half a minute."""

from typing import Any

# Seconds over which request starts are spread.
SECONDS = 32


def load_plan(routers: list[str]) -> dict[str, Any]:
    """Returns the plan for coppervalve-load."""
    classes = [
        _drafts("itineraries", "tours-cruises", rate=12, tokens=240),
        _drafts("school-itineraries", "tours-schools", rate=5, tokens=160),
        _chat("gate-chat", "gate-chat", rate=25, tokens=64),
        _night_events(),
        _tags("refund-tags", "refunds", rate=10),
        _call("seat-holds", "box-office", "POST", "/holds", rate=25),
        _call("ticket-lookups", "gate-scanners", "GET", "/tickets/7", rate=15),
    ]
    return {"routers": routers, "max_seconds": SECONDS, "classes": classes}


def _work_class(name: str, account: str, rate: float, **more: Any) -> dict[str, Any]:
    return {
        "name": name,
        "account": account,
        "api_key": f"demo-{account}",
        "rate_per_s": rate,
        "requests": int(rate * SECONDS),
        **more,
    }


def _drafts(name: str, account: str, rate: float, tokens: int) -> dict[str, Any]:
    return _work_class(
        name,
        account,
        rate,
        model="itinerary-30b",
        stream=True,
        max_tokens=tokens,
        prompt_bytes=1600,
        patience_ms=30_000,
    )


def _chat(name: str, account: str, rate: float, tokens: int) -> dict[str, Any]:
    return _work_class(
        name,
        account,
        rate,
        model="chat-7b",
        stream=True,
        max_tokens=tokens,
        prompt_bytes=400,
        patience_ms=15_000,
    )


def _night_events() -> dict[str, Any]:
    """Requests more than its small budget of 50,000 tokens holds."""
    return _work_class(
        "night-events",
        "night-events",
        rate=1.8,
        model="chat-7b",
        stream=True,
        max_tokens=1000,
        prompt_bytes=400,
        patience_ms=15_000,
    )


def _tags(name: str, account: str, rate: float) -> dict[str, Any]:
    return _work_class(
        name,
        account,
        rate,
        model="refund-tagger",
        max_tokens=8,
        prompt_bytes=600,
        patience_ms=20_000,
    )


def _call(
    name: str, account: str, method: str, path: str, rate: float
) -> dict[str, Any]:
    return _work_class(
        name,
        account,
        rate,
        service="ticketing",
        method=method,
        path=path,
        non_idempotent=method == "POST",
        patience_ms=10_000,
    )

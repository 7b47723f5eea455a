"""Shared base class and helpers of the process tests."""

import hashlib
import itertools
import os
import shutil
import sys
import time
import unittest
from collections.abc import Callable, Iterable
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any, TypeVar

from tools.harness import Answer, Caller, Failure, Fleet, Relay, Router, wait_until
from tools.harness.fleet import RouterAddresses
from tools.harness.ports import free_address

BUDGET = "desk"
MODEL = "draft"
SERVICE = "ticketing"
API_KEY = "key-of-desk"
OTHER_API_KEY = "key-of-other"

# Generous, because the machine may be shared and busy: only a state that is never
# reached exceeds it.
WAIT_TIMEOUT_S = 60.0

_DOMAINS = ["fd-a", "fd-b", "fd-c"]
_RETRY_PAUSE_S = 0.1
_LIMITS = {
    "retire_after_ms": 4000,
    "address_lifetime_ms": 1500,
    "first_token_timeout_ms": 5000,
    "inter_token_timeout_ms": 3000,
}

_NO_BUDGET_STATUS = {
    "held": 0,
    "reserved": 0,
    "spent": 0,
    "ceiling": 0,
    "ceiling_requested": 0,
}

_Result = TypeVar("_Result")


class FleetTest(unittest.TestCase):
    """Starts a separate fleet for each test and ends all its processes afterwards."""

    def setUp(self) -> None:
        self.fleet = Fleet(os.environ.get("COPPERVALVE_BUILD", "build"))
        self.addCleanup(self.fleet.close)
        self.addCleanup(self._keep_output_of_failure)
        self.pool = ThreadPoolExecutor(max_workers=40)
        self.addCleanup(self.pool.shutdown)
        self.fleet.start_log()
        self.caller = self.fleet.caller(API_KEY, WAIT_TIMEOUT_S)
        self.relays: dict[str, Relay] = {}
        self.configuration: dict[str, Any] = {}
        self.limits = dict(_LIMITS)
        self.max_queue_ms = 30_000

    def _keep_output_of_failure(self) -> None:
        """Copies the output of all processes to the build folder if the test failed."""
        if self._outcome.success:
            return
        kept = self.fleet.build_folder / "failed-tests" / f"{self.id()}-{os.getpid()}"
        shutil.copytree(self.fleet.folder, kept, dirs_exist_ok=True)
        print(f"output of all processes: {kept}", file=sys.stderr)

    def start_upstreams(
        self,
        engines: int = 2,
        services: int = 0,
        step_ms: float = 20,
        relayed: bool = False,
    ) -> None:
        """Starts upstreams, each behind a relay if requested."""
        for index in range(engines):
            self.fleet.start_engine(f"engine-{index + 1}", step_ms=step_ms)
        for index in range(services):
            self.fleet.start_service(f"ticketing-{index + 1}")
        if not relayed:
            return
        for name, upstream in {**self.fleet.engines, **self.fleet.services}.items():
            self.relays[name] = self.fleet.start_relay(
                f"relay-{name}", upstream.address
            )

    def start_routers(
        self,
        count: int = 3,
        prepaid: int = 1_000_000,
        peer_relays: bool = False,
        log_relay_of: str = "",
        arguments: Iterable[str] = (),
    ) -> list[Router]:
        """Starts routers and publishes the first configuration."""
        routers = [
            self._start_router(
                f"router-{index + 1}",
                _DOMAINS[index % len(_DOMAINS)],
                peer_relays,
                log_relay_of,
                list(arguments),
            )
            for index in range(count)
        ]
        self.configuration = self._configuration(prepaid)
        self.fleet.tool.publish(self.configuration, wait_s=int(WAIT_TIMEOUT_S))
        for router in routers:
            router.wait_ready(WAIT_TIMEOUT_S)
        self.wait(
            lambda: all(self._sees_all_peers(router, count) for router in routers),
            "the routers reach each other",
        )
        return routers

    def wait(self, condition: Callable[[], bool], what: str) -> None:
        """Waits until the condition holds; fails the test on timeout."""
        wait_until(condition, WAIT_TIMEOUT_S, what)

    def in_background(
        self, work: Callable[..., _Result], *arguments: Any
    ) -> Future[_Result]:
        """Runs a function on a thread of the test's pool."""
        return self.pool.submit(work, *arguments)

    def prefix(self, router: Router) -> str:
        """Returns the key prefix that binds a request to the router's incarnation."""
        for entry in self.caller.addresses(router)["addresses"]:
            if entry["address"] == router.address:
                return entry["key_prefix"]
        raise AssertionError(f"{router.router_id} does not list itself")

    def draft(
        self, router: Router, key: str, max_tokens: int = 50, stream: bool = True
    ) -> Answer:
        """Sends one idempotent chat request."""
        return self.caller.chat(router, MODEL, "a prompt", max_tokens, stream, key)

    def hold(self, router: Router, key: str) -> Answer:
        """Sends one non-idempotent service call."""
        return self.caller.service(router, SERVICE, "/holds", body={}, key=key)

    def draft_until_whole(
        self, routers: list[Router], key: str, max_tokens: int = 50
    ) -> Answer:
        """Retries under one idempotency key until an answer is whole."""
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        last: object = None
        for router in itertools.cycle(routers):
            if time.monotonic() >= deadline:
                break
            try:
                answer = self.draft(router, key, max_tokens)
            except Failure as failure:
                last = failure
                time.sleep(_RETRY_PAUSE_S)
                continue
            if answer.whole:
                return answer
            last = answer
            time.sleep(_RETRY_PAUSE_S)
        raise AssertionError(f"no whole answer for {key}: {last}")

    def engine_runs(self, key: str = "") -> list[dict[str, Any]]:
        """Returns the runs recorded by the engines, all or those of one key."""
        runs = itertools.chain.from_iterable(self.fleet.engine_records().values())
        return [run for run in runs if key in ("", run["key"])]

    def service_runs(self, key: str) -> int:
        """Returns how often the service's records show a call."""
        runs = itertools.chain.from_iterable(self.fleet.service_records().values())
        return sum(run["key"] == key for run in runs)

    def used_tokens(self) -> int:
        """Returns the tokens that the engines used, including wasted runs."""
        return sum(
            run["prompt_tokens"] + run["output_tokens"] for run in self.engine_runs()
        )

    def assert_own_answer(self, key: str, answer: Answer) -> None:
        """Asserts that the answer is whole and comes from a run under the caller's
        key."""
        self.assertTrue(answer.whole, answer)
        request_id = answer.text.rsplit(" ", 2)[-2].rsplit(":", 1)[0]
        ids = [run["request_id"] for run in self.engine_runs(key)]
        self.assertIn(request_id, ids)

    def assert_refused(self, answer: Answer, error_id: str, run_state: str) -> None:
        """Asserts that the answer is a refusal with this error id and run state."""
        self.assertEqual((error_id, run_state), (answer.error_id, answer.run_state))

    def audit(self) -> dict[str, int]:
        """Replays the log, asserts that balances add up, and returns the budget's
        row."""
        result = self.fleet.tool.audit()
        self.assertEqual(0, result.exit_code, result.output + result.errors)
        rows = result.json()["budgets"]
        return next(row for row in rows if row["id"] == BUDGET)

    def budget(self) -> dict[str, Any]:
        """Returns the budget with its holdings, as replayed from the log."""
        return self.fleet.tool.require("budget", "show", BUDGET).json()

    def members(self) -> dict[str, dict[str, Any]]:
        """Returns the members that the log does not show as retired."""
        listed = self.fleet.tool.require("routers").json()["routers"]
        return {
            member["router"]: member
            for member in listed
            if member["phase"] != "RETIRED"
        }

    def wait_retired(self, router: Router) -> None:
        """Waits until the log shows a router as retired."""
        self.wait(
            lambda: router.router_id not in self.members(),
            f"{router.router_id} is retired",
        )

    def wait_version(self, routers: Iterable[Router], version: int) -> None:
        """Waits until the routers apply a configuration version."""
        for router in routers:
            self.wait(
                lambda: config_version(router) == version,  # noqa: B023
                f"{router.router_id} has version {version}",
            )

    def running_streams(self) -> int:
        """Returns the number of runs in progress on the engines."""
        return sum(run["state"] == "running" for run in self.engine_runs())

    def _start_router(
        self,
        router_id: str,
        failure_domain: str,
        peer_relay: bool,
        log_relay_of: str,
        arguments: list[str],
    ) -> Router:
        addresses = RouterAddresses(free_address(), free_address(), free_address())
        if peer_relay:
            relay = self.fleet.start_relay(f"peer-{router_id}", addresses.peer)
            self.relays[f"peer-{router_id}"] = relay
            arguments = [*arguments, f"--peer-advertise={relay.address}"]
        log_address = ""
        if router_id == log_relay_of:
            relay = self.fleet.start_relay("log-relay", self.fleet.log.address)
            self.relays["log"] = relay
            log_address = relay.address
        return self.fleet.start_router(
            router_id,
            failure_domain,
            addresses=addresses,
            log_address=log_address,
            arguments=arguments,
        )

    def _sees_all_peers(self, router: Router, count: int) -> bool:
        peers = router.status().get("peers", [])
        return sum(peer.get("reachable", False) for peer in peers) >= count - 1

    def _configuration(self, prepaid: int) -> dict[str, Any]:
        return {
            "name": "process-tests",
            "accounts": [
                _account(BUDGET, API_KEY),
                _account("other", OTHER_API_KEY),
            ],
            "budgets": [
                {"id": BUDGET, "account": BUDGET, "prepaid_tokens": prepaid},
                {"id": "other", "account": "other", "prepaid_tokens": 1_000_000},
            ],
            "upstreams": self._upstreams(),
            "rules": self._rules(),
            "limits": self.limits,
        }

    def _upstreams(self) -> list[dict[str, Any]]:
        engines = [
            {
                "id": name,
                "kind": "MODEL_ENGINE",
                "address": self._upstream_address(name, engine.address),
                "failure_domain": "fd-a",
                "models": [MODEL],
            }
            for name, engine in self.fleet.engines.items()
        ]
        services = [
            {
                "id": name,
                "kind": "PLAIN_SERVICE",
                "address": self._upstream_address(name, service.address),
                "failure_domain": "fd-a",
                "service": SERVICE,
                "call_cost_tokens": 1,
            }
            for name, service in self.fleet.services.items()
        ]
        return engines + services

    def _upstream_address(self, name: str, address: str) -> str:
        return self.relays[name].address if name in self.relays else address

    def _rules(self) -> list[dict[str, Any]]:
        route = {"admission_class": "INTERACTIVE", "max_queue_ms": self.max_queue_ms}
        rules: list[dict[str, Any]] = []
        if self.fleet.engines:
            rules.append(
                {"id": "drafts", "when": {"models": [MODEL]}, "then": {"route": route}}
            )
        if self.fleet.services:
            hold = {"admission_class": "GATE", "non_idempotent": True}
            when = {"services": [SERVICE]}
            rules.append({"id": "holds", "when": when, "then": {"route": hold}})
        return rules


def config_version(router: Router) -> int:
    """Returns the configuration version that a router applies."""
    return int(router.status().get("config_version", 0))


def budget_status(router: Router) -> dict[str, int]:
    """Returns a router's own report of its holding of the budget."""
    for budget in router.status().get("budgets", []):
        if budget["id"] == BUDGET:
            numbers = {k: int(v) for k, v in budget.items() if k != "id"}
            return {**_NO_BUDGET_STATUS, **numbers}
    return dict(_NO_BUDGET_STATUS)


def _account(account_id: str, api_key: str) -> dict[str, Any]:
    digest = hashlib.sha256(api_key.encode()).hexdigest()
    return {"id": account_id, "api_key_sha256": [digest], "budget": account_id}



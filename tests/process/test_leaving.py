"""The VM list marks an upstream as leaving."""

import unittest

from tests.process.support import FleetTest, Router


class LeavingTest(FleetTest):
    # The VM of engine-1 is about to be replaced while streams run on it. Once the
    # routers have read the list, the engine's records must show no new request
    # although callers continue; its open streams must complete.
    def test_leaving_engine_gets_no_new_work_and_keeps_its_streams(self) -> None:
        self.start_upstreams()
        routers = self.start_routers(arguments=["--vm-list-interval-ms=300"])
        leaving = self.fleet.engines["engine-1"]
        early = [
            self.in_background(self.draft, router, f"early-{index}", 200)
            for index, router in enumerate(routers * 4)
        ]
        self.wait(
            lambda: any(run["state"] == "running" for run in leaving.records()),
            "engine-1 has streams",
        )
        self.fleet.log.set_vms(
            [{"id": "engine-1", "address": leaving.address, "leaving": True}]
        )
        for router in routers:
            self.wait(
                lambda: self.sees_leaving(router),  # noqa: B023
                f"{router.router_id} has read the list",
            )
        before = len(leaving.records())
        late = [
            self.in_background(self.draft, router, f"late-{index}", 5)
            for index, router in enumerate(routers * 10)
        ]
        for answer in late + early:
            self.assertTrue(answer.result().whole, answer.result())
        self.assertEqual(before, len(leaving.records()))
        self.assertTrue(all(run["state"] == "done" for run in leaving.records()))
        keys = {run["key"] for run in self.fleet.engines["engine-2"].records()}
        self.assertTrue({f"late-{index}" for index in range(len(late))} <= keys)

    def sees_leaving(self, router: Router) -> bool:
        """Returns whether a router has read that engine-1 is leaving."""
        upstreams = router.status().get("upstreams", [])
        return any(
            upstream["id"] == "engine-1" and upstream["health"] == "leaving"
            for upstream in upstreams
        )


if __name__ == "__main__":
    unittest.main()

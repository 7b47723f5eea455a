"""A planned stop of a router whose upstreams take longer than the grace period."""

import asyncio
import signal
import unittest
from dataclasses import dataclass

from tests.soak.callers import HOST
from tests.soak.http import Message, read_message
from tests.soak.platform import Platform, Router, run_scenario

# After SIGTERM, within the time in which a router accepts whatever comes.
SENT_AT_S = (0.2, 1.0, 1.8, 2.3)
GRACE_S = 6
FREEZE_S = (3.0, 5.6)  # from and until, after SIGTERM
STREAM_TOKENS = 7_000  # more than the grace period has time for
STREAM_HEADERS = f"Token-Usage: 100,{STREAM_TOKENS}\r\nPrefix-Hash: a:50,b:50\r\n"


@dataclass
class Outcome:
    sent_at_s: float  # after SIGTERM
    ended_at_s: float
    reply: Message | None
    whole: bool


async def request(router: Router, kind: str, number: int, headers: str = "") -> tuple:
    text = (f"POST /{kind}/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: late-{kind}-{number}\r\n"
            "Deadline-Ms: 20000\r\nAuthorization: Token office-key\r\nModel: m\r\n"
            f"{headers}Content-Length: 0\r\n\r\n")
    reader, writer = await asyncio.open_connection("127.0.0.1", router.front)
    writer.write(text.encode())
    reply, whole = await asyncio.wait_for(read_message(reader), 15)
    writer.close()
    return reply, whole


async def stop_while_called(router: Router, kind: str, headers: str = "",
                            frozen: bool = False) -> list[Outcome]:
    """Sends requests after SIGTERM and returns how each ended."""
    clock = asyncio.get_running_loop().time
    start = clock()
    router.send(signal.SIGTERM)

    async def send(number: int, at: float) -> Outcome:
        await asyncio.sleep(start + at - clock())
        reply, whole = await request(router, kind, number, headers)
        return Outcome(at, clock() - start, reply, whole)

    async def freeze() -> None:
        await asyncio.sleep(start + FREEZE_S[0] - clock())
        router.send(signal.SIGSTOP)
        await asyncio.sleep(start + FREEZE_S[1] - clock())
        router.send(signal.SIGCONT)

    jobs = [send(number, at) for number, at in enumerate(SENT_AT_S)]
    freezing = asyncio.create_task(freeze()) if frozen else None
    outcomes = await asyncio.gather(*jobs)
    if freezing:
        await freezing
    await asyncio.wait_for(router.process.wait(), 10)
    return list(outcomes)


def set_grace(router: Router, grace_s: int) -> None:
    text = router.settings().replace(f"graceS = {GRACE_S}", f"graceS = {grace_s}")
    with open(router.settings_path, "w", encoding="ascii") as file:
        file.write(text)
    router.send(signal.SIGHUP)


async def end_stall(platform: Platform) -> None:
    platform.stall(set())
    await asyncio.sleep(0.1)


class DrainEnd(unittest.TestCase):
    def check_answered(self, outcomes: list[Outcome]) -> None:
        for outcome in outcomes:
            self.assertTrue(outcome.whole, outcome)
            self.assertEqual(504, outcome.reply.status, outcome)
            self.assertEqual("close", outcome.reply.headers.get("connection"), outcome)
            self.assertLess(outcome.ended_at_s, GRACE_S, outcome)

    # Guards against requests that get no answer because the process ends.
    def test_requests_in_progress_at_the_end_are_answered(self) -> None:
        async def scenario(platform: Platform) -> None:
            platform.stall({"hold", "lookup"})
            for router, kind in zip(platform.routers, ("hold", "lookup")):
                self.check_answered(await stop_while_called(router, kind))
                self.assertEqual(0, router.process.returncode)
                await router.start()
            await end_stall(platform)

        run_scenario(scenario, routers=2, engines=2)

    # Guards against the same after the process was frozen until the end of its time.
    def test_a_freeze_within_the_grace_period_takes_no_answer(self) -> None:
        async def scenario(platform: Platform) -> None:
            platform.stall({"hold"})
            router = platform.routers[0]
            self.check_answered(await stop_while_called(router, "hold", frozen=True))
            await router.start()
            await end_stall(platform)

        run_scenario(scenario, routers=1, engines=1)

    # Guards against a stream that is ended early, or as if it were complete.
    def test_a_stream_goes_on_to_the_end_and_stays_incomplete(self) -> None:
        async def scenario(platform: Platform) -> None:
            router = platform.routers[0]
            for outcome in await stop_while_called(router, "draft", STREAM_HEADERS):
                self.assertEqual(200, outcome.reply.status, outcome)
                self.assertFalse(outcome.whole, outcome)
                self.assertGreater(outcome.ended_at_s, GRACE_S - 0.9, outcome)
            await router.start()

        run_scenario(scenario, routers=1, engines=2)

    # Guards against requests of other routers that end with their relay.
    def test_requests_relayed_by_a_draining_router_are_answered(self) -> None:
        async def scenario(platform: Platform) -> None:
            reached, relay = platform.routers[:2]
            set_grace(relay, 3)
            platform.partition({0}, reset=True)
            platform.stall({"hold", "lookup"})
            calls = [request(reached, kind, number)
                     for number in range(8) for kind in ("hold", "lookup")]
            replies = asyncio.gather(*calls)
            await asyncio.sleep(0.5)
            self.assertLess(0, await relay.figure("relayed_for_others"))
            relay.send(signal.SIGTERM)
            self.assertEqual(0, await asyncio.wait_for(relay.process.wait(), 3))
            await end_stall(platform)
            statuses = [(reply and reply.status, whole) for reply, whole in await replies]
            self.assertEqual({(200, True)}, set(statuses[1::2]), statuses)
            self.assertLessEqual(set(statuses[::2]), {(200, True), (502, True)}, statuses)
            reply, _ = await request(reached, "hold", 8)
            self.assertEqual(200, reply.status)
            await relay.start()

        run_scenario(scenario, routers=3, engines=1)


if __name__ == "__main__":
    unittest.main()

"""A request that crashes the upstreams that run it."""

import asyncio
import signal
import unittest

from tests.soak.http import read_message
from tests.soak.platform import Platform, Router, run_scenario

# A request that crashed three upstreams is sent to no further upstream.
_MAX_CRASHES = 3
_REPEATS = 12


def request(number: int, body: str, path: str = "/draft/x", prefix: str = "a") -> str:
    return (f"POST {path} HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: r{number}\r\n"
            "Deadline-Ms: 4000\r\nAuthorization: Token key\r\n"
            f"Content-Length: {len(body)}\r\n"
            f"Model: m\r\nToken-Usage: 100,70\r\nPrefix-Hash: {prefix}:50,b:50\r\n\r\n{body}")


async def ask(port: int, text: str) -> tuple[int, dict[str, str]]:
    """Returns the status, or 0 for a truncated answer, and the headers."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(text.encode())
    reply, whole = await asyncio.wait_for(read_message(reader), 6)
    writer.close()
    if reply is None or not whole:
        return 0, {}
    return reply.status, reply.headers


class CrashingRequestTest(unittest.TestCase):
    # One request crashes each engine that runs it, and its caller retries it under
    # a new id at any router. If routers recognize requests only by id, each blames
    # the engine alone and sends the request to the next one, so the drafts of many
    # callers are cut repeatedly. The log lines of all these crashes then show the
    # same content at all routers, and no refusal.
    def test_one_request_ends_few_upstreams_however_often_it_comes(self) -> None:
        async def scenario(platform: Platform) -> None:
            for number in range(_REPEATS):
                router = platform.routers[number % len(platform.routers)]
                await self.send_crashing(platform, router, number)

        ended = run_scenario(scenario, routers=3, engines=6).ledger.ended
        self.assertLessEqual(len(ended), _MAX_CRASHES, ended)

    async def send_crashing(self, platform: Platform, router: Router, number: int) -> int:
        """Sends the request once and waits until the outcome reaches the other routers."""
        status, _ = await ask(router.front, request(number, "poison"))
        await asyncio.sleep(1)
        if len(platform.ledger.ended) >= _MAX_CRASHES:
            await platform.wait_for_figure("quarantined_requests", 1, within=60)
        return status

    async def quarantine(self, platform: Platform) -> None:
        """Sends the request to the routers in turn until all refuse it."""
        for number in range(_REPEATS):
            if await platform.wait_for_figure("quarantined_requests", 1, within=0):
                return
            router = platform.routers[number % len(platform.routers)]
            await self.send_crashing(platform, router, number)

    # The quarantine must survive a crash of all routers: restarted routers read it
    # from the store. Other callers of the same path and account must still be
    # served.
    def test_what_is_refused_stays_refused_when_all_routers_start_again(self) -> None:
        statuses = []

        async def scenario(platform: Platform) -> None:
            await self.quarantine(platform)
            for router in platform.routers:
                await router.restart(signal.SIGKILL)
            await platform.wait_for_figure("ready", 1)
            for number, router in enumerate(platform.routers):
                poison = await ask(router.front, request(100 + number, "poison"))
                other = await ask(router.front, request(200 + number, "a draft"))
                statuses.append((poison[0], other[0]))
                self.assertGreater(float(poison[1].get("retry-after", 0)), 60)

        ended = run_scenario(scenario, routers=3, engines=6).ledger.ended
        self.assertLessEqual(len(ended), _MAX_CRASHES, ended)
        self.assertEqual([(503, 200)] * 3, statuses)

    # The store is unreachable, so routers cannot share what they observe: each must
    # act on the crashes that it saw itself.
    def test_a_router_alone_refuses_what_ended_three_upstreams_there(self) -> None:
        async def scenario(platform: Platform) -> None:
            platform.store.refused_ports = {router.store_port for router in platform.routers}
            for number in range(_REPEATS):
                await self.send_crashing(platform, platform.routers[0], number)

        ended = run_scenario(scenario, routers=3, engines=6).ledger.ended
        self.assertLessEqual(len(ended), _MAX_CRASHES, ended)


if __name__ == "__main__":
    unittest.main()

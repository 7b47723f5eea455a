"""What a supervisor, the kernel and the settings file do to an entry router while it starts
and ends, with real processes."""

import asyncio
import ctypes
import os
import resource
import signal
import socket
import unittest

from tests.soak.platform import Platform, Router, run_scenario

# How long a condition of the start lasts.
CONDITION_S = 0.6
# Much longer than any start or drain takes.
LONGEST_S = 60.0

# Below net.ipv4.ip_unprivileged_port_start; not used by any test.
PRIVILEGED_PORT = 81

_libc = ctypes.CDLL(None)


def without_privileged_ports() -> None:
    """Takes CAP_NET_BIND_SERVICE from the program started next; without effect on a
    process that lacks it."""
    drop_from_bounding_set, bind_service = 24, 10
    _libc.prctl(drop_from_bounding_set, bind_service, 0, 0, 0)


def holder(port: int, kind: socket.SocketKind = socket.SOCK_STREAM) -> socket.socket:
    """Takes a port as another process would."""
    held = socket.socket(socket.AF_INET, kind)
    if kind == socket.SOCK_STREAM:
        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    held.bind(("127.0.0.1", port))
    if kind == socket.SOCK_STREAM:
        held.listen()
    return held


async def wait_until_served(platform: Platform) -> bool:
    """Waits until all routers are ready and one serves a request."""
    clock = asyncio.get_running_loop().time
    until = clock() + LONGEST_S
    while clock() < until:
        if await platform.wait_for_figure("ready", 1, 1):
            if await platform.send("draft"):
                return True
            await asyncio.sleep(0.1)
    return False


async def open_for_writing(fifo: str) -> int:
    """Waits until a process has begun to read from a FIFO. Returns its other end."""
    for _ in range(int(LONGEST_S * 100)):
        try:
            return os.open(fifo, os.O_WRONLY | os.O_NONBLOCK)
        except OSError:
            await asyncio.sleep(0.01)
    raise TimeoutError(fifo)


class StartOfARouter(unittest.TestCase):
    def check(self, scenario, routers: int = 1) -> None:
        run_scenario(scenario, routers=routers, engines=1)

    async def assert_serves(self, platform: Platform, router: Router) -> None:
        self.assertTrue(await wait_until_served(platform))
        self.assertIsNone(router.process.returncode)

    # Guards against a start that ends since one of its ports is still in use.
    def test_a_port_in_use_delays_the_start(self) -> None:
        async def scenario(platform: Platform) -> None:
            router = platform.routers[0]
            for port in (router.front, router.ready, router.directory, router.metrics,
                         router.loads):
                router.send(signal.SIGKILL)
                await router.process.wait()
                held = holder(port)
                await router.start()
                await asyncio.sleep(CONDITION_S)
                self.assertIsNone(router.process.returncode, router.log()[-500:])
                held.close()
                await self.assert_serves(platform, router)

        self.check(scenario)

    # Guards against a router without datagrams or relays since their port was in use.
    def test_the_port_for_other_routers_is_opened_late(self) -> None:
        async def scenario(platform: Platform) -> None:
            router = platform.routers[0]
            router.send(signal.SIGKILL)
            await router.process.wait()
            held = [holder(router.loads), holder(router.loads, socket.SOCK_DGRAM)]
            await router.start()
            await self.assert_serves(platform, router)
            self.assertEqual(2, await router.figure("unavailable_ports"))
            for one in held:
                one.close()
            self.assertTrue(await platform.wait_for_figure("unavailable_ports", 0, LONGEST_S))

        self.check(scenario)

    # Guards against a successor that ends, or supersedes its predecessor, while that drains.
    def test_a_successor_waits_for_its_predecessor(self) -> None:
        async def scenario(platform: Platform) -> None:
            router = platform.routers[0]
            predecessor = router.process
            router.send(signal.SIGTERM)
            await router.start()
            status = await asyncio.wait_for(predecessor.wait(), LONGEST_S)
            self.assertEqual(0, status)
            self.assertNotIn('"event":"retired"', router.log())
            await self.assert_serves(platform, router)

        self.check(scenario)

    # Guards against a start that ends since its settings are still being written.
    def test_settings_that_are_not_complete_yet_delay_the_start(self) -> None:
        async def scenario(platform: Platform) -> None:
            router = platform.routers[0]
            path, whole = router.settings_path, router.settings()
            for part in ("", whole[:40], whole[:whole.index("[platform]")]):
                router.send(signal.SIGKILL)
                await router.process.wait()
                with open(path, "w", encoding="ascii") as file:
                    file.write(part)
                await router.spawn()
                await asyncio.sleep(CONDITION_S)
                self.assertIsNone(router.process.returncode, router.log()[-500:])
                with open(path, "w", encoding="ascii") as file:
                    file.write(whole)
                await self.assert_serves(platform, router)

        self.check(scenario)

    # Guards against a process without a word that waits forever for usable settings.
    def test_settings_that_stay_incomplete_end_the_start(self) -> None:
        async def scenario(platform: Platform) -> None:
            router = platform.routers[0]
            router.send(signal.SIGKILL)
            await router.process.wait()
            with open(router.settings_path, "w", encoding="ascii") as file:
                file.write('nodeName = "x"\n')
            await router.spawn()
            self.assertEqual(2, await asyncio.wait_for(router.process.wait(), LONGEST_S))
            self.assertIn('"event":"start_failed","why":"CV-201', router.log())

        self.check(scenario)

    # Guards against a router that callers are led to but that never answers whether it is ready.
    def test_a_port_that_can_never_be_opened_ends_the_start(self) -> None:
        async def scenario(platform: Platform) -> None:
            router = platform.routers[0]
            for name, port in (("frontend", router.front), ("readiness", router.ready),
                               ("directory", router.directory)):
                router.send(signal.SIGKILL)
                await router.process.wait()
                settings = router.settings().replace(
                    f'{name} = "127.0.0.1:{port}"', f'{name} = "127.0.0.1:{PRIVILEGED_PORT}"')
                with open(router.settings_path, "w", encoding="ascii") as file:
                    file.write(settings)
                await router.spawn(without_privileged_ports)
                await asyncio.sleep(CONDITION_S)
                self.assertEqual(2, router.process.returncode, name)

        self.check(scenario)

    # Guards against a signal that ends the process as it comes before its handler.
    def test_signals_at_the_start_are_handled(self) -> None:
        async def scenario(platform: Platform) -> None:
            router = platform.routers[0]
            for number, status in ((signal.SIGHUP, None), (signal.SIGTERM, 0)):
                router.send(signal.SIGKILL)
                await router.process.wait()
                os.remove(router.settings_path)
                os.mkfifo(router.settings_path)
                await router.spawn()
                settings = await open_for_writing(router.settings_path)
                router.send(number)
                router.send(number)
                await asyncio.sleep(CONDITION_S / 2)
                self.assertIsNone(router.process.returncode)
                # A later read finds a plain file.
                os.remove(router.settings_path)
                router.write_settings()
                os.write(settings, router.settings().encode())
                os.close(settings)
                if status is None:
                    await self.assert_serves(platform, router)
                else:
                    self.assertEqual(
                        status, await asyncio.wait_for(router.process.wait(), LONGEST_S))

        self.check(scenario)

    # Guards against a signal that ends the process as it comes after its handler has gone.
    def test_reloads_until_the_end_of_a_drain_are_handled(self) -> None:
        async def scenario(platform: Platform) -> None:
            starts = []
            for router in platform.routers:
                router.send(signal.SIGTERM)
                starts.append(router.process)
            while any(process.returncode is None for process in starts):
                for router in platform.routers:
                    router.send(signal.SIGHUP)
                await asyncio.sleep(0.0002)
            self.assertEqual([0] * len(starts), [process.returncode for process in starts])

        self.check(scenario, routers=6)

    # Guards against a process that ends by SIGXFSZ as its log has reached the limit of files.
    def test_a_log_file_at_its_limit_does_not_end_the_process(self) -> None:
        async def scenario(platform: Platform) -> None:
            router = platform.routers[0]
            await self.assert_serves(platform, router)
            limit = len(router.log())
            resource.prlimit(router.process.pid, resource.RLIMIT_FSIZE, (limit, limit))
            router.send(signal.SIGHUP)
            await asyncio.sleep(CONDITION_S)
            self.assertIsNone(router.process.returncode)
            await self.assert_serves(platform, router)
            # Its last lines, too, find no room.
            router.send(signal.SIGTERM)
            self.assertEqual(0, await asyncio.wait_for(router.process.wait(), LONGEST_S))

        self.check(scenario)

    # Guards against settings that never come into force as one read found half of them.
    def test_settings_found_incomplete_at_a_reload_are_read_again(self) -> None:
        async def scenario(platform: Platform) -> None:
            router = platform.routers[0]
            whole = router.settings()
            with open(router.settings_path, "w", encoding="ascii") as file:
                file.write(whole[:40])
            changed = os.stat(router.settings_path)
            router.send(signal.SIGHUP)
            await asyncio.sleep(CONDITION_S)
            self.assertNotIn('"event":"settings_reloaded"', router.log())
            router.write_settings()
            # As if both had been written within the resolution of the clock.
            os.utime(router.settings_path, ns=(changed.st_atime_ns, changed.st_mtime_ns))
            for _ in range(int(LONGEST_S)):
                await asyncio.sleep(1)
                if '"event":"settings_reloaded"' in router.log():
                    break
            self.assertIn('"event":"settings_reloaded"', router.log())

        self.check(scenario)


if __name__ == "__main__":
    unittest.main()

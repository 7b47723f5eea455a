"""Stand-in of a server, one process: `server.py ID IP:PORT RUNS EVENTS PAUSE_S FRAMING`.

A request whose Token-Usage is larger than its memory is rejected as if the server were full.

It appends a line to the file RUNS when it begins to work on a request and when it has
written its whole answer. POST under /stream/ is answered with EVENTS events; FRAMING is
`chunked` or `connection` (no length: the answer ends with its connection)."""

import asyncio
import sys
import time

from http_messages import answer, read_message


MEMORY_TOKENS = 640_966
WORK_S = 0.02  # the sheet's figure for these requests


class Server:
    def __init__(self, name, runs, events, pause_s, framing):
        self._name = name
        self._runs = open(runs, "a", encoding="ascii", buffering=1)
        self._events = events
        self._pause_s = pause_s
        self._framing = framing

    def _note(self, what, request_id, more=""):
        self._runs.write(f"{time.time():.3f} server {self._name} {what} {request_id} {more}\n")

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                if not await self._answer(request, writer):
                    break
        except (OSError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, request, writer):
        """Returns whether the connection stays open."""
        _, target, _ = request.start_line.split()
        if target == "/healthz":
            writer.write(answer(200, Instance_Id=self._name))
            return True
        request_id = request.headers.get("request-id")
        expected = request.headers.get("expected-instance", self._name)
        if expected != self._name:
            writer.write(answer(421, Instance_Id=self._name))
            return True
        if request_id is None:
            writer.write(answer(400, Not_Executed=1))
            return True
        usage = request.headers.get("token-usage", "0,0").split(",")
        if sum(int(number) for number in usage) > MEMORY_TOKENS:
            await asyncio.sleep(WORK_S)
            writer.write(answer(503, Not_Executed=1, Request_Id=request_id))
            return True
        self._note("runs", request_id)
        if target.startswith("/stream/"):
            return await self._stream(request_id, writer)
        body = f"whole answer to {request_id}\n".encode()
        writer.write(answer(200, body, Request_Id=request_id,
                            Server_Signature=f"{self._name}.{request_id}"))
        await writer.drain()
        self._note("answered", request_id)
        return True

    async def _stream(self, request_id, writer):
        by_connection = self._framing == "connection"
        framing = "Connection: close" if by_connection else "Transfer-Encoding: chunked"
        writer.write((f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
                      f"Server-Signature: {self._name}.{request_id}\r\n"
                      "Content-Type: text/event-stream\r\nWeights-Versions: 1\r\n"
                      f"{framing}\r\n\r\n").encode())
        for number in range(1, self._events + 1):
            await asyncio.sleep(self._pause_s)
            event = f"id: {number}\ndata: {request_id} {number}\n\n".encode()
            writer.write(event if by_connection else b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            self._note("event", request_id, str(number))
        if not by_connection:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        self._note("answered", request_id)
        return not by_connection


async def main():
    name, address, runs, events, pause_s, framing = sys.argv[1:7]
    ip, port = address.split(":")
    server = Server(name, runs, int(events), float(pause_s), framing)
    listener = await asyncio.start_server(server.serve, ip, int(port))
    await listener.serve_forever()


asyncio.run(main())

"""Steps for the load tool's connections."""

from __future__ import annotations

import asyncio

from behave import given
from behave import then

from bench.load import client

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
GIVE_UP_S = 20


async def answer_and_close(reader, writer):
    await reader.readuntil(b"\r\n\r\n")
    writer.write(ANSWER)
    await writer.drain()
    writer.close()


async def exchange_times(count):
    server = await asyncio.start_server(answer_and_close, "127.0.0.1", 0)
    address = client.Address(*server.sockets[0].getsockname())
    caller = client.Client()
    request = client.encode_request("GET", "/", {"Host": "bench"}, b"")
    for _ in range(count):
        response = client.Response(lambda data: None)
        await caller.exchange(address, request, response)
        assert response.status == 200
        for connection in caller.idle_by_address[address]:
            async with asyncio.timeout(GIVE_UP_S):
                while not connection.reader.at_eof():
                    await asyncio.sleep(0.001)
    await caller.close()
    server.close()
    await server.wait_closed()


@given("a bench server that closes each connection after its answer")
def step_server(context):
    context.exchange_times = exchange_times


@then("{count:d} bench exchanges one after another are answered")
def step_exchanges(context, count):
    asyncio.run(context.exchange_times(count))

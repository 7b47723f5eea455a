"""Starts the fleet, its stand-ins and its operators' tool as child processes.

All processes listen on 127.0.0.1. A `Fleet` owns the processes it starts, each in
its own process group, and ends them when it is closed and when the interpreter
exits or is killed.

    with Fleet("build") as fleet:
        fleet.start_log()
        engine = fleet.start_engine("engine-1", models=["chat"])
        router = fleet.start_router("router-1")
        fleet.tool.publish(configuration)
        answer = fleet.caller("some-key").chat(router, "chat", "hello", max_tokens=8)
"""

from .caller import Answer, Caller, Failure
from .fleet import Fleet
from .http import HttpReply, call
from .operators import OperatorTool, ToolResult
from .ports import free_port
from .process import ManagedProcess, ProcessFailed
from .router import Router
from .standins import Engine, Log, Relay, Service, StandIn
from .waiting import WaitTimeout, wait_until

__all__ = [
    "Answer",
    "Caller",
    "Engine",
    "Failure",
    "Fleet",
    "HttpReply",
    "Log",
    "ManagedProcess",
    "OperatorTool",
    "ProcessFailed",
    "Relay",
    "Router",
    "Service",
    "StandIn",
    "ToolResult",
    "WaitTimeout",
    "call",
    "free_port",
    "wait_until",
]

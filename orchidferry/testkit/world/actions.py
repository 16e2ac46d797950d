"""Executes the actions of a run's plan on servers, nodes and service discovery."""

from __future__ import annotations

import asyncio

from orchidferry.testkit.world.deployment import Deployment
from orchidferry.testkit.world.nodes import NodeProcess
from orchidferry.testkit.world.plan import SERVER_FAULTS, Action, Server

WITHDRAW_AFTER_TERM_S = (0.2, 0.4)  # bounds of the delay after which clients no longer use a terminated node


class ActionExecutor:
    """Executes actions on a deployment."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment

    def execute(self, action: Action) -> None:
        """Execute an action; an action that takes time continues in a background task."""
        if action.do in SERVER_FAULTS:
            self._set_fault(action)
        elif action.do in ("leave", "down", "crash", "up"):
            self._execute_on_server(action.do, action.whom)
        elif action.do in ("discovery-down", "discovery-up"):
            self._deployment.discovery.set_down(action.do == "discovery-down")
        else:
            self._execute_on_node(action.do, action.whom)

    def _set_fault(self, action: Action) -> None:
        if action.whom not in self._deployment.running:
            return
        order = {"do": action.do, "whom": action.whom, "value": action.value, "entry": action.entry}
        self._deployment.worker_of(self._deployment.plan.server(action.whom)).send_order(order)

    def _execute_on_server(self, do: str, name: str) -> None:
        deployment = self._deployment
        server = deployment.plan.server(name)
        if do == "up":
            deployment.spawn(self._start_server(server))
        elif name in deployment.running and do == "leave":
            deployment.list_later(name, "leaving", deployment.scenario.discovery.notice)
        elif name in deployment.running:
            why = "stopped" if do == "down" else "crashed"
            deployment.worker_of(server).send_order({"do": "down", "whom": name, "why": why})
            deployment.on_server_down(name)

    def _execute_on_node(self, do: str, name: str) -> None:
        deployment = self._deployment
        node = deployment.nodes[name]
        match do:
            case "kill":
                node.kill()
                deployment.discovery.detach(name)
                deployment.spawn(self._withdraw_node(name, deployment.scenario.front.notice))
            case "term":
                deployment.spawn(self._stop_node(node))
                deployment.spawn(self._withdraw_node(name, WITHDRAW_AFTER_TERM_S))
            case "start":
                deployment.spawn(self._restart_node(node))
            case "pause":
                node.pause()
                deployment.spawn(self._withdraw_node(name, deployment.scenario.front.notice))
            case "resume":
                node.resume()
                if node.pid is not None and node.ready:
                    deployment.usable_nodes.add(name)
                    deployment.publish_usable_nodes()

    async def _start_server(self, server: Server) -> None:
        """Start a server with slow start, after its sidecar node is ready."""
        node = self._deployment.sidecar_node(server)
        if node is not None:
            await node.wait_ended()
            await self._deployment.start_node(node)
        await self._deployment.start_server(server, True)
        self._deployment.list_later(server.name, "active", self._deployment.scenario.discovery.add)

    async def _stop_node(self, node: NodeProcess) -> None:
        await node.stop()
        self._deployment.discovery.detach(node.name)

    async def _withdraw_node(self, name: str, between: tuple[float, float]) -> None:
        """Withdraw a node from the clients after a random delay, unless its state has changed by then.

        :param between: bounds of the delay in seconds
        """
        node = self._deployment.nodes[name]
        incarnation = node.incarnation
        paused_at = node.paused_at
        await asyncio.sleep(self._deployment.delay(between, name, str(incarnation)))
        if node.incarnation == incarnation and node.paused_at == paused_at:
            self._deployment.usable_nodes.discard(name)
            self._deployment.publish_usable_nodes()

    async def _restart_node(self, node: NodeProcess) -> None:
        await node.wait_ended()
        await self._deployment.start_node(node)
        self._deployment.usable_nodes.add(node.name)
        self._deployment.publish_usable_nodes()

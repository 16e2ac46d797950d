"""The acts of a run's script: what each does to servers, nodes and discovery."""

from __future__ import annotations

import asyncio

from orchidferry.testkit.world.deployment import Deployment
from orchidferry.testkit.world.nodes import NodeProcess
from orchidferry.testkit.world.plan import TROUBLES, Act, Server

LEAVE_DEAL_S = (0.2, 0.4)  # until the front deals no more to a node that was told to end


class ActPlayer:
    """Carries out acts on a deployment."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment

    def play(self, act: Act) -> None:
        """Carry out one act; what takes time goes on beside the script."""
        if act.do in TROUBLES:
            if act.whom in self._deployment.running:
                order = {"do": act.do, "whom": act.whom, "value": act.value, "entry": act.entry}
                self._deployment.world_of(self._deployment.plan.server(act.whom)).tell(order)
            return
        match act.do:
            case "leave":
                if act.whom in self._deployment.running:
                    self._deployment.list_later(
                        act.whom, "leaving", self._deployment.scenario.discovery.notice
                    )
            case "down" | "crash":
                if act.whom in self._deployment.running:
                    why = "stopped" if act.do == "down" else "crashed"
                    server = self._deployment.plan.server(act.whom)
                    self._deployment.world_of(server).tell({"do": "down", "whom": act.whom, "why": why})
                    self._deployment.is_down(act.whom, why)
            case "up":
                self._deployment.spawn(self._come_up(self._deployment.plan.server(act.whom)))
            case "kill":
                self._deployment.nodes[act.whom].kill()
                self._deployment.discovery.detach(act.whom)
                self._deployment.spawn(self._notice(act.whom, self._deployment.scenario.front.notice))
            case "term":
                self._deployment.spawn(self._stop_node(self._deployment.nodes[act.whom]))
                self._deployment.spawn(self._notice(act.whom, LEAVE_DEAL_S))
            case "start":
                self._deployment.spawn(self._start_again(act.whom))
            case "pause":
                self._deployment.nodes[act.whom].pause()
                self._deployment.spawn(self._notice(act.whom, self._deployment.scenario.front.notice))
            case "resume":
                node = self._deployment.nodes[act.whom]
                node.resume()
                if node.pid is not None and node.ready:
                    self._deployment.dealt.add(act.whom)
                    self._deployment.deal()
            case "discovery-down":
                self._deployment.discovery.set_down(True)
            case "discovery-up":
                self._deployment.discovery.set_down(False)

    async def _come_up(self, server: Server) -> None:
        """Start a server, cold; it serves once its own node is ready."""
        node = self._deployment.own_node(server)
        if node is not None:
            await node.gone()
            await self._deployment.start_node(node)
        await self._deployment.bring_up(server, True)
        self._deployment.list_later(server.name, "active", self._deployment.scenario.discovery.add)

    async def _stop_node(self, node: NodeProcess) -> None:
        await node.stop()
        self._deployment.discovery.detach(node.name)

    async def _notice(self, node: str, between: tuple[float, float]) -> None:
        """The front deals no more to a node, once it has noticed."""
        seen = self._deployment.nodes[node]
        lives = seen.lives
        paused = seen.paused_at
        await asyncio.sleep(self._deployment.delay(between, node, str(lives)))
        if seen.lives == lives and seen.paused_at == paused:
            self._deployment.dealt.discard(node)
            self._deployment.deal()

    async def _start_again(self, name: str) -> None:
        node = self._deployment.nodes[name]
        await node.gone()
        await self._deployment.start_node(node)
        self._deployment.dealt.add(name)
        self._deployment.deal()

import asyncio
import os
import signal

from magnoliagrade_agent.direct import DirectAgent, DirectAgentSettings


def test_agent_keeps_running_after_sighup():
    async def scenario():
        agent = DirectAgent(settings=_settings())
        await agent.start()
        os.kill(os.getpid(), signal.SIGHUP)
        await asyncio.sleep(0.05)
        await agent.stop()

    asyncio.run(scenario())


def _settings():
    nowhere = "127.0.0.1:9"
    return DirectAgentSettings(
        name="agent-1",
        data_centre="dc-1",
        link_address="127.0.0.1:0",
        metrics_address="127.0.0.1:0",
        store_address=nowhere,
        server_address=nowhere,
    )

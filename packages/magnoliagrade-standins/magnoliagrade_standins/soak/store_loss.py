"""Losses of the store's last changes in a soak."""

__all__ = ["lose_store_changes"]

# Time whose changes are lost, and time for which the store is away before it returns.
LOST_S = 1.0
AWAY_S = 0.3
# Delay after the return until the operators and the endpoints write again. Together
# the times stay below the bound on removed keys.
WRITTEN_AGAIN_AFTER_S = 0.8


async def lose_store_changes(site, sleep):
    """Let the store return from a copy that lacks the changes of `LOST_S` seconds.

    An API key is replaced within the lost changes, and the next one after the return.

    Parameters
    ----------
    site : SoakSite
        Site whose store is affected.
    sleep : coroutine function
        Coroutine function that waits for a number of seconds.
    """
    copy = site.store.make_copy()
    for endpoint in site.endpoints:
        site.register(endpoint)
    site.rotate_key()
    await sleep(LOST_S)
    site.store.outage = "busy"
    await sleep(AWAY_S)
    site.store.return_from(copy)
    site.store.outage = ""
    await sleep(WRITTEN_AGAIN_AFTER_S)
    # The next change gets a revision that the entries have seen before.
    site.rotate_key()
    site.write_again()

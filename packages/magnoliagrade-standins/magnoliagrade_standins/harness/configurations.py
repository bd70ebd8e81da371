"""Default configuration and API keys of the sites of system tests and trials."""

import hashlib

__all__ = ["CONFIGURATION", "KEY_BY_ORGANISATION"]

KEY_BY_ORGANISATION = {f"organisation-{i}": f"key-{i}" for i in range(10)}


def _digest(key):
    return hashlib.sha256(key.encode()).hexdigest()


CONFIGURATION = """
[application swatch]
work = model
deadline_s = 30

[application orders]
work = service
deadline_s = 10

[pool assistants]
endpoint_selector = work=model
cold_limit = 600
full_limit = 6000

[pool order-desk]
endpoint_selector = work=service
cold_limit = 16
full_limit = 64

[route swatch]
request_selector = application=swatch
pool = assistants

[route orders]
request_selector = application=orders
pool = order-desk
""" + "".join(
    f"\n[organisation {name}]\nkey_digests = {_digest(key)}\n"
    for name, key in KEY_BY_ORGANISATION.items()
)

"""
Assigning prompts by rendezvous hashing
=======================================

Each prompt is assigned to the endpoint with the highest weight for it. Removing an
endpoint moves only the prompts that were assigned to it.
"""

from magnoliagrade.algorithms import rendezvous_order

names = [f"endpoint-{i}" for i in range(4)]
before = {prompt: rendezvous_order(prompt, names)[0] for prompt in range(1000)}
after = {prompt: rendezvous_order(prompt, names[:-1])[0] for prompt in range(1000)}
moved = [prompt for prompt in before if before[prompt] != after[prompt]]
print(f"{len(moved)} of 1000 prompts move")
print({before[prompt] for prompt in moved})

"""The entry router on a shared platform.

Each router decides alone, from the store's rows and from gossip with the other routers.  `process`
runs its tasks, `core` holds what they share; each package has one job.
"""

"""Stand-ins and faults for experiments on loopback: backends, discovery, fault relays, processes, load.

Nothing here runs in the proxy; everything is bounded and ends with the block that began it.
"""

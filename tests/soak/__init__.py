"""Real processes whose clients go on until SIGKILL, which comes as early as the platform allows.

`play` runs one seed, `judge` says what it broke, `servers` and `clients` are the stand-ins around the
process. From the repository's root: `make soak SEEDS=A-B`.
"""

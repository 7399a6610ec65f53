"""Peers that would make a process hold ever more memory, or hold up its loop, and a real process for them.

`stage` starts the process and measures it; `servers`, `callers` and `registry` are the peers by role;
`attacks` names what they do together.
"""

"""Fault injection at the seam of sockets, files, threads and clocks."""

"""Membership among the proxy processes: SWIM with Lifeguard (`swim`), its datagrams (`codec`), its socket
(`node`)."""

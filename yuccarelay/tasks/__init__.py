"""Running parts: each owns its sockets and state and reads a mailbox."""

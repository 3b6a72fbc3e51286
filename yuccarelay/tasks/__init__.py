"""Tasks: each owns its sockets and its state and reads one mailbox."""

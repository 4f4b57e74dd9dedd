"""GPUs left over in pieces: where tasks go so that large ones fit, and which replicas move where they do not."""

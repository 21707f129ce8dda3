"""What the controller of a region does about hosts and groups."""

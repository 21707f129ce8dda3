"""An entry node, assembled from tasks and edges."""

"""Choice of a replica group for each request."""

"""The life of replica groups, from formation to dissolution."""

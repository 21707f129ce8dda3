"""Tasks that own their state and talk by messages."""
